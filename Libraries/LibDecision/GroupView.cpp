#include "LibDecision/GroupView.h"

#include <algorithm>

namespace papayaline {

namespace {

/// Samples of the primary's position that await evidence. At 100 answers per
/// second they span more time than the evidence takes to arrive.
constexpr size_t kMaxSamples = 256;

}

void
GroupView::SetMembers(std::vector<GroupMember> aMembers)
{
  for (const auto& it : aMembers) {
    const auto* known = FindMember(it.mName);
    if (known && known->mStartedMs != it.mStartedMs) {
      mMemberStates.erase(it.mName);
      if (mPrimary == it.mName) {
        ForgetPrimary();
      }
    }
  }
  mMembers = std::move(aMembers);
  mLargestSize = std::max(mLargestSize, mMembers.size());
  std::erase_if(mMemberStates,
                [this](const auto& it) { return !FindMember(it.first); });
  if (!FindMember(mPrimary)) {
    ForgetPrimary();
  }
}

const GroupMember*
GroupView::FindMember(const std::string& aName) const
{
  const auto it = std::ranges::find(mMembers, aName, &GroupMember::mName);
  return it != mMembers.end() ? &*it : nullptr;
}

void
GroupView::ObserveStatus(const ReplicationStatus& aStatus, Instant aNow)
{
  if (!FindMember(aStatus.mUpstream)) {
    return;
  }
  auto& known = mMemberStates[aStatus.mUpstream];
  RecordContact(known, aNow);
  if (known.mStatus && known.mStatus->mRequestedAt > aStatus.mRequestedAt) {
    return;
  }
  known.mStatus = aStatus;
  if (aStatus.mTerm > mHighestTerm) {
    mHighestTerm = aStatus.mTerm;
    ForgetPrimary();
  }
  if (aStatus.mRole == Role::Primary && aStatus.mTerm == mHighestTerm) {
    if (mPrimary != aStatus.mUpstream) {
      ForgetPrimary();
    }
    mPrimary = aStatus.mUpstream;
    AddSample(aStatus.mReceived, aStatus.mRequestedAt);
  } else if (mPrimary == aStatus.mUpstream) {
    ForgetPrimary();
  }
  RecordFrontiers();
}

void
GroupView::ObservePosition(const std::string& aName,
                           LogPosition aApplied,
                           Instant aRequestedAt,
                           Instant aNow)
{
  if (!FindMember(aName)) {
    return;
  }
  auto& known = mMemberStates[aName];
  RecordContact(known, aNow);
  known.mApplied = aApplied;
  if (aName == mPrimary) {
    AddSample(aApplied, aRequestedAt);
  }
}

void
GroupView::ObserveNotPrimary(const std::string& aName)
{
  if (mPrimary == aName) {
    ForgetPrimary();
  }
  if (auto it = mMemberStates.find(aName); it != mMemberStates.end()) {
    it->second.mStatus.reset();
  }
}

void
GroupView::ObserveFailure(const std::string& aName)
{
  if (FindMember(aName)) {
    mMemberStates[aName].mIsFailing = true;
  }
}

std::optional<GroupPrimary>
GroupView::Primary() const
{
  if (mPrimary.empty()) {
    return std::nullopt;
  }
  return GroupPrimary{ mPrimary, mHighestTerm };
}

uint64_t
GroupView::HighestFencedTerm() const
{
  auto term = mHighestTerm;
  for (const auto& [name, it] : mMemberStates) {
    term = std::max(term, it.mStatus ? it.mStatus->mFencedTerm : 0);
  }
  return term;
}

const ReplicationStatus*
GroupView::StatusOf(const std::string& aName) const
{
  const auto it = mMemberStates.find(aName);
  return it != mMemberStates.end() && it->second.mStatus ? &*it->second.mStatus
                                                         : nullptr;
}

LogPosition
GroupView::AppliedOf(const std::string& aName) const
{
  const auto it = mMemberStates.find(aName);
  return it != mMemberStates.end() ? it->second.mApplied : LogPosition();
}

std::optional<Instant>
GroupView::LastContact(const std::string& aName) const
{
  const auto it = mMemberStates.find(aName);
  return it != mMemberStates.end() ? it->second.mLastContactAt : std::nullopt;
}

std::optional<Instant>
GroupView::UnansweredSince(const std::string& aName) const
{
  const auto it = mMemberStates.find(aName);
  return it != mMemberStates.end() ? it->second.mUnansweredSince : std::nullopt;
}

bool
GroupView::IsFailing(const std::string& aName) const
{
  const auto it = mMemberStates.find(aName);
  return it != mMemberStates.end() && it->second.mIsFailing;
}

void
GroupView::RecordContact(MemberState& aState, Instant aNow)
{
  aState.mLastContactAt = aNow;
  aState.mUnansweredSince.reset();
  aState.mIsFailing = false;
}

void
GroupView::ObserveRequestSent(const std::string& aName, Instant aNow)
{
  if (FindMember(aName)) {
    auto& unansweredSince = mMemberStates[aName].mUnansweredSince;
    unansweredSince = unansweredSince.value_or(aNow);
  }
}

void
GroupView::ObserveContact(const std::string& aName, Instant aNow)
{
  if (FindMember(aName)) {
    RecordContact(mMemberStates[aName], aNow);
  }
}

size_t
GroupView::GroupSize() const
{
  return std::max(mMembers.size(), std::min(mLargestSize, kMinGroupSize));
}

bool
GroupView::IsFollowing(const std::string& aName,
                       const GroupPrimary& aPrimary) const
{
  // A primary that stepped down reports itself as a replica in its own term.
  const auto* status = StatusOf(aName);
  return aName != aPrimary.mName && status && status->mRole == Role::Replica &&
         status->mTerm == aPrimary.mTerm;
}

bool
GroupView::IsBehind(const ReplicationStatus& aStatus,
                    const GroupPrimary& aPrimary)
{
  return aStatus.mTerm < aPrimary.mTerm && aStatus.mReceived.mOffset > 0;
}

size_t
GroupView::NeededMembers() const
{
  const auto size = GroupSize();
  return std::max<size_t>(size - MajorityOf(size), 1);
}

size_t
GroupView::CountFollowers(const GroupPrimary& aPrimary,
                          Instant aSince,
                          LogPosition aPosition) const
{
  return static_cast<size_t>(
    std::ranges::count_if(mMemberStates, [&](const auto& it) {
      const auto& status = it.second.mStatus;
      return IsFollowing(it.first, aPrimary) &&
             status->mRequestedAt >= aSince && status->mReceived >= aPosition;
    }));
}

bool
GroupView::IsPrimaryConfirmed(const GroupPrimary& aPrimary,
                              Instant aSince) const
{
  if (aPrimary.mTerm != mHighestTerm) {
    return false;
  }
  const auto n = std::ranges::count_if(mMemberStates, [&](const auto& it) {
    const auto& status = it.second.mStatus;
    return it.first != aPrimary.mName && status &&
           status->mRequestedAt >= aSince &&
           (IsFollowing(it.first, aPrimary) || IsBehind(*status, aPrimary));
  });
  return static_cast<size_t>(n) >= NeededMembers();
}

bool
GroupView::IsPrimaryFollowed(const GroupPrimary& aPrimary, Instant aSince) const
{
  return aPrimary.mTerm == mHighestTerm &&
         CountFollowers(aPrimary, aSince, {}) >= NeededMembers();
}

bool
GroupView::IsReplicated(const GroupPrimary& aPrimary,
                        LogPosition aPosition) const
{
  return aPrimary.mTerm == mHighestTerm &&
         CountFollowers(aPrimary, Instant::min(), aPosition) + 1 >=
           MajorityOf(GroupSize());
}

bool
GroupView::AreAllMembersFollowing(const GroupPrimary& aPrimary,
                                  Instant aSince) const
{
  return aPrimary.mTerm == mHighestTerm && mMembers.size() >= GroupSize() &&
         std::ranges::all_of(mMembers, [&](const auto& it) {
           const auto* status = StatusOf(it.mName);
           return it.mName == aPrimary.mName ||
                  (IsFollowing(it.mName, aPrimary) &&
                   status->mFencedTerm <= aPrimary.mTerm &&
                   status->mRequestedAt >= aSince);
         });
}

void
GroupView::ForgetPrimary()
{
  mPrimary.clear();
  mSamples.clear();
}

void
GroupView::AddSample(LogPosition aPosition, Instant aRequestedAt)
{
  mSamples.push_back({ aPosition, aRequestedAt });
  if (mSamples.size() > kMaxSamples) {
    mSamples.pop_front();
  }
  RecordFrontiers();
}

/// A position that the primary reported in answer to a request sent no later
/// than the requests that yielded the evidence came from a primary that had not
/// been replaced, so it includes every write acknowledged before that request.
void
GroupView::RecordFrontiers()
{
  const auto primary = Primary();
  if (!primary) {
    return;
  }
  std::erase_if(mSamples, [&](const auto& it) {
    if (!IsPrimaryConfirmed(*primary, it.mRequestedAt)) {
      return false;
    }
    mFrontiers.Record({ it.mPosition, it.mRequestedAt });
    return true;
  });
}

}
