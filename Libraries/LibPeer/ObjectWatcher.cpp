#include "LibPeer/ObjectWatcher.h"

#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

/// A connection that stops responding is noticed when its watch times out, and
/// the next watch replaces it. With the margin of that timeout, the retry delay
/// and a call this is less than the 4 s after which the platform expects an
/// instance to apply changes again.
constexpr int kWatchWaitMs = 2600;
/// After a failure, a short watch probes the store. A connection that was
/// opened during a network partition is slow to notice that the partition has
/// ended.
constexpr int kProbeWaitMs = 20;
constexpr auto kRetryDelay = 150ms;
constexpr auto kMaxRetryDelay = 600ms;
constexpr unsigned kMaxDoublings = 3;
/// When a whole site starts, its databases register one after the other. During
/// the start-up time, all changes within a pause cost one call instead of one
/// each.
constexpr auto kStartupTime = 5s;
constexpr auto kStartupWatchPause = 500ms;

}

ObjectWatcher::ObjectWatcher(ObjectStore& aStore,
                             QString aKind,
                             Events aEvents,
                             Environment aEnvironment)
  : mStore(aStore)
  , mKind(std::move(aKind))
  , mEvents(std::move(aEvents))
  , mEnvironment(std::move(aEnvironment))
{
}

void
ObjectWatcher::Log(const std::string& aEvent, LogFields aFields) const
{
  aFields.insert(aFields.begin(), { "kind", mKind.toStdString() });
  mEnvironment.mLog(aEvent, aFields);
}

void
ObjectWatcher::Start()
{
  mStartedAt = mEnvironment.mNow();
  List();
}

void
ObjectWatcher::ContinueWatching(bool aHasChanged)
{
  if (aHasChanged && mEnvironment.mNow() - mStartedAt < kStartupTime) {
    mEnvironment.mRunAfter(kStartupWatchPause, [this] { Watch(); });
  } else {
    Watch();
  }
}

void
ObjectWatcher::List()
{
  mStore.List(mKind, [this](const Result<ObjectBatch>& aBatch) {
    if (aBatch.IsError()) {
      OnFailure(aBatch.GetError());
    } else {
      OnListed(aBatch.Value());
    }
  });
}

void
ObjectWatcher::OnListed(const ObjectBatch& aBatch)
{
  const auto& revision = aBatch.mStoreRevision;
  if (revision.mEra < mRevision.mEra) {
    OnFailure({ ErrorKind::Unreachable, "a list of an earlier era" });
    return;
  }
  OnSuccess();
  if (mRevision != StoreRevision{} && revision.mEra > mRevision.mEra) {
    Log("store.restored",
        { { "from", mRevision.ToString() }, { "to", revision.ToString() } });
  }
  mRevision = revision;
  mIsListed = true;
  mEvents.mOnListed(aBatch.mObjects);
  ContinueWatching(true);
}

void
ObjectWatcher::Watch()
{
  const auto wait = mConsecutiveFailures > 0 ? kProbeWaitMs : kWatchWaitMs;
  mStore.Watch(
    mKind, mRevision, wait, [this](const Result<ObjectBatch>& aBatch) {
      if (aBatch.IsError()) {
        mIsListed = aBatch.GetError().mKind != ErrorKind::NotFound;
        OnFailure(aBatch.GetError());
      } else {
        OnWatched(aBatch.Value());
      }
    });
}

void
ObjectWatcher::OnWatched(const ObjectBatch& aBatch)
{
  const auto& revision = aBatch.mStoreRevision;
  if (revision.mEra < mRevision.mEra) {
    OnFailure({ ErrorKind::Unreachable, "a change of an earlier era" });
    return;
  }
  if (revision.mEra > mRevision.mEra) {
    // Changes of the new era up to mRevision's number are not in the batch.
    mIsListed = false;
    List();
    return;
  }
  OnSuccess();
  // A stale answer must not move the watch back to an older revision.
  mRevision = std::max(mRevision, revision);
  for (const auto& it : aBatch.mObjects) {
    mEvents.mOnChanged(it);
  }
  ContinueWatching(!aBatch.mObjects.empty());
}

void
ObjectWatcher::OnSuccess()
{
  if (mConsecutiveFailures > 0) {
    Log("store.regained",
        { { "after", std::to_string(mConsecutiveFailures) } });
  }
  mConsecutiveFailures = 0;
}

void
ObjectWatcher::OnFailure(const Error& aError)
{
  if (mConsecutiveFailures == 0) {
    Log("store.lost", { { "error", aError.mMessage } });
  }
  const auto delay = std::min<Duration>(
    kRetryDelay * (1 << std::min(mConsecutiveFailures, kMaxDoublings)),
    kMaxRetryDelay);
  ++mConsecutiveFailures;
  mEnvironment.mRunAfter(delay, [this] { mIsListed ? Watch() : List(); });
}

}
