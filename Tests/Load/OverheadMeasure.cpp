#include "LatencyHistogram.h"
#include "Measures.h"

#include <QFile>
#include <chrono>
#include <cstdio>
#include <thread>

namespace papayaline {

namespace {

using Clock = std::chrono::steady_clock;

struct LoopResult
{
  double mPerSecond = 0;
  LatencyHistogram mLatency;
};

/// Runs aConnections callers that each repeat the statement SELECT 1 for
/// aSeconds seconds.
LoopResult
RunLoop(const std::function<Caller()>& aConnect, int aConnections, int aSeconds)
{
  std::vector<LatencyHistogram> latencies(static_cast<size_t>(aConnections));
  std::vector<std::thread> threads;
  const auto start = Clock::now();
  const auto end = start + std::chrono::seconds(aSeconds);
  for (auto& it : latencies) {
    threads.emplace_back([&] {
      auto caller = aConnect();
      while (Clock::now() < end) {
        const auto began = Clock::now();
        if (!caller.Run("SELECT 1").mIsOk) {
          return;
        }
        const std::chrono::duration<double> elapsed = Clock::now() - began;
        it.Add(elapsed.count());
      }
    });
  }
  for (auto& it : threads) {
    it.join();
  }
  LoopResult result;
  for (const auto& it : latencies) {
    result.mLatency.Merge(it);
  }
  const std::chrono::duration<double> elapsed = Clock::now() - start;
  result.mPerSecond =
    static_cast<double>(result.mLatency.Count()) / elapsed.count();
  return result;
}

double
ResidentKilobytes(qint64 aPid)
{
  QFile file(QString("/proc/%1/status").arg(aPid));
  file.open(QIODevice::ReadOnly);
  for (const auto& it : file.readAll().split('\n')) {
    if (it.startsWith("VmRSS:")) {
      return it.simplified().split(' ')[1].toDouble();
    }
  }
  return 0;
}

void
MeasureIdleCallers(Cluster& aCluster)
{
  constexpr int kCallers = 1000;
  const auto before = ResidentKilobytes(aCluster.Instance(0).Pid());
  std::vector<Caller> callers;
  for (int it = 0; it < kCallers; ++it) {
    callers.push_back(aCluster.Connect(0));
  }
  const auto after = ResidentKilobytes(aCluster.Instance(0).Pid());
  std::printf("memory of an idle caller connection: %.1f KB (%d callers)\n",
              (after - before) / kCallers,
              kCallers);
}

}

int
MeasureOverhead(const LoadOptions& aOptions)
{
  ClusterOptions clusterOptions;
  clusterOptions.mInstances = 1;
  clusterOptions.mConnections = 200;
  clusterOptions.mSlots = 64;
  clusterOptions.mClasses =
    "  - {name: gallery, max_age: 2s}\n  - {name: agents}\n";
  Cluster cluster(clusterOptions);
  if (!cluster.Start()) {
    return 1;
  }
  std::printf("SELECT 1 in a loop, %d s each\n", aOptions.mSeconds);
  std::printf("%6s %12s %12s %8s %10s %12s %12s\n",
              "conns",
              "direct/s",
              "aged/s",
              "ratio",
              "direct p50",
              "aged p50 ms",
              "own p50 ms");
  for (const int n : { 1, 10, 100 }) {
    const auto replica = cluster.Replicas().front();
    const auto direct = RunLoop(
      [&] { return cluster.ConnectDirect(replica); }, n, aOptions.mSeconds);
    const auto aged =
      RunLoop([&] { return cluster.Connect(0, "bookings", {}, "gallery"); },
              n,
              aOptions.mSeconds);
    const auto own =
      RunLoop([&] { return cluster.Connect(0); }, n, aOptions.mSeconds);
    std::printf("%6d %12.0f %12.0f %8.2f %10.3f %12.3f %12.3f\n",
                n,
                direct.mPerSecond,
                aged.mPerSecond,
                aged.mPerSecond / direct.mPerSecond,
                direct.mLatency.QuantileMs(0.5),
                aged.mLatency.QuantileMs(0.5),
                own.mLatency.QuantileMs(0.5));
    std::fflush(stdout);
    (*aOptions.mReport)[QString::number(n)] =
      QJsonObject{ { "directPerSecond", direct.mPerSecond },
                   { "agedPerSecond", aged.mPerSecond },
                   { "directP50Ms", direct.mLatency.QuantileMs(0.5) },
                   { "agedP50Ms", aged.mLatency.QuantileMs(0.5) },
                   { "ownP50Ms", own.mLatency.QuantileMs(0.5) } };
  }
  MeasureIdleCallers(cluster);
  return 0;
}

}
