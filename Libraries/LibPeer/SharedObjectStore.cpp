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

/// A confirmation is passed on when it is newer by this. Less would cost a
/// message for each instance that passes it on.
constexpr Duration kMinGain = 250ms;
/// The wait of a watch of the store in parts of the limit of the age: an age
/// reaches twice the wait before the next answer, which must leave time for one
/// that is late.
constexpr double kWaitPart = 0.4;
/// The age, in parts of the limit, above which other instances are asked.
constexpr double kAskPart = 0.5;
/// Between two instances that are asked for a newer confirmation.
constexpr Duration kAskInterval = 200ms;
/// How many instances are asked in a fleet whose instances all watch the store.
constexpr size_t kConfirmationSources = 4;
/// The known age of an instance that knows no confirmation.
constexpr Milliseconds kUnknownAge = 24h;

constexpr const char kStoreSource[] = "store";

Milliseconds
RoundUp(Duration aTime)
{
  return std::chrono::ceil<Milliseconds>(std::max(aTime, Duration::zero()));
}

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
  mConfirmationSources.clear();
  if (!mAgeLimit) {
    return;
  }
  auto sources = mPlan.mSources;
  if (sources.empty()) {
    sources = RendezvousOrder(mSelf.mName, aInstances);
    std::erase_if(sources,
                  [&](const auto& it) { return it.mName == mSelf.mName; });
    sources.resize(std::min(sources.size(), kConfirmationSources));
  }
  std::ranges::transform(
    sources, std::back_inserter(mConfirmationSources), &InstanceInfo::mName);
}

void
SharedObjectStore::LimitAge(const QString& aKind,
                            Duration aLimit,
                            ConfirmationHandler aOnConfirmed)
{
  mAgeLimit.emplace(AgeLimit{ aKind, aLimit, std::move(aOnConfirmed) });
}

void
SharedObjectStore::Confirm(const QString& aKind,
                           uint64_t aEra,
                           Instant aConfirmedAt)
{
  auto& kind = mKinds[aKind];
  if (aEra == kind.mMirror.Revision().mEra) {
    kind.mConfirmedAt =
      std::max(kind.mConfirmedAt.value_or(aConfirmedAt), aConfirmedAt);
  }
}

/// Call after the objects were passed on.
void
SharedObjectStore::ReportConfirmation(const QString& aKind)
{
  const auto& confirmedAt = mKinds[aKind].mConfirmedAt;
  if (IsAgeLimited(aKind) && confirmedAt) {
    mAgeLimit->mOnConfirmed(*confirmedAt);
  }
}

Milliseconds
SharedObjectStore::KnownAge(const QString& aKind)
{
  const auto& confirmedAt = mKinds[aKind].mConfirmedAt;
  return confirmedAt ? std::min(RoundUp(mClock() - *confirmedAt), kUnknownAge)
                     : kUnknownAge;
}

/// The wait of a watch of the store. After a change all watchers are answered
/// at the same time; each then waits for another part of the time once, so that
/// their confirmations don't come at the same time ever after.
int
SharedObjectStore::LimitWait(const QString& aKind, int aWaitMs)
{
  if (!IsAgeLimited(aKind)) {
    return aWaitMs;
  }
  const auto limit =
    std::chrono::duration<double, std::milli>(kWaitPart * mAgeLimit->mLimit);
  const auto wait = std::min(aWaitMs, static_cast<int>(limit.count()));
  if (!std::exchange(mKinds[aKind].mHasChanged, false)) {
    return wait;
  }
  const auto rank = std::ranges::count_if(
    mConfirmationSources, [&](const auto& it) { return it < mSelf.mName; });
  const auto count = static_cast<int>(mConfirmationSources.size()) + 1;
  return wait * (static_cast<int>(rank) + 1) / count;
}

