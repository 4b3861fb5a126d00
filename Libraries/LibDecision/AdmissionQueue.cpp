#include "LibDecision/AdmissionQueue.h"

#include <algorithm>
#include <utility>

namespace papayaline {

Admission
AdmissionQueue::Offer(const QueuedRequest& aRequest, Instant aNow)
{
  if (aNow + ExpectedWait(aRequest.mRank) > aRequest.mDeadline) {
    return Admission::DeadlineTooClose;
  }
  if (mQueue.size() >= mCapacity) {
    const auto last = std::prev(mQueue.end());
    if (last->second.mRank <= aRequest.mRank) {
      return Admission::QueueFull;
    }
    mEvicted.push_back(last->second.mId);
    mQueue.erase(last);
  }
  mQueue.emplace(Key{ aRequest.mRank, mNextArrival++ }, aRequest);
  return Admission::Admitted;
}

void
AdmissionQueue::Requeue(const QueuedRequest& aRequest)
{
  mQueue.emplace(Key{ aRequest.mRank, mNextArrival++ }, aRequest);
}

std::vector<uint64_t>
AdmissionQueue::Order() const
{
  std::vector<uint64_t> ids;
  std::ranges::transform(mQueue, std::back_inserter(ids), [](const auto& it) {
    return it.second.mId;
  });
  return ids;
}

void
AdmissionQueue::Remove(uint64_t aId)
{
  std::erase_if(mQueue, [aId](const auto& it) { return it.second.mId == aId; });
}

std::vector<uint64_t>
AdmissionQueue::TakeExpired(Instant aNow)
{
  std::vector<uint64_t> expired;
  std::erase_if(mQueue, [&](const auto& it) {
    if (it.second.mDeadline > aNow) {
      return false;
    }
    expired.push_back(it.second.mId);
    return true;
  });
  return expired;
}

std::vector<uint64_t>
AdmissionQueue::TakeEvicted()
{
  return std::exchange(mEvicted, {});
}

void
AdmissionQueue::ObserveServiceTime(Duration aService)
{
  constexpr int kSmoothingWeight = 16;
  mMeanServiceTime =
    mMeanServiceTime == Duration{}
      ? aService
      : mMeanServiceTime + (aService - mMeanServiceTime) / kSmoothingWeight;
}

Duration
AdmissionQueue::ExpectedWait(unsigned aRank) const
{
  const auto ahead = std::ranges::count_if(
    mQueue, [&](const auto& it) { return it.second.mRank <= aRank; });
  return mMeanServiceTime * ahead / std::max(mServers, 1U);
}

}
