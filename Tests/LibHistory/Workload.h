#pragma once

#include "Cluster.h"
#include "History.h"

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace papayaline {

/// Callers that book, read their own bookings through other instances, and read
/// under an allowed age, all day long. Each caller repeats a booking whose
/// answer was lost, through another instance with the same request id.
class Workload
{
public:
  /// aSeed decides all choices of the callers.
  Workload(const Cluster& aCluster, int aInstances, uint64_t aSeed);
  ~Workload() { Stop(); }

  /// Creates the tables; false when the group takes no writes.
  bool Prepare();
  void Start(int aWorkers);
  void Stop();

  /// Stops, reads the final state at the newest primary, and returns all.
  History Finish();

  int Acknowledged() const { return mAcknowledged; }
  int NotRun() const { return mNotRun; }
  int Unknown() const { return mUnknown; }
  /// The longest time between two acknowledged bookings.
  int64_t LongestGapUs() const { return mLongestGapUs; }
  /// Starts to measure the longest gap anew.
  void ResetGap();

private:
  using Random = std::mt19937_64;

  /// One connection an instance, made anew after a failure.
  class Connections
  {
  public:
    Connections(const Cluster& aCluster, std::string aUser)
      : mCluster(aCluster)
      , mUser(std::move(aUser))
    {
    }
    Caller& To(int aInstance);

  private:
    const Cluster& mCluster;
    std::string mUser;
    std::map<int, Caller> mCallers;
  };

  void Work(int aWorker, uint64_t aSeed);
  void Tick(uint64_t aSeed);
  void Book(int aWorker, Connections& aConnections, Random& aRandom);
  CallerResult TryBooking(Caller& aCaller,
                          const Booking& aBooking,
                          bool aIsTransaction);
  void ReadOwn(int aWorker, Connections& aConnections, Random& aRandom);
  void ReadAged(Connections& aConnections, Random& aRandom);
  int SomeInstance(Random& aRandom) const;
  void Count(const Booking& aBooking);

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
