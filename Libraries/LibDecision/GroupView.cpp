#include "LibDecision/GroupView.h"

#include <algorithm>

namespace papayaline {

namespace {

/// Samples of the primary's position that await evidence. At 100 answers per
/// second they span more time than the evidence takes to arrive.
constexpr size_t kMaxSamples = 256;

}

size_t
GroupView::VotingList::Majority() const
{
  return MajorityOf(mSize);
}

size_t
GroupView::VotingList::Intersection() const
{
  const auto outside = Majority() - 1;
  return mNames.size() > outside ? mNames.size() - outside : 0;
}

void
GroupView::SetMembers(std::vector<GroupMember> aMembers, Instant aNow)
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
  const auto since = mListings.empty() ? aNow - kVotingDelay : aNow;
  for (const auto& it : mMembers) {
    auto& listing =
      mListings.try_emplace(it.mName, Listing{ since, aNow }).first->second;
    listing.mLastListedAt = aNow;
  }
  UpdateVoters(aNow);
}

void
GroupView::UpdateVoters(Instant aNow)
{
  VotingList voters;
  for (const auto& it : mMembers) {
    auto& listing = mListings.at(it.mName);
    listing.mLastListedAt = aNow;
    if (aNow - listing.mSince >= kVotingDelay) {
      voters.mNames.insert(it.mName);
    }
  }
  std::erase_if(mListings, [&](const auto& it) {
    return aNow - it.second.mLastListedAt >= kListRetention;
  });
  voters.mSize = GroupSize(voters.mNames.size());
  if (mRules.Has(RelayRule::FormerLists) && !mVoters.mNames.empty() &&
      voters.mNames != mVoters.mNames) {
    mVoters.mReplacedAt = aNow;
    mFormerLists.push_back(std::move(mVoters));
  }
  mVoters = std::move(voters);
  std::erase_if(mFormerLists, [&](const auto& it) {
    return aNow - it.mReplacedAt >= kListRetention;
  });
}

bool
GroupView::IsVoter(const std::string& aName) const
{
  return mVoters.mNames.contains(aName);
}

template<typename Predicate>
bool
GroupView::IsMajorityOf(Predicate aPredicate) const
{
  const auto count = [&](const VotingList& aList) {
    return static_cast<size_t>(std::ranges::count_if(aList.mNames, aPredicate));
  };
  return count(mVoters) >= mVoters.Majority() &&
         std::ranges::all_of(mFormerLists, [&](const auto& it) {
           return count(it) >= it.Intersection();
         });
}

bool
GroupView::IsMajority(const std::set<std::string>& aNames) const
{
  return IsMajorityOf([&](const auto& it) { return aNames.contains(it); });
}

bool
GroupView::IntersectsMajorities(const std::set<std::string>& aNames) const
{
  const auto intersects = [&](const VotingList& aList) {
    const auto n = std::ranges::count_if(
      aList.mNames, [&](const auto& it) { return aNames.contains(it); });
    return static_cast<size_t>(n) >= aList.Intersection();
  };
  return intersects(mVoters) && std::ranges::all_of(mFormerLists, intersects);
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
GroupView::GroupSize(size_t aListed) const
{
  return std::max(aListed, std::min(mLargestSize, kMinGroupSize));
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
GroupView::NeededReplicas() const
{
  return std::max<size_t>(mVoters.Majority() - 1, 1);
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

std::optional<Instant>
GroupView::ConfirmedAt(const GroupPrimary& aPrimary,
                       std::optional<Instant> aPrimaryReport) const
{
  if (aPrimary.mTerm != mHighestTerm) {
    return std::nullopt;
  }
  const auto confirmedAt = [&](const VotingList& aList, size_t aNeeded) {
    if (aNeeded == 0) {
      return std::optional(Instant::max());
    }
    std::vector<Instant> reports;
    for (const auto& it : aList.mNames) {
      const auto at =
        it == aPrimary.mName ? aPrimaryReport : ReportedAt(it, aPrimary);
      if (at) {
        reports.push_back(*at);
      }
    }
    std::ranges::sort(reports, std::greater());
    return reports.size() >= aNeeded ? std::optional(reports[aNeeded - 1])
                                     : std::nullopt;
  };
  auto earliest = confirmedAt(mVoters, mVoters.Majority());
  for (const auto& it : mFormerLists) {
    const auto at = confirmedAt(it, it.Intersection());
    earliest =
      earliest && at ? std::optional(std::min(*earliest, *at)) : std::nullopt;
  }
  return earliest;
}

bool
GroupView::IsPrimaryConfirmed(const GroupPrimary& aPrimary,
                              Instant aSince) const
{
  const auto at = ConfirmedAt(aPrimary, ReportedAt(aPrimary.mName, aPrimary));
  return at && *at >= aSince;
}

bool
GroupView::IsPrimaryConfirmedByOthers(const GroupPrimary& aPrimary,
                                      Instant aSince) const
{
  const auto at = ConfirmedAt(aPrimary, Instant::max());
  return at && *at >= aSince;
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
  return aPrimary.mTerm == mHighestTerm && IsMajorityOf([&](const auto& it) {
           const auto* status = StatusOf(it);
           return it == aPrimary.mName ||
                  (IsFollowing(it, aPrimary) &&
                   status->mFencedTerm <= aPrimary.mTerm &&
                   status->mRequestedAt >= aSince);
         });
}

bool
GroupView::IsReplicated(const GroupPrimary& aPrimary,
                        LogPosition aPosition) const
{
  return aPrimary.mTerm == mHighestTerm && IsMajorityOf([&](const auto& it) {
           return it == aPrimary.mName ||
                  (IsFollowing(it, aPrimary) &&
                   StatusOf(it)->mReceived >= aPosition);
         });
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
  const bool areAllListed = mMembers.size() >= GroupSize(mMembers.size()) &&
                            std::ranges::all_of(mListings, [&](const auto& it) {
                              return FindMember(it.first);
                            });
  return aPrimary.mTerm == mHighestTerm && areAllListed &&
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
  const auto confirmedAt =
    primary ? ConfirmedAt(*primary, ReportedAt(primary->mName, *primary))
            : std::nullopt;
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
