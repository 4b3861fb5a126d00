#include "LibDecision/TakeoverMachine.h"

#include <algorithm>
#include <utility>

namespace papayaline {

TakeoverMachine::TakeoverMachine(TakeoverSettings aSettings)
  : mSettings(aSettings)
{
}

TakeoverActions
TakeoverMachine::Tick(const GroupView& aView,
                      const std::optional<LeaseGrant>& aGrant,
                      Instant aNow)
{
  TrackPrimaryOutage(aView, aNow);
  switch (mState) {
    case State::Watching:
      Watch(aView, aNow);
      break;
    case State::Acquiring:
      RequestAllStatuses(aView, aNow);
      if (aGrant) {
        StartTakeover(aView, aNow);
      }
      break;
    case State::Fencing:
      AwaitFences(aView, aNow);
      break;
    case State::Promoting:
      AwaitPromotion(aView, aGrant, aNow);
      break;
  }
  return std::exchange(mActions, {});
}

std::string
TakeoverMachine::PresumedPrimary(const GroupView& aView) const
{
  if (const auto primary = aView.Primary()) {
    return primary->mName;
  }
  // A member with a known status is not considered: its status is newer than
  // the directory.
  const auto it =
    std::ranges::find_if(aView.Members(), [&](const auto& aMember) {
      return aMember.mListedRole == Role::Primary &&
             !aView.StatusOf(aMember.mName);
    });
  return it != aView.Members().end() ? it->mName : std::string();
}

void
TakeoverMachine::TrackPrimaryOutage(const GroupView& aView, Instant aNow)
{
  const auto since = mLastTickAt ? aNow - *mLastTickAt : Duration{};
  mLastTickAt = aNow;
  const auto elapsed = std::min(since, mSettings.mMaxTickInterval);
  const auto primary = PresumedPrimary(aView);
  if (primary.empty()) {
    mNoPrimaryFor += elapsed;
    mUnresponsiveFor = {};
  } else {
    mNoPrimaryFor = {};
    const auto unansweredSince = aView.UnansweredSince(primary);
    mUnresponsiveFor = !unansweredSince || mPresumedPrimary != primary ||
                           *unansweredSince != mUnansweredSince
                         ? Duration{}
                         : mUnresponsiveFor + elapsed;
    mUnansweredSince = unansweredSince.value_or(Instant{});
  }
  mPresumedPrimary = primary;
  if (std::max(mUnresponsiveFor, mNoPrimaryFor) <
      mSettings.mPartitionCheckDelay) {
    mLastReplicaPosition.reset();
    mIsPartitioned = false;
  }
}

/// Whether a replica received entries since the last check, although the
/// primary does not answer this instance.
bool
TakeoverMachine::HasReplicaProgress(const GroupView& aView)
{
  LogPosition received;
  for (const auto& it : aView.Members()) {
    const auto* status = aView.StatusOf(it.mName);
    if (status && status->mRole == Role::Replica) {
      received = std::max(received, status->mReceived);
    }
  }
  const auto before = std::exchange(mLastReplicaPosition, received);
  return before && received > *before;
}

void
TakeoverMachine::Watch(const GroupView& aView, Instant aNow)
{
  const auto outage = std::max(mUnresponsiveFor, mNoPrimaryFor);
  if (outage >= mSettings.mPartitionCheckDelay) {
    RequestAllStatuses(aView, aNow);
    if (HasReplicaProgress(aView)) {
      mIsPartitioned = true;
      const auto ceiling = mSettings.mPartitionCheckDelay;
      mUnresponsiveFor = std::min(mUnresponsiveFor, ceiling);
      mNoPrimaryFor = std::min(mNoPrimaryFor, ceiling);
    }
  }
  const bool hasAbandonedFence = HasAbandonedFence(aView, aNow);
  if (aNow < mRetryAt) {
    return;
  }
  auto cause = FindCause(aView);
  if (!cause && hasAbandonedFence) {
    cause = TakeoverCause::AbandonedFence;
  }
  if (!cause) {
    return;
  }
  mCause = cause;
  mState = State::Acquiring;
  mOldPrimary = mPresumedPrimary;
  mSuccessor.clear();
  LogStep(
    "suspected",
    "silence " +
      std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(outage).count()) +
      " ms");
  mActions.push_back(AcquireLease{});
}

