#pragma once

#include "Cluster.h"
#include "History.h"

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace papayaline {

/// Callers that continuously write bookings, read their own bookings through
/// random instances, and read with bounded staleness. A caller that loses the
/// response to a booking retries with the same request id through a randomly
/// chosen instance.
class Workload
{
public:
  /// aSeed determines all random choices of the callers.
  Workload(const Cluster& aCluster, int aInstances, uint64_t aSeed);
  ~Workload() { Stop(); }

  /// Creates the tables; returns false if a write fails.
  bool Prepare();
  void Start(int aWorkers);
  void Stop();

  /// Stops all callers, reads the final state from the current primary, and
  /// returns the whole history.
  History Finish();

  int Acknowledged() const { return mAcknowledged; }
  int NotRun() const { return mNotRun; }
  int Unknown() const { return mUnknown; }
  /// The longest time between two acknowledged bookings.
  int64_t LongestGapUs() const { return mLongestGapUs; }
  /// Resets the value of LongestGapUs().
  void ResetGap();

private:
  using Random = std::mt19937_64;

  /// Keeps one connection per instance and replaces those that failed.
  class Connections
  {
  public:
    Connections(const Cluster& aCluster, std::string aUser)
      : mCluster(aCluster)
      , mUser(std::move(aUser))
    {
    }
    Caller& ForInstance(int aInstance);

  private:
    const Cluster& mCluster;
    std::string mUser;
    std::map<int, Caller> mCallers;
  };

  void RunWorker(int aWorker, uint64_t aSeed);
  void RunTicker(uint64_t aSeed);
  void WriteBooking(int aWorker, Connections& aConnections, Random& aRandom);
  CallerResult SendBooking(Caller& aCaller,
                           const Booking& aBooking,
                           bool aIsTransaction);
  void ReadOwn(int aWorker, Connections& aConnections, Random& aRandom);
  void ReadWithBoundedStaleness(Connections& aConnections, Random& aRandom);
  int PickInstance(Random& aRandom) const;
  void RecordBooking(const Booking& aBooking);

  const Cluster& mCluster;
  int mInstances;
  uint64_t mSeed;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<int64_t> mNextId{ 1 };
  std::atomic<int> mAcknowledged{ 0 };
  std::atomic<int> mNotRun{ 0 };
  std::atomic<int> mUnknown{ 0 };
  std::atomic<int64_t> mLastAcknowledgedUs{ 0 };
  std::atomic<int64_t> mLongestGapUs{ 0 };
  std::mutex mMutex;
  History mHistory;
  std::vector<std::thread> mThreads;
};

}
