#include "LibPeer/SharedObjectStore.h"

#include <algorithm>
#include <utility>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

/// How long a watch of the store waits where others depend on it. A connection
/// that went silent is noticed after it, well within the time in which a
/// configuration must be in force.
constexpr int kSharedWaitMs = 2000;
/// The same for a watch at another instance, which costs no call.
constexpr int kPeerWaitMs = 1000;
/// The wait of a watch of the store and the time for its answer: what was
/// confirmed longer ago may be old.
constexpr Milliseconds kMaxAge = 3s;
/// The same for lists that may be stale: above the time between two lists of
/// those who follow the store.
constexpr Milliseconds kStaleAge = 2min;
/// How long a source that gave no answer is passed over.
constexpr Duration kAvoidance = 3s;

constexpr const char kStoreItself[] = "store";

}

SharedObjectStore::SharedObjectStore(ObjectStore& aStore,
                                     PeerPool& aPeers,
                                     InstanceInfo aSelf,
                                     Clock aClock,
                                     PeerPool::LogSink aLog)
  : mStore(aStore)
  , mPeers(aPeers)
  , mSelf(std::move(aSelf))
  , mClock(std::move(aClock))
  , mLog(std::move(aLog))
{
}

void
SharedObjectStore::SetFleet(const std::vector<InstanceInfo>& aInstances)
{
  mPlan = PlanWatches(mSelf, aInstances);
}

void
SharedObjectStore::List(const QString& aKind, BatchHandler aHandler)
{
  mStore.List(aKind, [=, this](const Result<ObjectBatch>& aBatch) {
    auto& kind = mKinds[aKind];
    if (aBatch.IsError()) {
      kind.mMirror.NoteFailure();
    } else {
      kind.mMirror.TakeList(aBatch.Value(), mClock());
    }
    AnswerWaiting(kind);
    aHandler(aBatch);
  });
}

void
SharedObjectStore::ListStale(const QString& aKind, BatchHandler aHandler)
{
  auto sources = UsableSources();
  std::ranges::reverse(sources);
  ListFrom(aKind, std::move(sources), aHandler);
}

/// Asks the last of the sources first.
void
SharedObjectStore::ListFrom(const QString& aKind,
                            std::vector<std::string> aSources,
                            const BatchHandler& aHandler)
{
  while (!aSources.empty() && !mPeers.IsUsable(aSources.back())) {
    aSources.pop_back();
  }
  if (aSources.empty()) {
    mStore.ListStale(aKind, [=, this](const Result<ObjectBatch>& aBatch) {
      if (!aBatch.IsError()) {
        auto& kind = mKinds[aKind];
        kind.mIsDirect = true;
        kind.mMirror.TakeList(aBatch.Value(), mClock());
      }
      aHandler(aBatch);
    });
    return;
  }
  const auto source = aSources.back();
  aSources.pop_back();
  WatchObjects list;
  list.mKind = aKind.toStdString();
  list.mMaxAge = kStaleAge;
  mPeers.Watch(source, list, [=, this](const ObjectsAnswer& aAnswer) {
    if (aAnswer.mIsUnknown) {
      ListFrom(aKind, aSources, aHandler);
      return;
    }
    mKinds[aKind].mIsDirect = false;
    aHandler(aAnswer.mBatch);
  });
}

void
SharedObjectStore::Get(const QString& aKind,
                       const QString& aName,
                       ObjectHandler aHandler)
{
  mStore.Get(aKind, aName, std::move(aHandler));
}

void
SharedObjectStore::Put(const QString& aKind,
                       const QString& aName,
                       int64_t aRevision,
                       const QJsonValue& aContent,
                       ObjectHandler aHandler)
{
  mStore.Put(aKind, aName, aRevision, aContent, std::move(aHandler));
}

std::vector<std::string>
SharedObjectStore::UsableSources() const
{
  const auto now = mClock();
  std::vector<std::string> sources;
  if (mPlan.mIsWatcher && now >= mStoreAvoidedUntil) {
    return sources;
  }
  for (const auto& it : mPlan.mSources) {
    const auto avoided = mAvoided.find(it.mName);
    const bool isAvoided = avoided != mAvoided.end() && now < avoided->second;
    if (!isAvoided && mPeers.IsUsable(it.mName)) {
      sources.push_back(it.mName);
    }
  }
  return sources;
}

void
SharedObjectStore::Watch(const QString& aKind,
                         int64_t aAfter,
                         int aWaitMs,
                         BatchHandler aHandler)
{
  auto sources = UsableSources();
  std::ranges::reverse(sources);
  WatchFrom(aKind, aAfter, aWaitMs, std::move(sources), aHandler);
}