std::optional<TakeoverCause>
TakeoverMachine::FindCause(const GroupView& aView) const
{
  const auto& members = aView.Members();
  const bool hasSuccessor = std::ranges::any_of(members, [&](const auto& it) {
    return !it.mIsLeaving && !aView.IsFailing(it.mName) &&
           aView.StatusOf(it.mName) && it.mName != mPresumedPrimary;
  });
  if (!hasSuccessor) {
    return std::nullopt;
  }
  if (mPresumedPrimary.empty()) {
    return mNoPrimaryFor >= mSettings.mNoPrimaryTimeout
             ? std::optional(TakeoverCause::NoPrimary)
             : std::nullopt;
  }
  const auto limit = aView.LastContact(mPresumedPrimary)
                       ? mSettings.mSilenceTimeout
                       : mSettings.mFirstContactTimeout;
  if (mUnresponsiveFor >= limit) {
    return TakeoverCause::PrimarySilent;
  }
  const auto* member = aView.FindMember(mPresumedPrimary);
  if (member && member->mIsLeaving && aView.Primary()) {
    return TakeoverCause::PrimaryLeaving;
  }
  return std::nullopt;
}

bool
TakeoverMachine::HasAbandonedFence(const GroupView& aView, Instant aNow)
{
  for (const auto& it : aView.Members()) {
    const auto* status = aView.StatusOf(it.mName);
    if (status && status->mFencedTerm != 0 && status->mRole == Role::Replica) {
      mFencedSince.try_emplace(it.mName, aNow);
    } else {
      mFencedSince.erase(it.mName);
    }
  }
  std::erase_if(mFencedSince,
                [&](const auto& it) { return !aView.FindMember(it.first); });
  return std::ranges::any_of(mFencedSince, [&](const auto& it) {
    return aNow - it.second >= mSettings.mAbandonedFenceTimeout;
  });
}

void
TakeoverMachine::OnLeaseRefused(Instant aRetryAt)
{
  if (mState == State::Acquiring) {
    mState = State::Watching;
    mCause.reset();
    mRetryAt = aRetryAt;
  }
}

void
TakeoverMachine::StartTakeover(const GroupView& aView, Instant aNow)
{
  const auto cause = FindCause(aView);
  if (!cause && *mCause != TakeoverCause::AbandonedFence) {
    Finish(aView, aNow, "recovered");
    return;
  }
  mCause = cause.value_or(TakeoverCause::AbandonedFence);
  mOldTerm = aView.HighestTerm();
  mOldPrimary = mPresumedPrimary;
  if (*mCause == TakeoverCause::AbandonedFence) {
    Finish(aView, aNow, "released");
    return;
  }
  mFenceTerm = aView.HighestFencedTerm() + 1;
  mSuccessor.clear();
  mOldLogEnd.reset();
  mStepDown = StepDown::NotSent;
  mExcludedMembers.clear();
  mState = State::Fencing;
  mAttemptStartedAt = aNow;
  mStepStartedAt = aNow;
  if (!IsPlanned() || ReplaceSuccessor(aView, aNow)) {
    SendFences(aView, aNow);
  }
}

/// Proposes the next successor of a leaving primary. It receives from now on,
/// while the others are fenced. Gives the attempt up if there is none.
bool
TakeoverMachine::ReplaceSuccessor(const GroupView& aView, Instant aNow)
{
  mSuccessor = ProposeSuccessor(aView);
  if (mSuccessor.empty()) {
    Finish(aView, aNow, "no successor");
    mRetryAt = aNow + mSettings.mBackoff;
    return false;
  }
  mStepStartedAt = aNow;
  mCatchUpSince.reset();
  if (IsFenced(aView, *aView.FindMember(mSuccessor))) {
    mActions.push_back(
      SendControlCommand{ mSuccessor, ControlCommand::Resume, mFenceTerm });
  }
  return true;
}

bool
TakeoverMachine::NeedsFence(const GroupView& aView,
                            const GroupMember& aMember) const
{
  const auto* status = aView.StatusOf(aMember.mName);
  const bool isReplica = !status || status->mRole == Role::Replica;
  return isReplica && aMember.mName != mOldPrimary &&
         !(IsPlanned() && aMember.mName == mSuccessor) &&
         !IsSpared(aView, aMember);
}

