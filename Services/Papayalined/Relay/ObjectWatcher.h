#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibCore/StructuredLog.h"
#include "LibPlatform/ObjectStore.h"

#include <QElapsedTimer>
#include <QObject>

namespace papayaline {

/// Reports all objects of a kind in the platform's store: lists them, then
/// watches for changes. Calls that fail are retried with an increasing delay
/// until the store answers. Thread safety: the thread of its event loop.
class ObjectWatcher : public QObject
{
public:
  struct Events
  {
    /// Receives the complete list. Objects that are not in it do not exist.
    std::function<void(const std::vector<StoredObject>&)> mOnListed;
    std::function<void(const StoredObject&)> mOnChanged;
  };

  ObjectWatcher(ObjectStore& aStore, QString aKind, Events aEvents);

  void Start();

private:
  void List();
  void Watch();
  void OnFailure(const Error& aError);
  /// Starts the next watch. During start-up, a watch after a change is delayed
  /// so that several changes are read in one call.
  void ContinueWatching(bool aHasChanged);
  void OnSuccess();

  ObjectStore& mStore;
  QString mKind;
  Events mEvents;
  int64_t mRevision = 0;
  bool mIsListed = false;
  QElapsedTimer mSinceStart;
  unsigned mConsecutiveFailures = 0;
};

}
