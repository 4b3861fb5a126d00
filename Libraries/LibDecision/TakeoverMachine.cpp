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
                      const std::optional<DutyGrant>& aGrant,
                      Instant aNow)
{
  ObserveSilence(aView, aNow);
  switch (mState) {
    case State::Watching:
      Watch(aView, aNow);
      break;
    case State::Acquiring:
      AskAll(aView, aNow);
      if (aGrant) {
        Begin(aView, aNow);
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
  // A status is newer than the directory.
  const auto it =
    std::ranges::find_if(aView.Members(), [&](const auto& aMember) {
      return aMember.mListedRole == Role::Primary &&
             !aView.StatusOf(aMember.mName);
    });
  return it != aView.Members().end() ? it->mName : std::string();
}

void
TakeoverMachine::ObserveSilence(const GroupView& aView, Instant aNow)
{
  const auto since = mLastTick ? aNow - *mLastTick : Duration{};
  mLastTick = aNow;
  const auto elapsed = std::min(since, mSettings.mMaxTick);
  const auto primary = PresumedPrimary(aView);
  if (primary.empty()) {
    mNoPrimaryFor += elapsed;
    mSilentFor = {};
  } else {
    mNoPrimaryFor = {};
    const auto asked = aView.UnansweredSince(primary);
    mSilentFor = !asked || mSilentPrimary != primary || *asked != mSilentSince
                   ? Duration{}
                   : mSilentFor + elapsed;
    mSilentSince = asked.value_or(Instant{});
  }
  mSilentPrimary = primary;
  if (std::max(mSilentFor, mNoPrimaryFor) < mSettings.mWitnessFrom) {
    mWitness.reset();
    mIsWitnessed = false;
  }
}

/// Whether a replica received something although the primary is silent here.
bool
TakeoverMachine::IsWitnessed(const GroupView& aView)
{
  LogPosition received;
  for (const auto& it : aView.Members()) {
    const auto* status = aView.StatusOf(it.mName);
    if (status && status->mRole == Role::Replica) {
      received = std::max(received, status->mReceived);
    }
  }
  const auto before = std::exchange(mWitness, received);
  return before && received > *before;
}

void
TakeoverMachine::Watch(const GroupView& aView, Instant aNow)
{
  const auto silence = std::max(mSilentFor, mNoPrimaryFor);
  if (silence >= mSettings.mWitnessFrom) {
    AskAll(aView, aNow);
    if (IsWitnessed(aView)) {
      mIsWitnessed = true;
      const auto rest = mSettings.mWitnessFrom;
      mSilentFor = std::min(mSilentFor, rest);
      mNoPrimaryFor = std::min(mNoPrimaryFor, rest);
    }
  }
  const bool isStray = HasStrayFence(aView, aNow);
  if (aNow < mRetryAt) {
    return;
  }
  auto cause = FindCause(aView);
  if (!cause && isStray) {
    cause = TakeoverCause::StrayFence;
  }
  if (!cause) {
    return;
  }
  mCause = cause;
  mState = State::Acquiring;
  mOldPrimary = mSilentPrimary;
  mSuccessor.clear();
  Note("suspected",
       "silence " +
         std::to_string(
           std::chrono::duration_cast<std::chrono::milliseconds>(silence)
             .count()) +
         " ms");
  mActions.push_back(AcquireDuty{});
}

std::optional<TakeoverCause>
TakeoverMachine::FindCause(const GroupView& aView) const
{
  const auto& members = aView.Members();
  const bool hasSuccessor = std::ranges::any_of(members, [&](const auto& it) {
    return !it.mIsLeaving && !aView.IsFailing(it.mName) &&
           aView.StatusOf(it.mName) && it.mName != mSilentPrimary;
  });
  if (!hasSuccessor) {
    return std::nullopt;
  }
  if (mSilentPrimary.empty()) {
    return mNoPrimaryFor >= mSettings.mNoPrimary
             ? std::optional(TakeoverCause::NoPrimary)
             : std::nullopt;
  }
  const auto limit = aView.LastContact(mSilentPrimary)
                       ? mSettings.mSilence
                       : mSettings.mFirstContact;
  if (mSilentFor >= limit) {
    return TakeoverCause::PrimarySilent;
  }
  const auto* member = aView.FindMember(mSilentPrimary);
  if (member && member->mIsLeaving && aView.Primary()) {
    return TakeoverCause::PrimaryLeaving;
  }
  return std::nullopt;
}

bool
TakeoverMachine::HasStrayFence(const GroupView& aView, Instant aNow)
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
    return aNow - it.second >= mSettings.mStrayFence;
  });
}