bool
TakeoverMachine::IsSpared(const GroupView& aView,
                          const GroupMember& aMember) const
{
  if (mSettings.mRules.Has(RelayRule::FenceEveryReplica) || !IsPlanned()) {
    return false;
  }
  const auto& members = aView.Members();
  auto spared = MajorityOf(members.size()) - 2;
  for (const auto& it : members) {
    if (it.mName == mOldPrimary || it.mName == mSuccessor) {
      continue;
    }
    if (it.mName == aMember.mName) {
      return spared > 0;
    }
    spared -= spared > 0 ? 1 : 0;
  }
  return false;
}

void
TakeoverMachine::SendFences(const GroupView& aView, Instant aNow)
{
  mNextRequestAt = aNow + mSettings.mRequestInterval;
  for (const auto& it : aView.Members()) {
    if (NeedsFence(aView, it) && !IsFenced(aView, it)) {
      mActions.push_back(
        SendControlCommand{ it.mName, ControlCommand::Fence, mFenceTerm });
    }
  }
  if (IsPlanned()) {
    for (const auto& it : { mSuccessor, mOldPrimary }) {
      mActions.push_back(
        SendControlCommand{ it, ControlCommand::RequestStatus, 0 });
    }
  } else if (!mOldPrimary.empty()) {
    mActions.push_back(
      SendControlCommand{ mOldPrimary, ControlCommand::StepDown, mFenceTerm });
  }
  LogStep("fencing");
}

bool
TakeoverMachine::IsFenced(const GroupView& aView,
                          const GroupMember& aMember) const
{
  const auto* status = aView.StatusOf(aMember.mName);
  return status && status->mRole == Role::Replica &&
         status->mFencedTerm >= mFenceTerm;
}

/// A member that does not vote yet and does not answer can't hold up a
/// replacement.
bool
TakeoverMachine::HasEnoughFences(const GroupView& aView) const
{
  const bool areFenced =
    std::ranges::all_of(aView.Members(), [&](const auto& it) {
      const bool mayBeLeftOut =
        !aView.IsVoter(it.mName) &&
        (!aView.StatusOf(it.mName) || aView.IsFailing(it.mName));
      return !NeedsFence(aView, it) || IsFenced(aView, it) || mayBeLeftOut;
    });
  return areFenced && (IsPlanned() || AreMajoritiesStopped(aView));
}

/// Whether no majority can receive a write without a fenced replica or the
/// successor. Replicas that the directory does not list any more can't be
/// fenced, and may still receive.
bool
TakeoverMachine::AreMajoritiesStopped(const GroupView& aView) const
{
  std::set<std::string> stopped;
  for (const auto& it : aView.Members()) {
    if (IsFenced(aView, it) || (IsPlanned() && it.mName == mSuccessor)) {
      stopped.insert(it.mName);
    }
  }
  return aView.IntersectsMajorities(stopped);
}

bool
TakeoverMachine::HasFencedEntries(const GroupView& aView,
                                  const std::string& aName) const
{
  if (!mSettings.mRules.Has(RelayRule::FencedEntriesInLog)) {
    return true;
  }
  const auto* status = aView.StatusOf(aName);
  return status && status->mRequestedAt >= mAttemptStartedAt &&
         (!mOldLogEnd || status->mReceived >= *mOldLogEnd) &&
         std::ranges::all_of(aView.Members(), [&](const auto& it) {
           return !IsFenced(aView, it) ||
                  aView.StatusOf(it.mName)->mReceived <= status->mReceived;
         });
}

void
TakeoverMachine::AwaitFences(const GroupView& aView, Instant aNow)
{
  if (aView.HighestTerm() > mOldTerm && aView.Primary()) {
    Finish(aView, aNow, "superseded");
    return;
  }
  if (IsPlanned() && !mOldLogEnd) {
    mOldLogEnd =
      aView.LogEndSince({ mOldPrimary, mOldTerm }, mAttemptStartedAt);
  }
  if (IsPlanned() && mSuccessor.empty() && mStepDown == StepDown::Sent) {
    AbandonStepDown(aView, aNow);
    return;
  }
  if (IsPlanned() && mSuccessor.empty()) {
    if (ReplaceSuccessor(aView, aNow)) {
      SendFences(aView, aNow);
    }
    return;
  }
  if (HasEnoughFences(aView)) {
    const auto successor = IsPlanned() ? mSuccessor : ChooseSuccessor(aView);
    if (!successor.empty() && HasFencedEntries(aView, successor) &&
        (!IsPlanned() || MayKeepServing(aView) ||
         CompleteStepDown(aView, aNow))) {
      mSuccessor = successor;
      mState = State::Promoting;
      mStepStartedAt = aNow;
      SendPromotionOrder(aNow);
      return;
    }
    if (IsPlanned()) {
      AwaitCatchUp(aView, aNow);
      return;
    }
  }
  if (aNow - mStepStartedAt >= mSettings.mFenceTimeout) {
    Finish(aView,
           aNow,
           HasEnoughFences(aView) ? "longest log unavailable"
                                  : "not enough fences");
    mRetryAt = aNow + mSettings.mBackoff;
    return;
  }
  if (aNow >= mNextRequestAt) {
    SendFences(aView, aNow);
  }
}

