#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibCore/StructuredLog.h"
#include "LibPlatform/ObjectStore.h"

#include <QElapsedTimer>
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

  ObjectWatcher(ObjectStore& aStore, QString aKind, Events aEvents);

  void Start();

private:
  void List();
  void Watch();
  void OnFailure(const Error& aError);
  /// Watches on, in the first seconds after a pause.
  void Continue(bool aHasChanged);
  void OnAnswer();

  ObjectStore& mStore;
  QString mKind;
  Events mEvents;
  int64_t mRevision = 0;
  bool mIsListed = false;
  QElapsedTimer mAge;
  unsigned mFailures = 0;
};

}