void
TakeoverMachine::OnDutyRefused(Instant aRetryAt)
{
  if (mState == State::Acquiring) {
    mState = State::Watching;
    mCause.reset();
    mRetryAt = aRetryAt;
  }
}

void
TakeoverMachine::Begin(const GroupView& aView, Instant aNow)
{
  const auto cause = FindCause(aView);
  if (!cause && *mCause != TakeoverCause::StrayFence) {
    Finish(aView, aNow, "recovered");
    return;
  }
  mCause = cause.value_or(TakeoverCause::StrayFence);
  mOldTerm = aView.HighestTerm();
  mOldPrimary = mSilentPrimary;
  if (*mCause == TakeoverCause::StrayFence) {
    Finish(aView, aNow, "released");
    return;
  }
  mFenceTerm = aView.HighestFencedTerm() + 1;
  mSuccessor =
    *mCause == TakeoverCause::PrimaryLeaving ? ChooseSuccessor(aView) : "";
  mRefused.clear();
  mState = State::Fencing;
  mStepBegan = aNow;
  SendFences(aView, aNow);
}

/// In a planned change replicas stay unfenced as long as a majority can be had
/// with the successor only.
bool
TakeoverMachine::WantsFence(const GroupView& aView,
                            const GroupMember& aMember) const
{
  if (aMember.mName == mOldPrimary || aMember.mName == mSuccessor) {
    return false;
  }
  if (mSuccessor.empty()) {
    return true;
  }
  const auto& members = aView.Members();
  auto spared = MajorityOf(members.size()) - 2;
  for (const auto& it : members) {
    if (it.mName == mOldPrimary || it.mName == mSuccessor) {
      continue;
    }
    if (it.mName == aMember.mName) {
      return spared == 0;
    }
    spared -= spared > 0 ? 1 : 0;
  }
  return true;
}

void
TakeoverMachine::SendFences(const GroupView& aView, Instant aNow)
{
  mNextAsk = aNow + mSettings.mAskInterval;
  for (const auto& it : aView.Members()) {
    if (WantsFence(aView, it) && !IsGranted(aView, it)) {
      mActions.push_back(
        CommandMember{ it.mName, ControlCommand::Fence, mFenceTerm });
    }
  }
  if (*mCause != TakeoverCause::PrimaryLeaving && !mOldPrimary.empty()) {
    mActions.push_back(
      CommandMember{ mOldPrimary, ControlCommand::StepDown, mFenceTerm });
  }
  Note("fencing");
}

bool
TakeoverMachine::IsGranted(const GroupView& aView,
                           const GroupMember& aMember) const
{
  const auto* status = aView.StatusOf(aMember.mName);
  return status && status->mRole == Role::Replica &&
         status->mFencedTerm >= mFenceTerm;
}

bool
TakeoverMachine::HasEnoughFences(const GroupView& aView) const
{
  const auto& members = aView.Members();
  const auto count = [&](auto aCondition) {
    return static_cast<size_t>(std::ranges::count_if(members, aCondition));
  };
  const auto granted =
    count([&](const auto& it) { return IsGranted(aView, it); });
  if (!mSuccessor.empty()) {
    return granted >=
           count([&](const auto& it) { return WantsFence(aView, it); });
  }
  const auto replicas =
    count([&](const auto& it) { return it.mName != mOldPrimary; });
  return replicas > 0 && granted >= MajorityOf(replicas);
}

void
TakeoverMachine::AwaitFences(const GroupView& aView, Instant aNow)
{
  if (aView.HighestTerm() > mOldTerm && aView.Primary()) {
    Finish(aView, aNow, "superseded");
    return;
  }
  if (HasEnoughFences(aView)) {
    const auto successor =
      mSuccessor.empty() ? ChooseSuccessor(aView) : mSuccessor;
    if (!successor.empty()) {
      mSuccessor = successor;
      mState = State::Promoting;
      mStepBegan = aNow;
      Order(aNow);
      return;
    }
  }
  if (aNow - mStepBegan >= mSettings.mFenceTimeout) {
    Finish(aView, aNow, "not enough fences");
    mRetryAt = aNow + mSettings.mBackoff;
    return;
  }
  if (aNow >= mNextAsk) {
    SendFences(aView, aNow);
  }
}