bool
TakeoverMachine::IsMajorityWith(const GroupView& aView,
                                const std::string& aSuccessor) const
{
  return aView.IsMajority({ mOldPrimary, aSuccessor });
}

bool
TakeoverMachine::MayKeepServing(const GroupView& aView) const
{
  return !mSettings.mRules.Has(RelayRule::FenceEveryReplica) ||
         (mStepDown == StepDown::NotSent && IsMajorityWith(aView, mSuccessor) &&
          AreMajoritiesStopped(aView));
}

bool
TakeoverMachine::HasSteppedDown(const GroupView& aView) const
{
  const auto* status = aView.StatusOf(mOldPrimary);
  return status && status->mRole == Role::Replica &&
         status->mRequestedAt >= mAttemptStartedAt;
}

bool
TakeoverMachine::CompleteStepDown(const GroupView& aView, Instant aNow)
{
  if (HasSteppedDown(aView)) {
    return aView.StatusOf(mSuccessor)->mReceived >=
           aView.StatusOf(mOldPrimary)->mReceived;
  }
  if (mStepDown == StepDown::NotSent || aNow >= mNextRequestAt) {
    mStepDown = StepDown::Sent;
    mNextRequestAt = aNow + mSettings.mRequestInterval;
    mActions.push_back(
      SendControlCommand{ mOldPrimary, ControlCommand::StepDown, mFenceTerm });
    LogStep("stepping down");
  }
  return false;
}

/// Goes on as if the primary had been silent. If it has stepped down, it is a
/// replica like the others, and the only one that surely holds all writes.
void
TakeoverMachine::AbandonStepDown(const GroupView& aView, Instant aNow)
{
  if (HasSteppedDown(aView)) {
    mOldPrimary.clear();
  }
  mStepDown = StepDown::Abandoned;
  mStepStartedAt = aNow;
  SendFences(aView, aNow);
}

/// Requests the status of the successor until its log reaches the end of those
/// of the fenced replicas, and of the old primary if that steps down.
void
TakeoverMachine::AwaitCatchUp(const GroupView& aView, Instant aNow)
{
  if (!mCatchUpSince) {
    mCatchUpSince = aNow;
    mNextCatchUpAt = aNow;
  }
  if (aNow - *mCatchUpSince >= mSettings.mCatchUpTimeout) {
    LogStep("behind");
    if (mStepDown == StepDown::Sent) {
      AbandonStepDown(aView, aNow);
      return;
    }
    mExcludedMembers.insert(std::exchange(mSuccessor, {}));
    return;
  }
  if (aNow >= mNextCatchUpAt) {
    mNextCatchUpAt = aNow + mSettings.mCatchUpInterval;
    mActions.push_back(
      SendControlCommand{ mSuccessor, ControlCommand::RequestStatus, 0 });
  }
}

bool
TakeoverMachine::MayBePromoted(const GroupView& aView,
                               const GroupMember& aMember) const
{
  const auto* status = aView.StatusOf(aMember.mName);
  return aMember.mName != mOldPrimary && status &&
         status->mRole == Role::Replica && !aView.IsFailing(aMember.mName) &&
         !mExcludedMembers.contains(aMember.mName);
}

std::string
TakeoverMachine::ProposeSuccessor(const GroupView& aView) const
{
  const GroupMember* best = nullptr;
  const auto rank = [&](const GroupMember& aMember) {
    return std::tuple(IsMajorityWith(aView, aMember.mName),
                      aView.StatusOf(aMember.mName)->mReceived,
                      !aMember.mIsCold);
  };
  for (const auto& it : aView.Members()) {
    if (MayBePromoted(aView, it) && !it.mIsLeaving &&
        (!best || rank(it) > rank(*best))) {
      best = &it;
    }
  }
  return best ? best->mName : std::string();
}

