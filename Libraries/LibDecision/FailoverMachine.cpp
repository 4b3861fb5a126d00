#include "LibDecision/FailoverMachine.h"

#include "LibDecision/Overloaded.h"

#include <algorithm>
#include <utility>

namespace papayaline {

namespace {

const char*
CauseName(FailoverCause aCause)
{
  switch (aCause) {
    case FailoverCause::None:
      return "none";
    case FailoverCause::NoPrimary:
      return "no primary";
    case FailoverCause::PrimaryUnreachable:
      return "primary unreachable";
    case FailoverCause::PrimarySilent:
      return "primary silent";
    case FailoverCause::ReplicationStalled:
      return "replication stalled";
    case FailoverCause::SplitTerms:
      return "split terms";
    case FailoverCause::Switchover:
      return "switchover";
  }
  return "none";
}

}

FailoverMachine::FailoverMachine(FailoverIdentity aIdentity,
                                 FailoverSettings aSettings)
  : mIdentity(std::move(aIdentity))
  , mSettings(aSettings)
  , mBackoff(aSettings.mInitialBackoff)
{
}

FailoverActions
FailoverMachine::Handle(const FailoverEvent& aEvent, Instant aNow)
{
  if (!mStartedAt) {
    mStartedAt = aNow;
  }
  std::visit(
    Overloaded{
      [&](const Tick&) { OnTick(aNow); },
      [&](const UpstreamReported& aIt) { OnReport(aIt.mReport, aNow); },
      [&](const UpstreamFailed& aIt) {
        auto& observation = mObservations[aIt.mUpstream];
        observation.mFailingSince = observation.mFailingSince.value_or(aNow);
      },
      [&](const PeerViewReceived& aIt) {
        const bool isCurrent = aIt.mView.mTerm >= mHighestTerm;
        ++(aIt.mView.mIsHealthy && isCurrent ? mHealthyViews : mUnhealthyViews);
      },
      [&](const CommandAnswered& aIt) { OnCommandAnswered(aIt, aNow); },
      [&](const SwitchoverRequested&) { mIsSwitchoverRequested = true; } },
    aEvent);
  return std::exchange(mActions, {});
}

void
FailoverMachine::SetIdentity(const FailoverIdentity& aIdentity)
{
  if (aIdentity.mCoordinatorIndex != mIdentity.mCoordinatorIndex) {
    mPhase = Phase::Watching;
    mSuspectedAt.reset();
  }
  mIdentity = aIdentity;
  std::erase_if(mObservations, [&](const auto& it) {
    return std::ranges::find(mIdentity.mUpstreams, it.first) ==
           mIdentity.mUpstreams.end();
  });
}

void
FailoverMachine::OnReport(const UpstreamReport& aReport, Instant aNow)
{
  auto& observation = mObservations[aReport.mUpstream];
  if (observation.mReport &&
      observation.mReport->mRequestedAt > aReport.mRequestedAt) {
    return;
  }
  observation.mReport = aReport;
  observation.mReportedAt = aNow;
  observation.mFailingSince.reset();
  ObserveTerm(aReport.mFencedTerm, aNow);
  TrackProgress(aNow);
}

void
FailoverMachine::ObserveTerm(uint64_t aTerm, Instant aNow)
{
  if (aTerm > mHighestTerm) {
    mHighestTerm = aTerm;
    mHighestTermAt = aNow;
  }
}

std::vector<UpstreamReport>
FailoverMachine::Reports() const
{
  std::vector<UpstreamReport> reports;
  for (const auto& [key, it] : mObservations) {
    if (it.mReport) {
      reports.push_back(*it.mReport);
    }
  }
  return reports;
}

std::optional<UpstreamReport>
FailoverMachine::KnownPrimary() const
{
  const auto reports = Reports();
  const auto* primary = FindPrimary(reports);
  return primary ? std::optional(*primary) : std::nullopt;
}

/// Replication is stalled while the primary is ahead of all replicas in its
/// term and the most advanced of them makes no progress.
void
FailoverMachine::TrackProgress(Instant aNow)
{
  const auto primary = KnownPrimary();
  if (!primary) {
    mStalledSince.reset();
    return;
  }
  LogPosition best;
  for (const auto& it : Reports()) {
    if (it.mUpstream != primary->mUpstream &&
        it.mFencedTerm == primary->mFencedTerm) {
      best = std::max(best, it.mLast);
    }
  }
  const bool isBehind = primary->mLast > best;
  if (!isBehind || best != mBestReplicaPosition) {
    mStalledSince.reset();
  }
  if (isBehind && !mStalledSince) {
    mStalledSince = aNow;
  }
  mBestReplicaPosition = best;
}

FailoverCause
FailoverMachine::FindCause(Instant aNow) const
{
  const auto primary = KnownPrimary();
  if (!primary) {
    const bool waited =
      aNow - mStartedAt.value_or(aNow) >= mSettings.mSilenceTimeout;
    return waited ? FailoverCause::NoPrimary : FailoverCause::None;
  }
  const auto& observation = mObservations.at(primary->mUpstream);
  if (observation.mFailingSince &&
      aNow - *observation.mFailingSince >= mSettings.mUnreachableTimeout) {
    return FailoverCause::PrimaryUnreachable;
  }
  if (aNow - observation.mReportedAt >= mSettings.mSilenceTimeout) {
    return FailoverCause::PrimarySilent;
  }
  const bool isSplit = std::ranges::any_of(Reports(), [&](const auto& it) {
    return it.mFencedTerm > primary->mFencedTerm;
  });
  if (isSplit) {
    return FailoverCause::SplitTerms;
  }
  if (mStalledSince && aNow - *mStalledSince >= mSettings.mStallTimeout) {
    return FailoverCause::ReplicationStalled;
  }
  const bool isLeaving = mIdentity.mLeaving.contains(primary->mUpstream);
  if (mIsSwitchoverRequested || isLeaving) {
    return FailoverCause::Switchover;
  }
  return FailoverCause::None;
}

PrimaryView
FailoverMachine::View(Instant aNow) const
{
  const auto primary = KnownPrimary();
  if (!primary) {
    return {};
  }
  const auto cause = FindCause(aNow);
  const bool isHealthy =
    cause == FailoverCause::None || cause == FailoverCause::Switchover;
  return { primary->mFencedTerm, primary->mUpstream, isHealthy };
}

void
FailoverMachine::OnTick(Instant aNow)
{
  switch (mPhase) {
    case Phase::Watching:
      Watch(aNow);
      return;
    case Phase::RequestingViews:
      EvaluateViews(aNow);
      return;
    case Phase::Quiescing:
      CheckQuiesce(aNow);
      return;
    case Phase::Fencing:
      CheckFenced(aNow);
      return;
    case Phase::Promoting:
      if (aNow >= mStepDeadline) {
        BackOff(aNow, "promotion timed out");
      } else {
        Resend(aNow);
      }
      return;
  }
}

void
FailoverMachine::Watch(Instant aNow)
{
  const auto cause = FindCause(aNow);
  if (cause == FailoverCause::None) {
    mSuspectedAt.reset();
  } else if (!mSuspectedAt || cause != mCause) {
    mSuspectedAt = mSuspectedAt.value_or(aNow);
    LogStep("suspect", CauseName(cause));
  }
  mCause = cause;
  if (!mIdentity.mCoordinatorIndex) {
    return;
  }
  Repair(aNow);
  if (!mSuspectedAt || aNow < mBackoffUntil) {
    return;
  }
  const auto rank = static_cast<int>(*mIdentity.mCoordinatorIndex);
  if (IsOtherAttemptRunning(aNow) ||
      aNow - *mSuspectedAt < mSettings.mRankDelay * rank) {
    return;
  }
  if (cause == FailoverCause::Switchover) {
    StartQuiesce(aNow);
  } else {
    RequestViews(aNow);
  }
}

/// A term without a primary is an attempt of another failover coordinator. It
/// gets the time to complete, since a higher term would make it fail.
bool
FailoverMachine::IsOtherAttemptRunning(Instant aNow) const
{
  const auto primary = KnownPrimary();
  const bool hasNoPrimary = !primary || primary->mFencedTerm < mHighestTerm;
  const auto rank = static_cast<int>(*mIdentity.mCoordinatorIndex);
  const auto timeout = mSettings.mTakeoverTimeout + mSettings.mRankDelay * rank;
  return mHighestTerm > 0 && hasNoPrimary && aNow - mHighestTermAt < timeout;
}

void
FailoverMachine::Repair(Instant aNow)
{
  const auto primary = KnownPrimary();
  if (!primary || primary->mFencedTerm < mHighestTerm) {
    return;
  }
  for (const auto& it : mIdentity.mUpstreams) {
    RepairUpstream(it, *primary, aNow);
  }
}

void
FailoverMachine::RepairUpstream(const std::string& aUpstream,
                                const UpstreamReport& aPrimary,
                                Instant aNow)
{
  const auto found = mObservations.find(aUpstream);
  if (aUpstream == aPrimary.mUpstream || found == mObservations.end() ||
      !found->second.mReport || found->second.mFailingSince) {
    return;
  }
  auto& observation = found->second;
  if (aNow - observation.mLastRepairAt < mSettings.mResendInterval) {
    return;
  }
  const auto& report = *observation.mReport;
  if (report.mFencedTerm < aPrimary.mFencedTerm) {
    observation.mLastRepairAt = aNow;
    Emit(SendCommand{ aUpstream,
                      CommandKind::Fence,
                      aPrimary.mFencedTerm,
                      aPrimary.mAttempt,
                      {} });
  } else if (report.mAttempt == aPrimary.mAttempt &&
             report.mFollows != aPrimary.mUpstream) {
    observation.mLastRepairAt = aNow;
    Emit(SendCommand{ aUpstream,
                      CommandKind::Follow,
                      aPrimary.mFencedTerm,
                      aPrimary.mAttempt,
                      aPrimary.mUpstream });
  }
}

void
FailoverMachine::RequestViews(Instant aNow)
{
  mPhase = Phase::RequestingViews;
  mHealthyViews = 0;
  mUnhealthyViews = 0;
  mStepDeadline = aNow + mSettings.mViewTimeout;
  LogStep("ask-views", CauseName(mCause));
  Emit(RequestPeerViews{});
}

void
FailoverMachine::EvaluateViews(Instant aNow)
{
  // The primary may have answered this instance again while the views of the
  // peers were requested.
  if (FindCause(aNow) == FailoverCause::None) {
    mPhase = Phase::Watching;
    return;
  }
  const bool haveAllAnswered =
    mHealthyViews + mUnhealthyViews >= mIdentity.mPeerCount;
  if (!haveAllAnswered && aNow < mStepDeadline) {
    return;
  }
  if (mHealthyViews > mUnhealthyViews) {
    BackOff(aNow, "peers see a healthy primary");
    return;
  }
  mIsPlanned = false;
  StartFencing(aNow);
}

void
FailoverMachine::StartQuiesce(Instant aNow)
{
  const auto primary = KnownPrimary();
  mOldPrimary = primary->mUpstream;
  mTerm = primary->mFencedTerm;
  mAttempt = primary->mAttempt;
  mPhase = Phase::Quiescing;
  mStepDeadline = aNow + mSettings.mSwitchoverTimeout;
  mLastSendAt = aNow;
  LogStep("quiesce", mOldPrimary);
  Emit(SendCommand{ mOldPrimary, CommandKind::Quiesce, mTerm, mAttempt, {} });
}

void
FailoverMachine::CheckQuiesce(Instant aNow)
{
  const auto primary = KnownPrimary();
  if (aNow >= mStepDeadline || !primary || primary->mUpstream != mOldPrimary) {
    mIsSwitchoverRequested = false;
    BackOff(aNow, "switchover not ready in time");
    return;
  }
  const auto hasCaughtUp = [&](const UpstreamReport& aReport) {
    return aReport.mUpstream != mOldPrimary &&
           PrefersTarget(aReport.mUpstream) &&
           aReport.mFencedTerm == primary->mFencedTerm &&
           aReport.mLast == primary->mLast;
  };
  if (primary->mQuiesced && primary->mOpenWrites == 0 &&
      std::ranges::any_of(Reports(), hasCaughtUp)) {
    mIsPlanned = true;
    StartFencing(aNow);
  }
}

uint64_t
FailoverMachine::NextTerm() const
{
  const uint64_t residue = *mIdentity.mCoordinatorIndex;
  uint64_t term = mHighestTerm + 1;
  while (term % mIdentity.mCoordinatorCount != residue) {
    ++term;
  }
  return term;
}

void
FailoverMachine::StartFencing(Instant aNow)
{
  if (!mIsPlanned) {
    const auto primary = KnownPrimary();
    mOldPrimary = primary ? primary->mUpstream : std::string();
  }
  mPhase = Phase::Fencing;
  mTerm = NextTerm();
  ObserveTerm(mTerm, aNow);
  mAttempt = mIdentity.mInstance + "/" + mIdentity.mIncarnation + "/" +
             std::to_string(++mAttemptCount);
  mFenceGrants.clear();
  mMajorityFencedAt.reset();
  mStepDeadline = aNow + mSettings.mStepTimeout;
  mLastSendAt = aNow;
  LogStep("fence", CauseName(mCause));
  for (const auto& it : mIdentity.mUpstreams) {
    Emit(SendCommand{ it, CommandKind::Fence, mTerm, mAttempt, {} });
  }
}

void
FailoverMachine::Resend(Instant aNow)
{
  if (aNow - mLastSendAt < mSettings.mResendInterval) {
    return;
  }
  mLastSendAt = aNow;
  if (mPhase == Phase::Promoting) {
    Emit(SendCommand{ mTarget, CommandKind::Promote, mTerm, mAttempt, {} });
    return;
  }
  for (const auto& it : mIdentity.mUpstreams) {
    if (!HasGranted(it)) {
      Emit(SendCommand{ it, CommandKind::Fence, mTerm, mAttempt, {} });
    }
  }
}

void
FailoverMachine::CheckFenced(Instant aNow)
{
  const size_t size = mIdentity.mUpstreams.size();
  const size_t needed =
    mSettings.mRules.Has(Rule::MajorityToPromote) ? MajorityOf(size) : 1;
  if (mFenceGrants.size() >= needed) {
    mMajorityFencedAt = mMajorityFencedAt.value_or(aNow);
    if (mFenceGrants.size() == size ||
        aNow - *mMajorityFencedAt >= mSettings.mFenceGrace) {
      StartPromotion(aNow);
    }
    return;
  }
  if (aNow >= mStepDeadline) {
    BackOff(aNow, "no majority fenced");
    return;
  }
  Resend(aNow);
}

bool
FailoverMachine::PrefersTarget(const std::string& aUpstream) const
{
  const bool isReplaced = mIsPlanned && aUpstream == mOldPrimary;
  return !isReplaced && !mIdentity.mLeaving.contains(aUpstream);
}

bool
FailoverMachine::HasGranted(const std::string& aUpstream) const
{
  return std::ranges::find(mFenceGrants,
                           aUpstream,
                           &UpstreamReport::mUpstream) != mFenceGrants.end();
}

/// A primary whose replicas receive nothing has the most advanced log and would
/// be promoted again. It is excluded when the other databases that granted the
/// fence are a majority, which holds every acknowledged write without it.
void
FailoverMachine::ExcludeStalledPrimary()
{
  const bool othersSuffice =
    mFenceGrants.size() > MajorityOf(mIdentity.mUpstreams.size());
  if (mCause == FailoverCause::ReplicationStalled && othersSuffice) {
    std::erase_if(mFenceGrants,
                  [&](const auto& it) { return it.mUpstream == mOldPrimary; });
  }
}

/// Promotes the database with the most advanced log; among equals a preferred
/// upstream, then the one that granted the fence first.
void
FailoverMachine::StartPromotion(Instant aNow)
{
  ExcludeStalledPrimary();
  const auto isWorse = [&](const auto& aLeft, const auto& aRight) {
    if (mSettings.mRules.Has(Rule::MostAdvancedLog) &&
        aLeft.mLast != aRight.mLast) {
      return aLeft.mLast < aRight.mLast;
    }
    return PrefersTarget(aLeft.mUpstream) < PrefersTarget(aRight.mUpstream);
  };
  mTarget = std::ranges::max_element(mFenceGrants, isWorse)->mUpstream;
  mPhase = Phase::Promoting;
  mStepDeadline = aNow + mSettings.mStepTimeout;
  mLastSendAt = aNow;
  LogStep("promote", mTarget);
  Emit(SendCommand{ mTarget, CommandKind::Promote, mTerm, mAttempt, {} });
}

void
FailoverMachine::FinishPromotion(const UpstreamReport& aReport, Instant aNow)
{
  LogStep("promoted", mTarget);
  OnReport(aReport, aNow);
  Emit(PublishPrimary{ mTerm, mTarget });
  for (const auto& it : mFenceGrants) {
    if (it.mUpstream != mTarget) {
      mObservations[it.mUpstream].mLastRepairAt = aNow;
      Emit(SendCommand{
        it.mUpstream, CommandKind::Follow, mTerm, mAttempt, mTarget });
    }
  }
  mPhase = Phase::Watching;
  mSuspectedAt.reset();
  mStalledSince.reset();
  mIsSwitchoverRequested = false;
  // Delays the next failover, in case the new primary fails immediately.
  mBackoffUntil = aNow + mBackoff;
  mBackoff = mSettings.mInitialBackoff;
}

void
FailoverMachine::OnCommandAnswered(const CommandAnswered& aAnswer, Instant aNow)
{
  ObserveTerm(aAnswer.mReport.mFencedTerm, aNow);
  const bool isCurrent = aAnswer.mTerm == mTerm && aAnswer.mAttempt == mAttempt;
  if (aAnswer.mIsGranted && aAnswer.mKind != CommandKind::Promote) {
    OnReport(aAnswer.mReport, aNow);
  }
  if (!isCurrent) {
    return;
  }
  if (mPhase == Phase::Fencing && aAnswer.mKind == CommandKind::Fence) {
    if (aAnswer.mIsGranted) {
      if (!HasGranted(aAnswer.mUpstream)) {
        mFenceGrants.push_back(aAnswer.mReport);
      }
      CheckFenced(aNow);
    } else if (aAnswer.mReport.mFencedTerm > mTerm) {
      BackOff(aNow, "a higher term exists");
    }
  } else if (mPhase == Phase::Promoting &&
             aAnswer.mKind == CommandKind::Promote) {
    if (aAnswer.mIsGranted) {
      FinishPromotion(aAnswer.mReport, aNow);
    } else {
      BackOff(aNow, "promotion refused");
    }
  }
}

void
FailoverMachine::BackOff(Instant aNow, const std::string& aReason)
{
  LogStep("back-off", aReason);
  mPhase = Phase::Watching;
  mSuspectedAt.reset();
  mBackoffUntil = aNow + mBackoff;
  mBackoff = std::min(mBackoff * 2, mSettings.mMaxBackoff);
}

void
FailoverMachine::LogStep(const std::string& aKind, const std::string& aDetail)
{
  Emit(LogFailoverStep{ aKind, mTerm, aDetail });
}

}
