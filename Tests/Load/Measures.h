#pragma once

#include "Cluster.h"

namespace papayaline {

/// The options of a measurement.
struct LoadOptions
{
  std::string mProfile = "jingshui";
  int mSeconds = 8;
  int mSessions = 24;
  /// Requests per second of all sessions together, sent on a fixed schedule.
  int mRate = 600;
  int mFailures = 5;
  QJsonObject* mReport = nullptr;
};

/// Returns the deployment of a profile: groups, failure domains, slots,
/// connections and replication lag.
ClusterOptions
ProfileOptions(const std::string& aProfile);

/// Measures the share of reads that replicas serve, and latencies, for each
/// read routing; the baseline comes first. Returns the exit code of the
/// program.
int
MeasureShare(const LoadOptions& aOptions);
/// Measures the time without an acknowledged write for each kind of failure.
/// Returns the exit code of the program.
int
MeasureGap(const LoadOptions& aOptions);
/// Compares throughput and latency through an instance with those of a direct
/// connection to the stand-in. Returns the exit code of the program.
int
MeasureOverhead(const LoadOptions& aOptions);
/// Measures CPU time, memory and network use of idle instances for several
/// numbers of instances and groups. Returns the exit code of the program.
int
MeasureControl(const LoadOptions& aOptions);
/// Measures what it costs to find the client account of a key and the route of
/// a database, for several sizes of a configuration. Returns the exit code of
/// the program.
int
MeasureKeys(const LoadOptions& aOptions);

}
