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
  ObserveTerm(aStatus.mTerm);
  if (aStatus.mRole == Role::Primary && aStatus.mTerm == mHighestTerm) {
    if (mPrimary != aStatus.mUpstream) {
      ForgetPrimary();
      mLeadKnownAt = aNow;
    }
    mPrimary = aStatus.mUpstream;
    mLeadingAt = std::max(mLeadingAt, std::optional(aStatus.mRequestedAt));
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
  if (aName != mPrimary || aRequestedAt < mLeadKnownAt) {
    return;
  }
  if (HasLostEntries(aApplied, aRequestedAt)) {
    ObserveNotPrimary(aName);
    return;
  }
  if (aApplied > mStatedPosition) {
    mStatedPosition = aApplied;
    mStatedAt = aNow;
  }
  AddSample(aApplied, aRequestedAt);
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
GroupView::ObserveLeading(const std::string& aName, Instant aRequestedAt)
{
  if (mPrimary == aName) {
    mLeadingAt = std::max(mLeadingAt, std::optional(aRequestedAt));
    RecordFrontiers();
  }
}

void
GroupView::ObserveTerm(uint64_t aTerm)
{
  if (aTerm > mHighestTerm) {
    mHighestTerm = aTerm;
    ForgetPrimary();
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
  return std::max<size_t>(MajorityOf(GroupSize()) - 1, 1);
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

std::optional<Instant>
GroupView::ReportedAt(const std::string& aName,
                      const GroupPrimary& aPrimary) const
{
  if (aName == aPrimary.mName) {
    return aName == mPrimary ? mLeadingAt : std::nullopt;
  }
  const auto* status = StatusOf(aName);
  return status && (IsFollowing(aName, aPrimary) || IsBehind(*status, aPrimary))
           ? std::optional(status->mRequestedAt)
           : std::nullopt;
}

std::vector<Instant>
GroupView::OtherReports(const GroupPrimary& aPrimary) const
{
  std::vector<Instant> reports;
  for (const auto& it : mMembers) {
    const auto at = ReportedAt(it.mName, aPrimary);
    if (at && it.mName != aPrimary.mName) {
      reports.push_back(*at);
    }
  }
  std::ranges::sort(reports, std::greater());
  return reports;
}

std::optional<Instant>
GroupView::ConfirmedAt(const GroupPrimary& aPrimary) const
{
  auto reports = OtherReports(aPrimary);
  if (const auto at = ReportedAt(aPrimary.mName, aPrimary)) {
    reports.insert(std::ranges::upper_bound(reports, *at, std::greater()), *at);
  }
  const auto needed = NeededMembers() + 1;
  return aPrimary.mTerm == mHighestTerm && reports.size() >= needed
           ? std::optional(reports[needed - 1])
           : std::nullopt;
}

bool
GroupView::IsPrimaryConfirmed(const GroupPrimary& aPrimary,
                              Instant aSince) const
{
  const auto confirmedAt = ConfirmedAt(aPrimary);
  return confirmedAt && *confirmedAt >= aSince;
}

bool
GroupView::IsPrimaryConfirmedByOthers(const GroupPrimary& aPrimary,
                                      Instant aSince) const
{
  const auto reports = OtherReports(aPrimary);
  const auto needed = NeededMembers();
  return aPrimary.mTerm == mHighestTerm && reports.size() >= needed &&
         reports[needed - 1] >= aSince;
}

bool
GroupView::HasConfirmed(const std::string& aName,
                        const GroupPrimary& aPrimary,
                        Instant aSince) const
{
  const auto at = ReportedAt(aName, aPrimary);
  return at && *at >= aSince;
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

std::optional<LogPosition>
GroupView::LogEndSince(const GroupPrimary& aPrimary, Instant aSince) const
{
  const auto* status = StatusOf(aPrimary.mName);
  return status && status->mRole == Role::Primary &&
             status->mTerm == aPrimary.mTerm && status->mRequestedAt >= aSince
           ? std::optional(status->mReceived)
           : std::nullopt;
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

bool
GroupView::HasLostEntries(LogPosition aPosition, Instant aRequestedAt) const
{
  return aPosition < mStatedPosition && aRequestedAt >= mStatedAt;
}

void
GroupView::ForgetPrimary()
{
  mPrimary.clear();
  mStatedPosition = {};
  mLeadingAt.reset();
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

/// A position that the primary reported in answer to a request sent at or after
/// the instant for which it is confirmed includes every write that was
/// acknowledged before that instant; an earlier one includes those that were
/// acknowledged before its own request.
void
GroupView::RecordFrontiers()
{
  const auto primary = Primary();
  const auto confirmedAt = primary ? ConfirmedAt(*primary) : std::nullopt;
  if (!confirmedAt) {
    return;
  }
  std::erase_if(mSamples, [&](const auto& it) {
    mFrontiers.Record(
      { it.mPosition, std::min(it.mRequestedAt, *confirmedAt) });
    return it.mRequestedAt <= *confirmedAt;
  });
}

}
