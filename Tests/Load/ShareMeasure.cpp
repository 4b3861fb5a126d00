#include "LatencyHistogram.h"
#include "Measures.h"

#include <chrono>
#include <cstdio>
#include <random>
#include <thread>

namespace papayaline {

namespace {

using Clock = std::chrono::steady_clock;

struct SessionResult
{
  LatencyHistogram mReads;
  LatencyHistogram mAged;
  LatencyHistogram mWrites;
  int mErrors = 0;
  std::string mFirstError;
};

/// Runs a session that sends requests to three instances at random on a fixed
/// schedule. Latency is measured from the scheduled time of a request, so it
/// includes the delay caused by earlier requests.
SessionResult
RunSession(const Cluster& aCluster,
           const ClusterOptions& aClusterOptions,
           const LoadOptions& aOptions,
           int aSession)
{
  SessionResult result;
  std::mt19937_64 random(static_cast<uint64_t>(aSession) + 1);
  const auto group =
    aClusterOptions
      .mGroups[static_cast<size_t>(aSession) % aClusterOptions.mGroups.size()];
  std::vector<Caller> agents;
  std::vector<Caller> gallery;
  for (int it = 0; it < 3; ++it) {
    const int instance = (aSession + it * 3) % aClusterOptions.mInstances;
    agents.push_back(aCluster.Connect(instance, group));
    gallery.push_back(aCluster.Connect(instance, group, {}, "gallery"));
  }
  const std::chrono::duration<double> interval(
    static_cast<double>(aOptions.mSessions) / aOptions.mRate);
  const auto start = Clock::now();
  const auto end = start + std::chrono::seconds(aOptions.mSeconds);
  int id = aSession * 1'000'000;
  for (int n = 0;; ++n) {
    const auto due =
      start + std::chrono::duration_cast<Clock::duration>(interval * n);
    if (due >= end) {
      return result;
    }
    std::this_thread::sleep_until(due);
    const auto kind = random() % 10;
    const auto at = random() % agents.size();
    // The mix is one write to six read-your-writes reads and three reads with
    // bounded staleness.
    CallerResult answer;
    LatencyHistogram* histogram = &result.mReads;
    if (kind == 0) {
      answer = agents[at].Run("INSERT INTO visits VALUES (" +
                              std::to_string(++id) + ", 1)");
      histogram = &result.mWrites;
    } else if (kind <= 6) {
      answer = agents[at].Run("SELECT count(*) FROM visits WHERE id = 1");
    } else {
      answer = gallery[at].Run("SELECT count(*) FROM visits WHERE id = 1");
      histogram = &result.mAged;
    }
    const std::chrono::duration<double> elapsed = Clock::now() - due;
    histogram->Add(elapsed.count());
    result.mErrors += answer.mIsOk ? 0 : 1;
    if (!answer.mIsOk && result.mFirstError.empty()) {
      result.mFirstError = answer.mMessage;
    }
  }
}

double
SumMetric(const Cluster& aCluster, int aInstances, const QByteArray& aName)
{
  double sum = 0;
  for (int it = 0; it < aInstances; ++it) {
    for (const auto& line : aCluster.Http(it, "/metrics").mBody.split('\n')) {
      if (line.startsWith(aName + " ")) {
        sum += line.mid(aName.size() + 1).toDouble();
      }
    }
  }
  return sum;
}

bool
MeasureRouting(const LoadOptions& aOptions,
               const char* aName,
               const char* aRouting,
               bool aHasSlowReplica)
{
  auto clusterOptions = ProfileOptions(aOptions.mProfile);
  clusterOptions.mReadRouting = aRouting;
  Cluster cluster(clusterOptions);
  if (!cluster.Start()) {
    std::printf("%s: the system did not become ready\n", aName);
    return false;
  }
  for (const auto& it : clusterOptions.mGroups) {
    const auto created =
      cluster.Connect(0, it).Run("CREATE TABLE visits (id INTEGER, n INTEGER)");
    if (!created.mIsOk) {
      std::printf("%s: %s", it.c_str(), created.mMessage.c_str());
      return false;
    }
    if (aHasSlowReplica) {
      cluster.SetDatabaseOption(cluster.Replicas(it).front(), "lag_ms", 30'000);
    }
  }
  std::vector<SessionResult> results(static_cast<size_t>(aOptions.mSessions));
  std::vector<std::thread> threads;
  for (int it = 0; it < aOptions.mSessions; ++it) {
    threads.emplace_back([&, it] {
      results[static_cast<size_t>(it)] =
        RunSession(cluster, clusterOptions, aOptions, it);
    });
  }
  for (auto& it : threads) {
    it.join();
  }
  SessionResult all;
  for (const auto& it : results) {
    all.mReads.Merge(it.mReads);
    all.mAged.Merge(it.mAged);
    all.mWrites.Merge(it.mWrites);
    all.mErrors += it.mErrors;
    if (all.mFirstError.empty()) {
      all.mFirstError = it.mFirstError;
    }
  }
  const auto metric = [&](const char* aMetric) {
    return SumMetric(cluster, clusterOptions.mInstances, aMetric);
  };
  const auto share = [](double aReplica, double aPrimary) {
    const auto total = aReplica + aPrimary;
    return total == 0 ? 0 : 100 * aReplica / total;
  };
  const double fresh = share(metric("papayaline_reads_replica_total"),
                             metric("papayaline_reads_primary_total"));
  const double aged = share(metric("papayaline_reads_aged_replica_total"),
                            metric("papayaline_reads_aged_primary_total"));
  std::printf("%-22s %9.1f %9.1f %8.1f %8.1f %8.1f %8.1f %8.1f %8.1f %7d\n",
              aName,
              fresh,
              aged,
              all.mReads.QuantileMs(0.5),
              all.mReads.QuantileMs(0.99),
              all.mAged.QuantileMs(0.5),
              all.mAged.QuantileMs(0.99),
              all.mWrites.QuantileMs(0.5),
              all.mWrites.QuantileMs(0.99),
              all.mErrors);
  if (all.mErrors > 0) {
    std::printf("  first error: %s\n", all.mFirstError.c_str());
  }
  std::fflush(stdout);
  (*aOptions.mReport)[aName] = QJsonObject{
    { "replicaShare", fresh },
    { "agedReplicaShare", aged },
    { "readP50Ms", all.mReads.QuantileMs(0.5) },
    { "readP99Ms", all.mReads.QuantileMs(0.99) },
    { "writeP50Ms", all.mWrites.QuantileMs(0.5) },
    { "writeP99Ms", all.mWrites.QuantileMs(0.99) },
    { "errors", all.mErrors },
  };
  return true;
}

}

int
MeasureShare(const LoadOptions& aOptions)
{
  std::printf("profile %s, %d requests/s over %d sessions, %d s each; shares "
              "in %%, times in ms\n",
              aOptions.mProfile.c_str(),
              aOptions.mRate,
              aOptions.mSessions,
              aOptions.mSeconds);
  std::printf("%-22s %9s %9s %8s %8s %8s %8s %8s %8s %7s\n",
              "routing",
              "own reads",
              "aged",
              "own p50",
              "own p99",
              "aged p50",
              "aged p99",
              "wr p50",
              "wr p99",
              "errors");
  const bool isDone =
    MeasureRouting(aOptions, "primary (baseline)", "primary", false) &&
    MeasureRouting(aOptions, "token", "token", false) &&
    MeasureRouting(aOptions, "frontier", "frontier", false) &&
    MeasureRouting(aOptions, "frontier, 30 s behind", "frontier", true);
  return isDone ? 0 : 1;
}

}
