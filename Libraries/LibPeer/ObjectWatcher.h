#pragma once

#include "LibCore/StructuredLog.h"
#include "LibDecision/Instant.h"
#include "LibPlatform/ObjectStore.h"

namespace papayaline {

/// Reports all objects of a kind in the platform's store: lists them, then
/// watches for changes, and lists them again after the store was restored.
/// Calls that fail are retried with an increasing delay until the store
/// answers. Clock, timer and log are injected. Thread safety: one thread.
class ObjectWatcher
{
public:
  struct Events
  {
    /// Receives the complete list. Objects that are not in it do not exist.
    std::function<void(const std::vector<StoredObject>&)> mOnListed;
    std::function<void(const StoredObject&)> mOnChanged;
  };

  struct Environment
  {
    std::function<Instant()> mNow;
    /// Runs a function after a delay, unless this watcher is destroyed before.
    std::function<void(Duration, std::function<void()>)> mRunAfter;
    std::function<void(const std::string& aEvent, const LogFields&)> mLog;
  };

  /// aStore must outlive this watcher.
  ObjectWatcher(ObjectStore& aStore,
                QString aKind,
                Events aEvents,
                Environment aEnvironment);

  /// Must be called once.
  void Start();

private:
  void List();
  void OnListed(const ObjectBatch& aBatch);
  void Watch();
  void OnWatched(const ObjectBatch& aBatch);
  void OnFailure(const Error& aError);
  /// Starts the next watch. During start-up, a watch after a change is delayed
  /// so that several changes are read in one call.
  void ContinueWatching(bool aHasChanged);
  void OnSuccess();
  void Log(const std::string& aEvent, LogFields aFields) const;

  ObjectStore& mStore;
  QString mKind;
  Events mEvents;
  Environment mEnvironment;
  StoreRevision mRevision;
  bool mIsListed = false;
  Instant mStartedAt;
  unsigned mConsecutiveFailures = 0;
};

}
