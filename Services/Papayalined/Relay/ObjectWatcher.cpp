#include "ObjectWatcher.h"

#include <QTimer>

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

ObjectWatcher::ObjectWatcher(ObjectStore& aStore, QString aKind, Events aEvents)
  : mStore(aStore)
  , mKind(std::move(aKind))
  , mEvents(std::move(aEvents))
{
}

void
ObjectWatcher::Start()
{
  mSinceStart.start();
  List();
}

void
ObjectWatcher::ContinueWatching(bool aHasChanged)
{
  if (aHasChanged &&
      std::chrono::milliseconds(mSinceStart.elapsed()) < kStartupTime) {
    QTimer::singleShot(kStartupWatchPause, this, [this] { Watch(); });
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
      return;
    }
    OnSuccess();
    mRevision = aBatch.Value().mStoreRevision;
    mIsListed = true;
    mEvents.mOnListed(aBatch.Value().mObjects);
    ContinueWatching(true);
  });
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
        return;
      }
      OnSuccess();
      // A stale answer must not move the watch back to an older revision.
      mRevision = std::max(mRevision, aBatch.Value().mStoreRevision);
      for (const auto& it : aBatch.Value().mObjects) {
        mEvents.mOnChanged(it);
      }
      ContinueWatching(!aBatch.Value().mObjects.empty());
    });
}

void
ObjectWatcher::OnSuccess()
{
  if (mConsecutiveFailures > 0) {
    StructuredLog::Instance().Write(
      LogPriority::Decision,
      "store.regained",
      { { "kind", mKind.toStdString() },
        { "after", std::to_string(mConsecutiveFailures) } });
  }
  mConsecutiveFailures = 0;
}

void
ObjectWatcher::OnFailure(const Error& aError)
{
  if (mConsecutiveFailures == 0) {
    StructuredLog::Instance().Write(
      LogPriority::Decision,
      "store.lost",
      { { "kind", mKind.toStdString() }, { "error", aError.mMessage } });
  }
  const auto delay = std::min<Milliseconds>(
    kRetryDelay * (1 << std::min(mConsecutiveFailures, kMaxDoublings)),
    kMaxRetryDelay);
  ++mConsecutiveFailures;
  QTimer::singleShot(delay, this, [this] { mIsListed ? Watch() : List(); });
}

}
