#include "Measures.h"

#include <QThread>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <thread>

namespace papayaline {

namespace {

using Clock = std::chrono::steady_clock;

/// Runs one continuous writer per instance and measures the longest time
/// between two consecutive acknowledgements of all writers together.
class Writers
{
public:
  Writers(const Cluster& aCluster, int aInstances)
  {
    mLastAckNs = Clock::now().time_since_epoch().count();
    for (int it = 0; it < aInstances; ++it) {
      mThreads.emplace_back([this, &aCluster, it] { Write(aCluster, it); });
    }
  }
  ~Writers()
  {
    mIsStopping = true;
    for (auto& it : mThreads) {
      it.join();
    }
  }

  double TakeLongestGapMs() { return mLongestGapNs.exchange(0) / 1e6; }
  int Acknowledged() const { return mAcknowledged; }

private:
  void Write(const Cluster& aCluster, int aInstance)
  {
    auto caller = std::make_unique<Caller>(aCluster.Connect(aInstance));
    while (!mIsStopping) {
      if (!caller->IsConnected()) {
        caller = std::make_unique<Caller>(aCluster.Connect(aInstance));
      }
      if (!caller->Run("INSERT INTO scores VALUES (1)").mIsOk) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        continue;
      }
      ++mAcknowledged;
      const auto now = Clock::now().time_since_epoch().count();
      const auto gap = now - mLastAckNs.exchange(now);
      auto longest = mLongestGapNs.load();
      while (gap > longest &&
             !mLongestGapNs.compare_exchange_weak(longest, gap)) {
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  std::atomic<bool> mIsStopping{ false };
  std::atomic<int64_t> mLastAckNs{ 0 };
  std::atomic<int64_t> mLongestGapNs{ 0 };
  std::atomic<int> mAcknowledged{ 0 };
  std::vector<std::thread> mThreads;
};

struct FailureKind
{
  const char* mName;
  void (*mInject)(Cluster&, const std::string&);
  void (*mHeal)(Cluster&, const std::string&);
};

const std::array kKinds = {
  FailureKind{ "killed",
               [](Cluster& aCluster, const std::string& aPrimary) {
                 aCluster.Database(aPrimary).Kill();
               },
               [](Cluster& aCluster, const std::string& aPrimary) {
                 aCluster.RestartDatabase(aPrimary);
               } },
  FailureKind{ "frozen",
               [](Cluster& aCluster, const std::string& aPrimary) {
                 aCluster.Database(aPrimary).Freeze();
               },
               [](Cluster& aCluster, const std::string& aPrimary) {
                 aCluster.Database(aPrimary).Thaw();
               } },
  FailureKind{ "silently cut",
               [](Cluster& aCluster, const std::string& aPrimary) {
                 aCluster.SetFault(aPrimary, "drop", "drop");
                 aCluster.SetFault(aPrimary + "/replication", "drop", "drop");
               },
               [](Cluster& aCluster, const std::string& aPrimary) {
                 aCluster.SetFault(aPrimary, "none", "none");
                 aCluster.SetFault(aPrimary + "/replication", "none", "none");
               } },
  FailureKind{ "cut from replicas",
               [](Cluster& aCluster, const std::string& aPrimary) {
                 aCluster.SetFault(aPrimary + "/replication", "drop", "drop");
               },
               [](Cluster& aCluster, const std::string& aPrimary) {
                 aCluster.SetFault(aPrimary + "/replication", "none", "none");
               } },
  FailureKind{ "switchover",
               [](Cluster& aCluster, const std::string&) {
                 aCluster.Operator({ "switchover", "bookings" });
               },
               [](Cluster&, const std::string&) {} },
};

/// Waits until all databases follow the current primary.
void
AwaitReplication(Cluster& aCluster)
{
  Cluster::WaitFor([&] { return aCluster.IsReady(); }, 20'000);
  QThread::msleep(1500);
}

bool
MeasureKind(const LoadOptions& aOptions,
            const FailureKind& aKind,
            bool aPlatformIsDown)
{
  auto clusterOptions = ProfileOptions("coastline");
  clusterOptions.mGroups = { "bookings" };
  Cluster cluster(clusterOptions);
  if (!cluster.Start()) {
    std::printf("%s: the system did not become ready\n", aKind.mName);
    return false;
  }
  cluster.Connect(0).Run("CREATE TABLE scores (n INTEGER)");
  if (aPlatformIsDown && std::string(aKind.mName) != "switchover") {
    cluster.SetPlatformFaults({ { "outage", "hang" } });
  }
  std::vector<double> gaps;
  Writers writers(cluster, 4);
  for (int it = 0; it < aOptions.mFailures; ++it) {
    AwaitReplication(cluster);
    const auto primary = cluster.Primary();
    writers.TakeLongestGapMs();
    aKind.mInject(cluster, primary);
    const int before = writers.Acknowledged();
    // Requires 60 writes, since some responses of the old primary still arrive
    // after the failure.
    Cluster::WaitFor([&] { return writers.Acknowledged() > before + 60; },
                     20'000);
    gaps.push_back(writers.TakeLongestGapMs());
    aKind.mHeal(cluster, primary);
  }
  std::ranges::sort(gaps);
  const auto median = gaps[gaps.size() / 2];
  const auto name =
    std::string(aKind.mName) + (aPlatformIsDown ? ", platform down" : "");
  std::printf("%-34s %4zu %9.0f %9.0f %9.0f\n",
              name.c_str(),
              gaps.size(),
              gaps.front(),
              median,
              gaps.back());
  std::fflush(stdout);
  (*aOptions.mReport)[QString::fromStdString(name)] =
    QJsonObject{ { "failures", static_cast<int>(gaps.size()) },
                 { "leastMs", gaps.front() },
                 { "medianMs", median },
                 { "worstMs", gaps.back() } };
  return true;
}

}

int
MeasureGap(const LoadOptions& aOptions)
{
  std::printf("time without an acknowledged write, in ms; 4 writers, profile "
              "coastline with one group\n");
  std::printf("%-34s %4s %9s %9s %9s\n",
              "failure of the primary",
              "n",
              "least",
              "median",
              "worst");
  bool isDone = true;
  for (const bool isDown : { false, true }) {
    for (const auto& it : kKinds) {
      isDone = MeasureKind(aOptions, it, isDown) && isDone;
    }
  }
  return isDone ? 0 : 1;
}

}