/// Asks another instance for a newer confirmation, while that of this instance
/// is old.
void
SharedObjectStore::AskForConfirmation()
{
  if (!mAgeLimit || mAgeLimit->mIsAsking || mConfirmationSources.empty()) {
    return;
  }
  const auto now = mClock();
  const auto& kind = mKinds[mAgeLimit->mKind];
  const auto age = KnownAge(mAgeLimit->mKind);
  if (!kind.mWatchedRevision || now < mAgeLimit->mNextAskAt ||
      age < mAgeLimit->mLimit * kAskPart) {
    return;
  }
  mAgeLimit->mNextAskAt = now + kAskInterval;
  const auto& source =
    mConfirmationSources[mAgeLimit->mAskCount++ % mConfirmationSources.size()];
  if (!mPeers.IsUsable(source)) {
    return;
  }
  WatchObjects watch;
  watch.mKind = mAgeLimit->mKind.toStdString();
  watch.mAfterRevision = *kind.mWatchedRevision;
  watch.mMaxWait = Milliseconds(kPeerWaitMs);
  watch.mMaxAge = kMaxAge;
  watch.mKnownAge = age;
  mAgeLimit->mIsAsking = true;
  mPeers.Watch(source,
               watch,
               [=, this, revision = *kind.mWatchedRevision](
                 const Result<ObjectsAnswer>& aAnswer) {
                 mAgeLimit->mIsAsking = false;
                 OnConfirmationAnswer(revision, now, aAnswer);
               });
}

/// An answer without changes confirms what this instance knows. Changes are
/// left to the watch: they come in order there.
void
SharedObjectStore::OnConfirmationAnswer(const StoreRevision& aRevision,
                                        Instant aSentAt,
                                        const Result<ObjectsAnswer>& aAnswer)
{
  const auto& name = mAgeLimit->mKind;
  auto& kind = mKinds[name];
  if (aAnswer.IsError() || aAnswer.Value().mIsUnavailable ||
      !aAnswer.Value().mConfirmedAfter || kind.mWatchedRevision != aRevision) {
    return;
  }
  const auto& batch = aAnswer.Value().mBatch;
  if (!batch.mObjects.empty() || batch.mStoreRevision.mEra != aRevision.mEra) {
    return;
  }
  Confirm(name, aRevision.mEra, aSentAt + *aAnswer.Value().mConfirmedAfter);
  AnswerPendingWatches(kind);
  ReportConfirmation(name);
}