/// Asks the last of the sources first.
void
SharedObjectStore::WatchFrom(const QString& aKind,
                             int64_t aAfter,
                             int aWaitMs,
                             std::vector<std::string> aSources,
                             const BatchHandler& aHandler)
{
  while (!aSources.empty() && !mPeers.IsUsable(aSources.back())) {
    aSources.pop_back();
  }
  if (aSources.empty()) {
    WatchStore(aKind, aAfter, aWaitMs, aHandler);
    return;
  }
  const auto source = aSources.back();
  aSources.pop_back();
  NoteSource(aKind, source);
  WatchObjects watch;
  watch.mKind = aKind.toStdString();
  watch.mAfter = aAfter;
  watch.mWait = Milliseconds(std::min(aWaitMs, kPeerWaitMs));
  watch.mMaxAge = kMaxAge;
  mPeers.Watch(source, watch, [=, this](const ObjectsAnswer& aAnswer) {
    if (aAnswer.mIsUnknown) {
      mAvoided[source] = mClock() + kAvoidance;
      WatchFrom(aKind, aAfter, aWaitMs, aSources, aHandler);
      return;
    }
    mKinds[aKind].mMirror.TakeChanges(aAnswer.mBatch, mClock());
    aHandler(aAnswer.mBatch);
  });
}

void
SharedObjectStore::WatchStore(const QString& aKind,
                              int64_t aAfter,
                              int aWaitMs,
                              const BatchHandler& aHandler)
{
  NoteSource(aKind, kStoreItself);
  const bool isShared = !mPlan.mSources.empty();
  const auto wait = isShared ? std::min(aWaitMs, kSharedWaitMs) : aWaitMs;
  mStore.Watch(
    aKind, aAfter, wait, [=, this](const Result<ObjectBatch>& aBatch) {
      auto& kind = mKinds[aKind];
      if (aBatch.IsError()) {
        kind.mMirror.NoteFailure();
        mStoreAvoidedUntil = mClock() + kAvoidance;
      } else {
        kind.mMirror.TakeChanges(aBatch.Value(), mClock());
      }
      AnswerWaiting(kind);
      aHandler(aBatch);
    });
}

void
SharedObjectStore::NoteSource(const QString& aKind, const std::string& aSource)
{
  auto& kind = mKinds[aKind];
  if (kind.mSource == aSource) {
    return;
  }
  kind.mSource = aSource;
  kind.mIsDirect = aSource == kStoreItself;
  mLog("watch.source",
       { { "kind", aKind.toStdString() },
         { "source", aSource },
         { "revision", std::to_string(kind.mMirror.Revision()) } });
}

ObjectsAnswer
SharedObjectStore::AnswerFor(const Kind& aKind,
                             const WatchObjects& aWatch) const
{
  ObjectsAnswer answer;
  answer.mCall = aWatch.mCall;
  const auto changes = aKind.mMirror.ChangesAfter(aWatch.mAfter);
  answer.mIsUnknown = !aKind.mIsDirect || !changes ||
                      !aKind.mMirror.IsCurrent(mClock(), aWatch.mMaxAge);
  if (!answer.mIsUnknown) {
    answer.mBatch = *changes;
  }
  return answer;
}

void
SharedObjectStore::Serve(const WatchObjects& aWatch, ObjectsResponder aRespond)
{
  auto& kind = mKinds[QString::fromStdString(aWatch.mKind)];
  const auto answer = AnswerFor(kind, aWatch);
  if (answer.mIsUnknown || !answer.mBatch.mObjects.empty()) {
    aRespond(answer);
    return;
  }
  kind.mWaiting.push_back(
    { aWatch, mClock() + aWatch.mWait, std::move(aRespond) });
}

/// Answers the watches that something changed for, and all when this instance
/// no longer knows what the store holds.
void
SharedObjectStore::AnswerWaiting(Kind& aKind)
{
  const auto now = mClock();
  const auto waiting = std::exchange(aKind.mWaiting, {});
  for (const auto& it : waiting) {
    const auto answer = AnswerFor(aKind, it.mWatch);
    if (answer.mIsUnknown || !answer.mBatch.mObjects.empty() ||
        now >= it.mUntil) {
      it.mRespond(answer);
    } else {
      aKind.mWaiting.push_back(it);
    }
  }
}

void
SharedObjectStore::Tick()
{
  for (auto& [name, it] : mKinds) {
    const bool isAnyDue =
      std::ranges::any_of(it.mWaiting, [now = mClock()](const auto& aWaiting) {
        return now >= aWaiting.mUntil;
      });
    if (isAnyDue) {
      AnswerWaiting(it);
    }
  }
}

}