std::string
TakeoverMachine::ChooseSuccessor(const GroupView& aView) const
{
  const GroupMember* best = nullptr;
  const auto rank = [](const GroupMember& aMember) {
    return std::tuple(!aMember.mIsLeaving, !aMember.mIsCold);
  };
  for (const auto& it : aView.Members()) {
    const bool fits = IsFenced(aView, it) && MayBePromoted(aView, it) &&
                      HasFencedEntries(aView, it.mName);
    if (fits && (!best || rank(it) > rank(*best))) {
      best = &it;
    }
  }
  return best ? best->mName : std::string();
}

void
TakeoverMachine::SendPromotionOrder(Instant aNow)
{
  mLastOrderAt = aNow;
  mActions.push_back(OrderPromotion{ mSuccessor });
  LogStep("ordered");
}

void
TakeoverMachine::AwaitPromotion(const GroupView& aView,
                                const std::optional<LeaseGrant>& aGrant,
                                Instant aNow)
{
  RequestAllStatuses(aView, aNow);
  const auto primary = aView.Primary();
  if (primary && primary->mTerm > mOldTerm) {
    // The replaced primary would continue to accept writes that no majority can
    // confirm.
    if (!mOldPrimary.empty() && mOldPrimary != primary->mName) {
      mActions.push_back(SendControlCommand{
        mOldPrimary, ControlCommand::StepDown, primary->mTerm });
    }
    mSuccessor = primary->mName;
    Finish(aView, aNow, "promoted");
    return;
  }
  if (aNow - mStepStartedAt >= mSettings.mPromotionTimeout) {
    Finish(aView, aNow, "promotion timed out");
    mRetryAt = aNow + mSettings.mBackoff;
    return;
  }
  if (aNow - mLastOrderAt < mSettings.mPromotionResendInterval) {
    return;
  }
  mLastOrderAt = aNow;
  if (!aGrant) {
    mActions.push_back(AcquireLease{});
  } else if (HasEnoughFences(aView) && HasFencedEntries(aView, mSuccessor)) {
    SendPromotionOrder(aNow);
  } else {
    // Another holder of the lease may have lifted a fence.
    SendFences(aView, aNow);
  }
}

void
TakeoverMachine::OnPromotionAnswer(const std::string& aUpstream,
                                   PromotionAnswer aAnswer,
                                   Instant aNow)
{
  if (mState != State::Promoting || aUpstream != mSuccessor ||
      aAnswer != PromotionAnswer::Refused) {
    return;
  }
  mExcludedMembers.insert(aUpstream);
  mSuccessor.clear();
  mState = State::Fencing;
  mStepStartedAt = aNow;
  LogStep("refused");
}

void
TakeoverMachine::Finish(const GroupView& aView,
                        Instant aNow,
                        const std::string& aStep)
{
  LogStep(aStep);
  ResumeFenced(aView);
  mState = State::Watching;
  mCause.reset();
  mUnresponsiveFor = {};
  mNoPrimaryFor = {};
  mLastReplicaPosition.reset();
  mFencedSince.clear();
  mRetryAt = aNow + mSettings.mRequestInterval;
}

void
TakeoverMachine::ResumeFenced(const GroupView& aView)
{
  for (const auto& it : aView.Members()) {
    const auto* status = aView.StatusOf(it.mName);
    if (status && status->mFencedTerm != 0 && status->mRole == Role::Replica) {
      mActions.push_back(
        SendControlCommand{ it.mName, ControlCommand::Resume, mFenceTerm });
    }
  }
}

void
TakeoverMachine::RequestAllStatuses(const GroupView& aView, Instant aNow)
{
  if (aNow < mNextRequestAt) {
    return;
  }
  mNextRequestAt = aNow + mSettings.mRequestInterval;
  for (const auto& it : aView.Members()) {
    mActions.push_back(
      SendControlCommand{ it.mName, ControlCommand::RequestStatus, 0 });
  }
}

void
TakeoverMachine::LogStep(const std::string& aStep, const std::string& aDetail)
{
  mActions.push_back(
    LogTakeoverStep{ aStep,
                     mCause.value_or(TakeoverCause::NoPrimary),
                     mSuccessor.empty() ? mOldPrimary : mSuccessor,
                     mFenceTerm,
                     aDetail });
}

}
