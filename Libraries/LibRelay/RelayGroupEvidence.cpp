#include "LibRelay/PendingRequest.h"
#include "LibRelay/RelayGroup.h"

#include <algorithm>

namespace papayaline {

void
RelayGroup::ObserveTermOf(const RelayRequest& aRequest)
{
  const auto written = aRequest.mSession->LastWriteIn(mConfiguration.mName);
  const auto before = mView.Primary();
  if (!written || written->mTerm <= mView.HighestTerm()) {
    return;
  }
  mView.ObserveTerm(written->mTerm);
  if (before) {
    Log("primary.changed",
        { { "upstream", "unknown" },
          { "term", std::to_string(written->mTerm) },
          { "source", "request " + aRequest.mStatement.mId } });
  }
  for (const auto& it : mView.Members()) {
    RequestStatus(it.mName, mCounts.mProbes);
  }
}

bool
RelayGroup::IsReplaced(const GroupPrimary& aPrimary) const
{
  return mView.HighestTerm() > aPrimary.mTerm;
}

void
RelayGroup::AwaitConfirmation(const PendingRequestPointer& aPending,
                              const StatementAnswer& aAnswer,
                              const GroupPrimary& aPrimary)
{
  ++mCounts.mWrites;
  aPending->mAwaitsConfirmation = true;
  mUnconfirmedWrites.push_back(
    { aPending, aAnswer, aPrimary, mEnvironment.mNow() });
  CheckUnconfirmedWrites();
  RequestEvidence(mEnvironment.mNow());
}

void
RelayGroup::FillInPositions()
{
  for (auto& it : mUnconfirmedWrites) {
    auto& position = it.mAnswer.mPosition;
    if (!position) {
      position = mView.LogEndSince(it.mPrimary, it.mAnsweredAt);
    }
  }
}

bool
RelayGroup::IsConfirmed(const UnconfirmedWrite& aWrite, Instant aNow) const
{
  const auto& primary = aWrite.mPrimary;
  const auto& position = aWrite.mAnswer.mPosition;
  if (!position) {
    return false;
  }
  const bool mayLackReplication =
    mEnvironment.mAcknowledgement == Acknowledgement::Leader &&
    mConfiguration.mSyncReplicas == 0 &&
    aNow - aWrite.mAnsweredAt >= mSettings.mReplicationWait;
  return mView.IsReplicated(primary, *position) ||
         (mayLackReplication &&
          mView.AreAllMembersFollowing(primary, aWrite.mAnsweredAt));
}

void
RelayGroup::CheckUnconfirmedWrites()
{
  FillInPositions();
  const auto now = mEnvironment.mNow();
  std::vector<UnconfirmedWrite> confirmed;
  std::vector<UnconfirmedWrite> failed;
  std::erase_if(mUnconfirmedWrites, [&](const auto& it) {
    if (IsConfirmed(it, now)) {
      confirmed.push_back(it);
      return true;
    }
    const auto deadline =
      it.mPending->mRequest.mReceivedAt + it.mPending->mRequest.mRoute.mTimeout;
    if (IsReplaced(it.mPrimary) || now >= deadline) {
      failed.push_back(it);
      return true;
    }
    return false;
  });
  for (const auto& it : confirmed) {
    it.mPending->mAwaitsConfirmation = false;
    Finish(it.mPending, it.mAnswer);
  }
  for (const auto& it : failed) {
    it.mPending->mAwaitsConfirmation = false;
    Refuse(it.mPending,
           { ErrorKind::OutcomeUnknown, "committed, but not confirmed" });
  }
  SendDeferred();
}

bool
RelayGroup::NeedsFrontier(Instant aNow) const
{
  if (aNow >= mFrontierNeededUntil || !mView.Primary()) {
    return false;
  }
  return !mView.Frontiers().AtOrAfter(aNow - mSettings.mMaxFrontierAge);
}

std::vector<RelayGroup::PendingRequestPointer>
RelayGroup::RequestsAwaitingEvidence() const
{
  std::vector<PendingRequestPointer> requests;
  std::ranges::copy_if(
    mPendingRequests, std::back_inserter(requests), [](const auto& it) {
      return it->IsWaiting() && it->mNeedsEvidence;
    });
  for (const auto& it : mAttempts) {
    if (it->mIsDeferred) {
      requests.push_back(it->mPending);
    }
  }
  return requests;
}

/// The instant at or after which members must have reported for all waiting
/// reads.
Instant
RelayGroup::ReadEvidenceSince(
  std::span<const PendingRequestPointer> aRequests) const
{
  auto since = Instant::min();
  for (const auto& it : aRequests) {
    if (it->mRequest.mAccess == Access::Read) {
      since = std::max(since, EvidenceSince(RequirementsOf(it->mRequest)));
    }
  }
  return since;
}

Duration
RelayGroup::OldestUnconfirmedAge(Instant aNow) const
{
  return mUnconfirmedWrites.empty()
           ? Duration{}
           : aNow - mUnconfirmedWrites.front().mAnsweredAt;
}

/// The reachable members in the order in which evidence is requested of them:
/// first those known to be in the primary's term.
std::vector<std::string>
RelayGroup::EvidenceOrder(const GroupPrimary& aPrimary,
                          bool aIncludesPrimary) const
{
  using Rank = std::tuple<bool, bool, bool, bool, Duration>;
  std::vector<std::pair<Rank, std::string>> ranked;
  for (const auto& it : mView.Members()) {
    const bool isPrimary = it.mName == aPrimary.mName;
    if ((isPrimary && !aIncludesPrimary) || mView.IsFailing(it.mName)) {
      continue;
    }
    const auto& member = mMembers.at(it.mName);
    const auto* status = mView.StatusOf(it.mName);
    const bool isFenced = status && status->mFencedTerm > aPrimary.mTerm;
    ranked.push_back({ { !isPrimary && !mView.IsFollowing(it.mName, aPrimary),
                         !mView.IsVoter(it.mName) || isFenced,
                         !member.mPool->HasFree(),
                         it.mFailureDomain != mEnvironment.mFailureDomain,
                         member.mConcurrency.AnswerTime() },
                       it.mName });
  }
  std::ranges::sort(ranked);
  std::vector<std::string> names;
  std::ranges::transform(ranked, std::back_inserter(names), [](const auto& it) {
    return it.second;
  });
  return names;
}

void
RelayGroup::RequestEvidence(Instant aNow)
{
  const bool needsFrontier = NeedsFrontier(aNow);
  const auto requests = RequestsAwaitingEvidence();
  const auto primary = mView.Primary();
  const bool isNeeded =
    needsFrontier || !requests.empty() || !mUnconfirmedWrites.empty();
  if (!primary || aNow < mNextEvidenceAt || !isNeeded) {
    return;
  }
  const bool needsLogEnd = std::ranges::any_of(
    mUnconfirmedWrites, [](const auto& it) { return !it.mAnswer.mPosition; });
  if (needsLogEnd && mMembers.at(primary->mName).mCalls.empty()) {
    RequestStatus(primary->mName, mCounts.mEvidenceRequests);
  }
  mEvidenceMissingSince = mEvidenceMissingSince.value_or(aNow);
  mFollowersMissingSince = mFollowersMissingSince.value_or(aNow);
  const auto waited = OldestUnconfirmedAge(aNow);
  const auto size = mView.Members().size();
  const auto followers = mView.NeededReplicas();
  // Replicas confirm a write. A read needs a majority, of which the primary may
  // be one.
  const bool needsMajority =
    needsFrontier || std::ranges::any_of(requests, [](const auto& it) {
      return !it->mRequest.MayWrite();
    });
  const auto needed = followers + (needsMajority ? 1 : 0);
  auto order = EvidenceOrder(*primary, needsMajority);
  const auto following = std::ranges::count_if(
    order, [&](const auto& it) { return mView.IsFollowing(it, *primary); });
  // While replicas are slow to receive a write, the interval grows with the
  // time waited, and after half of mReplicationWait evidence is requested of
  // all replicas, as it is when too few are known to be in the term.
  // Former voting lists may need more members than a majority.
  const bool mayNeedMore =
    mView.HasFormerLists() &&
    aNow - *mEvidenceMissingSince >= mSettings.mEvidenceTimeout;
  const bool requestsAll = waited >= mSettings.mReplicationWait / 2 ||
                           static_cast<size_t>(following) < followers ||
                           mayNeedMore;
  auto remaining = requestsAll ? size : needed;
  mNextEvidenceAt = aNow + std::max(mEvidenceInterval.Interval(), waited / 2);
  // A write is confirmed by new reports of replicas only, and a report of an
  // earlier term does not show that a replica follows.
  const bool isFollowed =
    mView.IsPrimaryFollowed(*primary, aNow - mSettings.mMaxLeadershipAge);
  const bool needsNewReports =
    !mUnconfirmedWrites.empty() ||
    std::ranges::any_of(requests, [&](const auto& it) {
      const auto& request = it->mRequest;
      return request.mAccess == Access::Write ||
             (request.MayWrite() && !isFollowed);
    });
  auto since = ReadEvidenceSince(requests);
  if (needsFrontier) {
    // A report of a member that is not older makes a frontier that lasts longer
    // than half of one from new reports of two members.
    since = std::max(since, aNow - mSettings.mMaxFrontierAge / 2);
    // A frontier is a position of the primary.
    std::stable_partition(order.begin(), order.end(), [&](const auto& it) {
      return it == primary->mName;
    });
  }
  for (const auto& it : order) {
    if (remaining == 0) {
      return;
    }
    const bool mayReuse = !needsNewReports || it == primary->mName;
    if (mayReuse && mView.HasConfirmed(it, *primary, since)) {
      --remaining;
      continue;
    }
    if (mMembers.at(it).mCalls.empty()) {
      RequestStatus(it, mCounts.mEvidenceRequests);
    }
    remaining -= IsStatusExpected(mMembers.at(it), aNow) ? 1 : 0;
  }
}

/// Whether a status request, or the opening of a connection for it, is in
/// progress and not late.
bool
RelayGroup::IsStatusExpected(const Member& aMember, Instant aNow) const
{
  return aMember.HasCallInFlight()
           ? aNow - aMember.mCalls.front().mSentAt < mSettings.mEvidenceTimeout
           : aMember.mPool->IsOpeningSince(aNow - mSettings.mTypicalOpenTime);
}

}
