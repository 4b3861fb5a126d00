#include "LibPeer/SharedObjectStore.h"

#include <algorithm>
#include <utility>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

/// Maximum wait of a watch of the store where other instances may depend on it.
/// It bounds the time until an unresponsive connection is noticed, which must
/// be well below the time in which a new configuration has to be in force.
constexpr int kSharedWaitMs = 2000;
/// Maximum wait of a watch at another instance, which costs no call to the
/// store.
constexpr int kPeerWaitMs = 1000;
/// Maximum age of the answer to a watch: the wait of a watch of the store and
/// the time for its answer. State confirmed longer ago may be outdated.
constexpr Milliseconds kMaxAge = 3s;
/// Maximum age of the answer to a stale list: longer than the interval between
/// two lists of an instance that watches the store.
constexpr Milliseconds kMaxStaleAge = 2min;
/// How long an instance, or the store, is skipped after it failed to answer.
/// The store remains the last resort.
constexpr Duration kSkipTime = 3s;

constexpr const char kStoreSource[] = "store";

/// Whether an answer to a watch need not wait for further changes.
bool
IsFinal(const ObjectsAnswer& aAnswer, const WatchObjects& aWatch)
{
  const auto& batch = aAnswer.mBatch;
  return aAnswer.mIsUnavailable || !batch.mObjects.empty() ||
         batch.mStoreRevision.mEra != aWatch.mAfterRevision.mEra;
}

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
    if (!aBatch.IsError()) {
      kind.mMirror.ApplyList(aBatch.Value(), mClock());
      AnswerPendingWatches(kind);
      aHandler(aBatch);
      return;
    }
    kind.mMirror.NoteUpdateFailure();
    mStoreSkippedUntil = mClock() + kSkipTime;
    AnswerPendingWatches(kind);
    ListFrom(aKind, SourcesByPreference(), kMaxAge, Era(), aHandler, [=] {
      aHandler(aBatch);
    });
  });
}

void
SharedObjectStore::ListStale(const QString& aKind, BatchHandler aHandler)
{
  const auto listAtStore = [=, this] {
    mStore.ListStale(aKind, [=, this](const Result<ObjectBatch>& aBatch) {
      if (!aBatch.IsError()) {
        SetSource(aKind, kStoreSource);
        mKinds[aKind].mMirror.ApplyList(aBatch.Value(), mClock());
      }
      aHandler(aBatch);
    });
  };
  ListFrom(
    aKind, SourcesByPreference(), kMaxStaleAge, 0, aHandler, listAtStore);
}

