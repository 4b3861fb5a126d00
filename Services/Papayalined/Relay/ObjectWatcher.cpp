#include "ObjectWatcher.h"

#include <QTimer>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

/// A connection may go silent for good; the next watch then takes over. Short
/// enough for a change to be in force in time, long enough to cost little.
constexpr int kWaitMs = 4000;
/// After a failure the store is asked whether it answers at all; a connection
/// that was begun during a cut is slow to notice its end.
constexpr int kProbeWaitMs = 20;
constexpr auto kRetryDelay = 150ms;
constexpr auto kMaxRetryDelay = 600ms;
constexpr unsigned kMaxDoublings = 3;
/// Where everything starts together, databases announce themselves one after
/// the other. In the first seconds what they write within the pause costs one
/// call.
constexpr auto kSettlingTime = 5s;
constexpr auto kSettlingPause = 500ms;

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
  mAge.start();
  List();
}

void
ObjectWatcher::Continue(bool aHasChanged)
{
  if (aHasChanged &&
      std::chrono::milliseconds(mAge.elapsed()) < kSettlingTime) {
    QTimer::singleShot(kSettlingPause, this, [this] { Watch(); });
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
    OnAnswer();
    mRevision = aBatch.Value().mStoreRevision;
    mIsListed = true;
    mEvents.mOnListed(aBatch.Value().mObjects);
    Continue(true);
  });
}

void
ObjectWatcher::Watch()
{
  const auto wait = mFailures > 0 ? kProbeWaitMs : kWaitMs;
  mStore.Watch(
    mKind, mRevision, wait, [this](const Result<ObjectBatch>& aBatch) {
      if (aBatch.IsError()) {
        mIsListed = aBatch.GetError().mKind != ErrorKind::NotFound;
        OnFailure(aBatch.GetError());
        return;
      }
      OnAnswer();
      // A watch never goes back, whatever its answer says.
      mRevision = std::max(mRevision, aBatch.Value().mStoreRevision);
      for (const auto& it : aBatch.Value().mObjects) {
        mEvents.mOnChanged(it);
      }
      Continue(!aBatch.Value().mObjects.empty());
    });
}

void
ObjectWatcher::OnAnswer()
{
  if (mFailures > 0) {
    StructuredLog::Instance().Write(LogPriority::Decision,
                                    "store.regained",
                                    { { "kind", mKind.toStdString() },
                                      { "after", std::to_string(mFailures) } });
  }
  mFailures = 0;
}

void
ObjectWatcher::OnFailure(const Error& aError)
{
  if (mFailures == 0) {
    StructuredLog::Instance().Write(
      LogPriority::Decision,
      "store.lost",
      { { "kind", mKind.toStdString() }, { "error", aError.mMessage } });
  }
  const auto delay = std::min<Milliseconds>(
    kRetryDelay * (1 << std::min(mFailures, kMaxDoublings)), kMaxRetryDelay);
  ++mFailures;
  QTimer::singleShot(delay, this, [this] { mIsListed ? Watch() : List(); });
}

}
