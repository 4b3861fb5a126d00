#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibCore/StructuredLog.h"
#include "LibPlatform/ObjectStore.h"

#include <QObject>

namespace papayaline {

/// Follows all objects of a kind in the platform's store: lists them, then
/// watches for changes, over outages of the store. Thread safety: the thread of
/// its event loop.
class ObjectWatcher : public QObject
{
public:
  struct Events
  {
    /// All objects as listed; those not named are gone.
    std::function<void(const std::vector<StoredObject>&)> mOnListed;
    std::function<void(const StoredObject&)> mOnChanged;
  };

  /// After a change the next ones are waited for no sooner than aPause, so that
  /// changes that come together cost one call.
  ObjectWatcher(ObjectStore& aStore,
                QString aKind,
                Milliseconds aPause,
                Events aEvents);

  void Start() { List(); }

private:
  void List();
  void Watch();
  void OnFailure(const Error& aError);
  void OnAnswer();

  ObjectStore& mStore;
  QString mKind;
  Milliseconds mPause;
  Events mEvents;
  int64_t mRevision = 0;
  bool mIsListed = false;
  unsigned mFailures = 0;
};

}