void
SharedObjectStore::ListFrom(const QString& aKind,
                            std::vector<std::string> aSources,
                            Milliseconds aMaxAge,
                            uint64_t aMinEra,
                            const BatchHandler& aHandler,
                            const std::function<void()>& aOnUnavailable)
{
  while (!aSources.empty() && !mPeers.IsUsable(aSources.back())) {
    aSources.pop_back();
  }
  if (aSources.empty()) {
    aOnUnavailable();
    return;
  }
  const auto source = aSources.back();
  aSources.pop_back();
  WatchObjects list;
  list.mKind = aKind.toStdString();
  list.mMaxAge = aMaxAge;
  mPeers.Watch(source, list, [=, this](const Result<ObjectsAnswer>& aAnswer) {
    if (!HasObjects(aAnswer, aMinEra)) {
      ListFrom(aKind, aSources, aMaxAge, aMinEra, aHandler, aOnUnavailable);
      return;
    }
    SetSource(aKind, source);
    aHandler(aAnswer.Value().mBatch);
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
                       const StoreRevision& aRevision,
                       const QJsonValue& aContent,
                       ObjectHandler aHandler)
{
  mStore.Put(aKind, aName, aRevision, aContent, std::move(aHandler));
}

/// The usable sources, the most preferred one last.
std::vector<std::string>
SharedObjectStore::SourcesByPreference() const
{
  const auto now = mClock();
  std::vector<std::string> sources;
  if (mPlan.mIsWatcher && now >= mStoreSkippedUntil) {
    return sources;
  }
  for (const auto& it : mPlan.mSources) {
    const auto skipped = mSkippedUntil.find(it.mName);
    const bool isSkipped =
      skipped != mSkippedUntil.end() && now < skipped->second;
    if (!isSkipped && mPeers.IsUsable(it.mName)) {
      sources.push_back(it.mName);
    }
  }
  std::ranges::reverse(sources);
  return sources;
}

void
SharedObjectStore::Watch(const QString& aKind,
                         const StoreRevision& aAfter,
                         int aWaitMs,
                         BatchHandler aHandler)
{
  WatchFrom(aKind, aAfter, aWaitMs, SourcesByPreference(), aHandler);
}

/// Whether an instance answered with objects of aMinEra or later.
bool
SharedObjectStore::HasObjects(const Result<ObjectsAnswer>& aAnswer,
                              uint64_t aMinEra)
{
  if (aAnswer.IsError()) {
    return false;
  }
  const auto era = aAnswer.Value().mBatch.mStoreRevision.mEra;
  mPeerEra = std::max(mPeerEra, era);
  return !aAnswer.Value().mIsUnavailable && era >= aMinEra;
}

/// Tries the sources from the last to the first, then the store. When a source
/// does not answer in time, the store is asked at once.
void
SharedObjectStore::WatchFrom(const QString& aKind,
                             const StoreRevision& aAfter,
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
  SetSource(aKind, source);
  WatchObjects watch;
  watch.mKind = aKind.toStdString();
  watch.mAfterRevision = aAfter;
  watch.mMaxWait = Milliseconds(std::min(aWaitMs, kPeerWaitMs));
  watch.mMaxAge = kMaxAge;
  mPeers.Watch(source, watch, [=, this](const Result<ObjectsAnswer>& aAnswer) {
    if (HasObjects(aAnswer, Era())) {
      const auto& batch = aAnswer.Value().mBatch;
      mKinds[aKind].mMirror.ApplyChanges(batch, mClock());
      aHandler(batch);
      return;
    }
    mSkippedUntil[source] = mClock() + kSkipTime;
    // The timeouts of several silent sources would add up.
    const bool isSilent = aAnswer.IsError() &&
                          aAnswer.GetError().mKind == ErrorKind::DeadlinePassed;
    WatchFrom(aKind,
              aAfter,
              aWaitMs,
              isSilent ? std::vector<std::string>() : aSources,
              aHandler);
  });
}

void
SharedObjectStore::WatchStore(const QString& aKind,
                              const StoreRevision& aAfter,
                              int aWaitMs,
                              const BatchHandler& aHandler)
{
  SetSource(aKind, kStoreSource);
  const bool isShared = !mPlan.mSources.empty();
  const auto wait = isShared ? std::min(aWaitMs, kSharedWaitMs) : aWaitMs;
  mStore.Watch(
    aKind, aAfter, wait, [=, this](const Result<ObjectBatch>& aBatch) {
      auto& kind = mKinds[aKind];
      if (aBatch.IsError()) {
        kind.mMirror.NoteUpdateFailure();
        mStoreSkippedUntil = mClock() + kSkipTime;
      } else {
        kind.mMirror.ApplyChanges(aBatch.Value(), mClock());
      }
      AnswerPendingWatches(kind);
      aHandler(aBatch);
    });
}

void
SharedObjectStore::SetSource(const QString& aKind, const std::string& aSource)
{
  auto& kind = mKinds[aKind];
  if (kind.mSource == aSource) {
    return;
  }
  kind.mSource = aSource;
  kind.mIsFromStore = aSource == kStoreSource;
  mLog("watch.source",
       { { "kind", aKind.toStdString() },
         { "source", aSource },
         { "revision", kind.mMirror.Revision().ToString() } });
}

ObjectsAnswer
SharedObjectStore::MakeAnswer(const Kind& aKind,
                              const WatchObjects& aWatch) const
{
  ObjectsAnswer answer;
  answer.mCall = aWatch.mCall;
  const auto changes = aKind.mMirror.ChangesAfter(aWatch.mAfterRevision);
  answer.mIsUnavailable = !aKind.mIsFromStore || !changes ||
                          !aKind.mMirror.IsCurrent(mClock(), aWatch.mMaxAge);
  if (!answer.mIsUnavailable) {
    answer.mBatch = *changes;
  }
  return answer;
}

void
SharedObjectStore::ServeWatch(const WatchObjects& aWatch,
                              ObjectsResponder aRespond)
{
  auto& kind = mKinds[QString::fromStdString(aWatch.mKind)];
  const auto answer = MakeAnswer(kind, aWatch);
  if (IsFinal(answer, aWatch)) {
    aRespond(answer);
    return;
  }
  kind.mPendingWatches.push_back(
    { aWatch, mClock() + aWatch.mMaxWait, std::move(aRespond) });
}

/// Answers the watches that have changes or have timed out, and all watches
/// when this instance does not know the current state of the store.
void
SharedObjectStore::AnswerPendingWatches(Kind& aKind)
{
  const auto now = mClock();
  const auto pending = std::exchange(aKind.mPendingWatches, {});
  for (const auto& it : pending) {
    const auto answer = MakeAnswer(aKind, it.mWatch);
    if (IsFinal(answer, it.mWatch) || now >= it.mDeadline) {
      it.mRespond(answer);
    } else {
      aKind.mPendingWatches.push_back(it);
    }
  }
}

void
SharedObjectStore::Tick()
{
  for (auto& [name, it] : mKinds) {
    const bool isAnyDue = std::ranges::any_of(
      it.mPendingWatches, [now = mClock()](const auto& aPending) {
        return now >= aPending.mDeadline;
      });
    if (isAnyDue) {
      AnswerPendingWatches(it);
    }
  }
}

}