std::string
TakeoverMachine::ChooseSuccessor(const GroupView& aView) const
{
  const GroupMember* best = nullptr;
  const auto rank = [&](const GroupMember& aMember) {
    const auto* status = aView.StatusOf(aMember.mName);
    return std::tuple(!aMember.mIsLeaving, status->mReceived, !aMember.mIsCold);
  };
  for (const auto& it : aView.Members()) {
    const auto* status = aView.StatusOf(it.mName);
    const bool isFenced = IsGranted(aView, it);
    const bool isPlanned = *mCause == TakeoverCause::PrimaryLeaving;
    if (it.mName == mOldPrimary || !status || status->mRole == Role::Primary ||
        mRefused.contains(it.mName) || aView.IsFailing(it.mName) ||
        (!isPlanned && !isFenced) || (isPlanned && it.mIsLeaving)) {
      continue;
    }
    if (!best || rank(it) > rank(*best)) {
      best = &it;
    }
  }
  return best ? best->mName : std::string();
}

void
TakeoverMachine::Order(Instant aNow)
{
  mLastOrder = aNow;
  mActions.push_back(OrderPromotion{ mSuccessor });
  Note("ordered");
}

void
TakeoverMachine::AwaitPromotion(const GroupView& aView,
                                const std::optional<DutyGrant>& aGrant,
                                Instant aNow)
{
  AskAll(aView, aNow);
  const auto primary = aView.Primary();
  if (primary && primary->mTerm > mOldTerm) {
    // The replaced primary would go on taking writes that nobody can confirm.
    if (!mOldPrimary.empty() && mOldPrimary != primary->mName) {
      mActions.push_back(
        CommandMember{ mOldPrimary, ControlCommand::StepDown, primary->mTerm });
    }
    mSuccessor = primary->mName;
    Finish(aView, aNow, "promoted");
    return;
  }
  if (aNow - mStepBegan >= mSettings.mPromotionTimeout) {
    Finish(aView, aNow, "promotion timed out");
    mRetryAt = aNow + mSettings.mBackoff;
    return;
  }
  if (aNow - mLastOrder < mSettings.mPromotionRepeat) {
    return;
  }
  if (aGrant) {
    Order(aNow);
  } else {
    mLastOrder = aNow;
    mActions.push_back(AcquireDuty{});
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
  mRefused.insert(aUpstream);
  mSuccessor.clear();
  mState = State::Fencing;
  mStepBegan = aNow;
  mCause = TakeoverCause::NoPrimary;
  Note("refused");
}

void
TakeoverMachine::Finish(const GroupView& aView,
                        Instant aNow,
                        const std::string& aStep)
{
  Note(aStep);
  ResumeFenced(aView);
  mState = State::Watching;
  mCause.reset();
  mSilentFor = {};
  mNoPrimaryFor = {};
  mWitness.reset();
  mFencedSince.clear();
  mRetryAt = aNow + mSettings.mAskInterval;
}

void
TakeoverMachine::ResumeFenced(const GroupView& aView)
{
  for (const auto& it : aView.Members()) {
    const auto* status = aView.StatusOf(it.mName);
    if (status && status->mFencedTerm != 0 && status->mRole == Role::Replica) {
      mActions.push_back(
        CommandMember{ it.mName, ControlCommand::Resume, mFenceTerm });
    }
  }
}

void
TakeoverMachine::AskAll(const GroupView& aView, Instant aNow)
{
  if (aNow < mNextAsk) {
    return;
  }
  mNextAsk = aNow + mSettings.mAskInterval;
  for (const auto& it : aView.Members()) {
    mActions.push_back(CommandMember{ it.mName, ControlCommand::AskStatus, 0 });
  }
}

void
TakeoverMachine::Note(const std::string& aStep, const std::string& aDetail)
{
  mActions.push_back(
    NoteTakeover{ aStep,
                  mCause.value_or(TakeoverCause::NoPrimary),
                  mSuccessor.empty() ? mOldPrimary : mSuccessor,
                  mFenceTerm,
                  aDetail });
}

}
