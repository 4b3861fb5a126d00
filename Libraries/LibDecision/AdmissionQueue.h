#pragma once

#include "LibDecision/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace papayaline {

/// A request that is waiting for an upstream connection.
struct QueuedRequest
{
  uint64_t mId = 0;
  /// Lower ranks are served first.
  unsigned mRank = 0;
  Instant mDeadline;

  bool operator==(const QueuedRequest&) const = default;
};

enum class Admission
{
  Admitted,
  QueueFull,
  DeadlineTooClose,
};

/// A bounded queue that is ordered by class rank, then by arrival. A request
/// that is expected to wait past its deadline is refused on arrival.
/// Thread safety: one thread.
class AdmissionQueue
{
public:
  AdmissionQueue(size_t aCapacity, unsigned aServers)
    : mCapacity(aCapacity)
    , mServers(aServers)
  {
  }

  void SetServers(unsigned aServers) { mServers = aServers; }
  void SetCapacity(size_t aCapacity) { mCapacity = aCapacity; }

  /// Adds a request or refuses it. If the queue is full, a request of a lower
  /// rank evicts the last request of the highest rank; TakeEvicted returns the
  /// id of the evicted request.
  Admission Offer(const QueuedRequest& aRequest, Instant aNow);

  /// Queues an admitted request again for a retry, regardless of the capacity
  /// and the expected wait.
  void Requeue(const QueuedRequest& aRequest);

  /// The ids of the queued requests, in the order in which to serve them.
  std::vector<uint64_t> Order() const;
  void Remove(uint64_t aId);

  /// Removes the requests whose deadline has passed and returns their ids.
  std::vector<uint64_t> TakeExpired(Instant aNow);
  /// Returns the ids of the requests that were evicted since the last call.
  std::vector<uint64_t> TakeEvicted();

  /// Records the duration of a completed request for the expected wait.
  void ObserveServiceTime(Duration aService);

  /// The time that a new request of aRank is expected to wait.
  Duration ExpectedWait(unsigned aRank) const;

  size_t Size() const { return mQueue.size(); }

private:
  using Key = std::pair<unsigned, uint64_t>;

  size_t mCapacity;
  unsigned mServers;
  uint64_t mNextArrival = 0;
  std::map<Key, QueuedRequest> mQueue;
  std::vector<uint64_t> mEvicted;
  Duration mMeanServiceTime{};
};

}
