#include "LibRelay/PendingRequest.h"
#include "LibRelay/RelayGroup.h"

#include <algorithm>

namespace papayaline {

namespace {

/// Bounds the report, since ranks may be any number. Lower ranks wait at least
/// as long as this one.
constexpr unsigned kMaxToldRank = 15;

}

FairStatement
RelayGroup::FairnessOf(const PendingRequest& aPending,
                       const std::string& aUpstream) const
{
  const auto& request = aPending.mRequest;
  FairStatement statement;
  statement.mRank = request.mRoute.mRank;
  statement.mIsLate = IsPastTarget(aPending, mEnvironment.mNow());
  statement.mAccountRank = request.mAuthority.mAccountRank;
  statement.mAccount = request.mAuthority.mAccount;
  statement.mWeight = mSharePolicy.WeightOf(statement.mAccount);
  statement.mWork = AnswerTimeOf(aUpstream);
  return statement;
}

std::vector<RelayGroup::PendingRequestPointer>
RelayGroup::OrderFairly()
{
  std::vector<PendingRequestPointer> waiting;
  std::ranges::copy_if(mPendingRequests,
                       std::back_inserter(waiting),
                       [](const auto& it) { return it->IsWaiting(); });
  std::vector<FairStatement> statements;
  std::ranges::transform(
    waiting, std::back_inserter(statements), [this](const auto& it) {
      return FairnessOf(*it, it->mWaitsAt);
    });
  std::vector<PendingRequestPointer> requests;
  std::ranges::transform(mFairOrder.Order(statements),
                         std::back_inserter(requests),
                         [&](size_t it) { return waiting[it]; });
  return requests;
}

void
RelayGroup::ObserveStart(const Attempt& aAttempt)
{
  if (!mSharePolicy.IsEnabled()) {
    return;
  }
  mFairOrder.OnStarted(
    FairnessOf(*aAttempt.mPending, aAttempt.mLink->Upstream()));
}

/// Makes room for a request by refusing one. Without accounts it is the
/// newcomer; otherwise the one whose account has the most waiting, so that no
/// account fills the queue for all.
void
RelayGroup::RefuseAtFullQueue(const PendingRequestPointer& aNewcomer)
{
  std::vector<PendingRequestPointer> waiting;
  if (mSharePolicy.IsEnabled()) {
    std::ranges::copy_if(mPendingRequests,
                         std::back_inserter(waiting),
                         [](const auto& it) { return it->IsWaiting(); });
  }
  waiting.push_back(aNewcomer);
  std::vector<FairStatement> statements;
  std::ranges::transform(
    waiting, std::back_inserter(statements), [this](const auto& it) {
      return FairnessOf(*it, it->mWaitsAt);
    });
  const auto refused = waiting[FairOrder::ChooseRefusal(statements)];
  if (refused == aNewcomer) {
    mPendingRequests.push_back(aNewcomer);
  }
  ++mCounts.mRefusedAtFullQueue;
  Refuse(refused, { ErrorKind::QueueFull, "queue of the group is full" });
}

/// How many statements may run at a database before one more of a rank.
unsigned
RelayGroup::LimitAt(const std::string& aName, unsigned aRank) const
{
  const auto limit = mMembers.at(aName).mConcurrency.Limit();
  const auto* member = mView.FindMember(aName);
  if (!mSharePolicy.IsEnabled() || !member) {
    return limit;
  }
  const SlotUse use{ member->mSlots, mPlacement.mSharingInstances, limit };
  return ConcurrencyOf(use, mSharePolicy.PlaceOf(aRank));
}

unsigned
RelayGroup::ParallelAt(const std::string& aName, unsigned aRank) const
{
  return std::min(mMembers.at(aName).mPool->ReadyCount(),
                  LimitAt(aName, aRank));
}

std::optional<GroupLoad>
RelayGroup::LoadOf(QueueKind aKind) const
{
  if (!mSharePolicy.IsEnabled()) {
    return std::nullopt;
  }
  // By database and rank.
  std::map<std::string, std::map<unsigned, unsigned>> waiting;
  std::set<std::string> ofKind;
  unsigned lowest = 0;
  for (const auto& it : mPendingRequests) {
    const bool isQueued =
      it->IsWaiting() && it->mExpectedStart && mMembers.contains(it->mWaitsAt);
    if (isQueued) {
      const auto rank = it->mRequest.mRoute.mRank;
      ++waiting[it->mWaitsAt][rank];
      lowest = std::max(lowest, rank);
      if (it->mRequest.Kind() == aKind) {
        ofKind.insert(it->mWaitsAt);
      }
    }
  }
  GroupLoad load;
  lowest = std::min(lowest, kMaxToldRank);
  if (ofKind.empty()) {
    return load;
  }
  for (unsigned rank = 0; rank <= lowest + 1; ++rank) {
    std::optional<Duration> shortest;
    for (const auto& name : ofKind) {
      const auto& member = mMembers.at(name);
      const auto parallel = std::max(ParallelAt(name, 0), 1U);
      unsigned ahead = 0;
      for (const auto& [other, n] : waiting.at(name)) {
        ahead += other < rank ? n : 0;
      }
      const Duration wait = member.mConcurrency.AnswerTime() * ahead / parallel;
      shortest = std::min(shortest.value_or(wait), wait);
    }
    load.mWaitByRank.push_back(*shortest);
  }
  return load;
}

Duration
RelayGroup::LongestExpectedWait() const
{
  const auto now = mEnvironment.mNow();
  Duration longest{};
  for (const auto& it : mPendingRequests) {
    if (it->IsWaiting() && it->mExpectedStart) {
      longest = std::max(longest, *it->mExpectedStart - now);
    }
  }
  return longest;
}

}
