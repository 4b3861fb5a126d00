#include "LibRelay/PendingRequest.h"
#include "LibRelay/RelayGroup.h"

#include <algorithm>

namespace papayaline {

void
RelayGroup::Dispatch()
{
  // Starting a request may finish it and submit another one, which calls
  // Dispatch again.
  if (mIsDispatching) {
    mIsDispatchDue = true;
    return;
  }
  mIsDispatching = true;
  do {
    mIsDispatchDue = false;
    DispatchOnce();
  } while (mIsDispatchDue);
  mIsDispatching = false;
}

/// Starts the requests that can be started and estimates when the others will
/// be.
void
RelayGroup::DispatchOnce()
{
  const auto now = mEnvironment.mNow();
  std::map<std::string, int> waiting;
  for (const auto& [name, it] : mMembers) {
    it.mPool->BeginDispatch(it.mConcurrency.AnswerTime());
  }
  for (const auto& it : DispatchOrder()) {
    if (it->IsWaiting() && it->mNotBefore <= now) {
      TryStart(it);
    }
    it->mExpectedStart.reset();
    const bool isQueued =
      it->IsWaiting() && it->mWaitsFor == RelayVerdict::WaitForConnection;
    const auto member = mMembers.find(it->mWaitsAt);
    if (!isQueued || member == mMembers.end()) {
      continue;
    }
    const auto parallel = ParallelAt(it->mWaitsAt, it->mRequest.mRoute.mRank);
    if (parallel > 0) {
      it->mExpectedStart = now + member->second.mConcurrency.AnswerTime() *
                                   waiting[it->mWaitsAt]++ / parallel;
    }
  }
}

std::vector<RelayGroup::PendingRequestPointer>
RelayGroup::DispatchOrder()
{
  return mSharePolicy.IsEnabled() ? OrderFairly() : OrderByRank();
}

/// Within a rank, requests that can still be answered within their target
/// latency go first: while slots are short, the others would make them late
/// too.
std::vector<RelayGroup::PendingRequestPointer>
RelayGroup::OrderByRank() const
{
  using Key = std::pair<unsigned, bool>;
  const auto now = mEnvironment.mNow();
  std::vector<std::pair<Key, PendingRequestPointer>> order;
  for (const auto& it : mPendingRequests) {
    if (it->IsWaiting()) {
      order.push_back(
        { { it->mRequest.mRoute.mRank, IsPastTarget(*it, now) }, it });
    }
  }
  std::ranges::stable_sort(order, {}, [](const auto& it) { return it.first; });
  std::vector<PendingRequestPointer> requests;
  std::ranges::transform(order,
                         std::back_inserter(requests),
                         [](const auto& it) { return it.second; });
  return requests;
}

bool
RelayGroup::IsPastTarget(const PendingRequest& aPending, Instant aNow) const
{
  const auto& request = aPending.mRequest;
  return aNow + AnswerTimeOf(aPending.mWaitsAt) >
         request.mReceivedAt + request.mRoute.mTargetLatency;
}

Duration
RelayGroup::AnswerTimeOf(const std::string& aName) const
{
  const auto it = mMembers.find(aName);
  return it != mMembers.end() ? it->second.mConcurrency.AnswerTime()
                              : Duration{};
}

/// Whether databases refuse, for lack of slots, the evidence that a request
/// waits for.
bool
RelayGroup::IsEvidenceRefused(const PendingRequest& aPending) const
{
  return aPending.mWaitsFor == RelayVerdict::WaitForEvidence &&
         mEvidenceInterval.IsCongested();
}

/// When a waiting request is refused. A request that is known to be unservable
/// is due at once. While this instance has no connection to offer, the target
/// latency is the limit, since a retry may reach an instance that has one.
Instant
RelayGroup::DeadlineOf(const PendingRequest& aPending) const
{
  const auto& request = aPending.mRequest;
  const auto requirements = RequirementsOf(request);
  const bool waitsForReplica =
    aPending.mWaitsFor == RelayVerdict::WaitForConnection &&
    !requirements.mNeedsPrimary && requirements.mMaxAge;
  if (IsPartitioned(request) && !waitsForReplica) {
    return request.mReceivedAt;
  }
  const auto deadline = request.mReceivedAt + request.mRoute.mTimeout;
  const auto primary = mView.Primary();
  if (primary && IsSuspected(*primary)) {
    // The request waits for the next primary.
    return deadline;
  }
  if (aPending.mExpectedStart) {
    const auto end = *aPending.mExpectedStart + AnswerTimeOf(aPending.mWaitsAt);
    return end <= deadline ? deadline : request.mReceivedAt;
  }
  const bool isOverloaded =
    aPending.mWaitsFor == RelayVerdict::WaitForConnection ||
    IsEvidenceRefused(aPending);
  return isOverloaded
           ? std::min(request.mReceivedAt + request.mRoute.mTargetLatency,
                      deadline)
           : deadline;
}

Error
RelayGroup::ExpiryError(const PendingRequest& aPending) const
{
  if (IsPartitioned(aPending.mRequest)) {
    return { aPending.mRequest.mAccess == Access::Read ? ErrorKind::TooStale
                                                       : ErrorKind::NoUpstream,
             "this instance is cut off from the group's majority" };
  }
  if (IsEvidenceRefused(aPending)) {
    return { ErrorKind::QueueFull, "databases have no slot for evidence" };
  }
  switch (aPending.mWaitsFor) {
    case RelayVerdict::WaitForEvidence:
      return { ErrorKind::TooStale,
               "no evidence of the data's age arrived in time" };
    case RelayVerdict::WaitForPrimary:
      return { ErrorKind::NoUpstream, "no primary was known in time" };
    default:
      return { ErrorKind::QueueFull,
               aPending.mExpectedStart
                 ? "the expected wait is longer than the time left"
                 : "no connection was free in time" };
  }
}

void
RelayGroup::ExpireRequests(Instant aNow)
{
  const auto requests = mPendingRequests;
  for (const auto& it : requests) {
    if (!it->IsWaiting()) {
      continue;
    }
    if (const auto denial = FindDenial(*it)) {
      Refuse(it, *denial);
      continue;
    }
    if (aNow < DeadlineOf(*it)) {
      continue;
    }
    const auto error = ExpiryError(*it);
    if (error.mKind == ErrorKind::QueueFull) {
      ++(it->mExpectedStart ? mCounts.mRefusedForWait
                            : mCounts.mRefusedWithoutConnection);
    }
    Refuse(it, error);
  }
}

}
