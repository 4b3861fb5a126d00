#pragma once

#include "LibDecision/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace papayaline {

/// A request that waits for an upstream connection.
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

/// A bounded queue ordered by class rank, then by arrival. A request whose
/// wait can't be met by its deadline is refused on arrival.
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

  /// A full queue makes room for a request of a lower rank value by evicting
  /// the last of the highest; the evicted id is returned by TakeEvicted.
  Admission Offer(const QueuedRequest& aRequest, Instant aNow);

  /// Puts back a request that was admitted before and must be tried again.
  void Readmit(const QueuedRequest& aRequest);

  /// The ids in the order in which they should be served.
  std::vector<uint64_t> Order() const;
  void Remove(uint64_t aId);

  /// Removes and returns the requests whose deadline has passed.
  std::vector<uint64_t> TakeExpired(Instant aNow);
  std::vector<uint64_t> TakeEvicted();

  /// Feeds the observed duration of a finished request.
  void ObserveService(Duration aService);

  /// The wait that a request of aRank is expected to have now.
  Duration ExpectedWait(unsigned aRank) const;

  size_t Size() const { return mQueue.size(); }

private:
  using Key = std::pair<unsigned, uint64_t>;

  size_t mCapacity;
  unsigned mServers;
  uint64_t mNextArrival = 0;
  std::map<Key, QueuedRequest> mQueue;
  std::vector<uint64_t> mEvicted;
  Duration mMeanService{};
};

}