void
SharedObjectStore::List(const QString& aKind, BatchHandler aHandler)
{
  mKinds[aKind].mWatchedRevision.reset();
  const auto sentAt = mClock();
  mStore.List(aKind, [=, this](const Result<ObjectBatch>& aBatch) {
    auto& kind = mKinds[aKind];
    if (!aBatch.IsError()) {
      kind.mMirror.ApplyList(aBatch.Value(), mClock());
      Confirm(aKind, aBatch.Value().mStoreRevision.mEra, sentAt);
      kind.mHasChanged = true;
      AnswerPendingWatches(kind);
      aHandler(aBatch);
      ReportConfirmation(aKind);
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
  if (IsAgeLimited(aKind)) {
    list.mKnownAge = KnownAge(aKind);
  }
  const auto sentAt = mClock();
  mPeers.Watch(source, list, [=, this](const Result<ObjectsAnswer>& aAnswer) {
    if (!HasObjects(aAnswer, aMinEra)) {
      ListFrom(aKind, aSources, aMaxAge, aMinEra, aHandler, aOnUnavailable);
      return;
    }
    SetSource(aKind, source);
    const auto& batch = aAnswer.Value().mBatch;
    if (aAnswer.Value().mConfirmedAfter) {
      mKinds[aKind].mMirror.ApplyList(batch, mClock());
      Confirm(aKind,
              batch.mStoreRevision.mEra,
              sentAt + *aAnswer.Value().mConfirmedAfter);
    }
    aHandler(batch);
    ReportConfirmation(aKind);
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
  mKinds[aKind].mWatchedRevision = aAfter;
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
  if (IsAgeLimited(aKind)) {
    watch.mKnownAge = KnownAge(aKind);
  }
  const auto sentAt = mClock();
  mPeers.Watch(source, watch, [=, this](const Result<ObjectsAnswer>& aAnswer) {
    if (HasObjects(aAnswer, Era())) {
      const auto& batch = aAnswer.Value().mBatch;
      const auto era = batch.mStoreRevision.mEra;
      auto& kind = mKinds[aKind];
      kind.mMirror.ApplyChanges(batch, mClock());
      const bool isConfirmed =
        aAnswer.Value().mConfirmedAfter && era == aAfter.mEra;
      if (isConfirmed) {
        Confirm(aKind, era, sentAt + *aAnswer.Value().mConfirmedAfter);
        AnswerPendingWatches(kind);
      }
      aHandler(batch);
      if (isConfirmed) {
        ReportConfirmation(aKind);
      }
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
  const auto wait =
    LimitWait(aKind, isShared ? std::min(aWaitMs, kSharedWaitMs) : aWaitMs);
  const auto sentAt = mClock();
  mStore.Watch(
    aKind, aAfter, wait, [=, this](const Result<ObjectBatch>& aBatch) {
      auto& kind = mKinds[aKind];
      // Changes of another era don't follow aAfter: the objects are listed.
      const bool isConfirmed =
        !aBatch.IsError() && aBatch.Value().mStoreRevision.mEra == aAfter.mEra;
      if (aBatch.IsError()) {
        kind.mMirror.NoteUpdateFailure();
        mStoreSkippedUntil = mClock() + kSkipTime;
      } else {
        kind.mMirror.ApplyChanges(aBatch.Value(), mClock());
      }
      if (isConfirmed) {
        Confirm(aKind, aAfter.mEra, sentAt);
        kind.mHasChanged = !aBatch.Value().mObjects.empty();
      }
      AnswerPendingWatches(kind);
      aHandler(aBatch);
      if (isConfirmed) {
        ReportConfirmation(aKind);
      }
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
                              const WatchObjects& aWatch,
                              Instant aArrivedAt) const
{
  ObjectsAnswer answer;
  answer.mCall = aWatch.mCall;
  const auto changes = aKind.mMirror.ChangesAfter(aWatch.mAfterRevision);
  const bool isCurrent =
    aKind.mIsFromStore && aKind.mMirror.IsCurrent(mClock(), aWatch.mMaxAge);
  answer.mIsUnavailable =
    !changes || !(isCurrent || HasNewerConfirmation(aKind, aWatch, aArrivedAt));
  if (!answer.mIsUnavailable) {
    answer.mBatch = *changes;
    if (aWatch.mKnownAge && aKind.mConfirmedAt) {
      answer.mConfirmedAfter =
        std::chrono::floor<Milliseconds>(*aKind.mConfirmedAt - aArrivedAt);
    }
  }
  return answer;
}

/// Objects that come from another instance are passed on in this case too:
/// since it must be newer, instances that watch each other don't go on with
/// each other's old state.
bool
SharedObjectStore::HasNewerConfirmation(const Kind& aKind,
                                        const WatchObjects& aWatch,
                                        Instant aArrivedAt) const
{
  if (!aWatch.mKnownAge || !aKind.mConfirmedAt || !aKind.mMirror.IsComplete()) {
    return false;
  }
  return *aKind.mConfirmedAt - kMinGain >= aArrivedAt - *aWatch.mKnownAge;
}

void
SharedObjectStore::ServeWatch(const WatchObjects& aWatch,
                              ObjectsResponder aRespond)
{
  auto& kind = mKinds[QString::fromStdString(aWatch.mKind)];
  const auto now = mClock();
  const auto answer = MakeAnswer(kind, aWatch, now);
  if (IsFinal(answer, aWatch) || HasNewerConfirmation(kind, aWatch, now)) {
    aRespond(answer);
    return;
  }
  kind.mPendingWatches.push_back(
    { aWatch, now, now + aWatch.mMaxWait, std::move(aRespond) });
}

/// Answers the watches that have changes or have timed out, and all watches
/// when this instance does not know the current state of the store.
void
SharedObjectStore::AnswerPendingWatches(Kind& aKind)
{
  const auto now = mClock();
  const auto pending = std::exchange(aKind.mPendingWatches, {});
  for (const auto& it : pending) {
    const auto answer = MakeAnswer(aKind, it.mWatch, it.mArrivedAt);
    if (IsFinal(answer, it.mWatch) || now >= it.mDeadline ||
        HasNewerConfirmation(aKind, it.mWatch, it.mArrivedAt)) {
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
  AskForConfirmation();
}

}
