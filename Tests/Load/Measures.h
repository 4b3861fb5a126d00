#pragma once

#include "Cluster.h"

namespace papayaline {

/// The size of a measurement.
struct LoadOptions
{
  std::string mProfile = "jingshui";
  int mSeconds = 8;
  int mSessions = 24;
  /// Requests a second over all sessions, on a fixed schedule.
  int mRate = 600;
  int mFailures = 5;
  QJsonObject* mReport = nullptr;
};

/// The deployment of a profile: groups, domains, slots, connections, lag.
ClusterOptions
ProfileOptions(const std::string& aProfile);

/// Share of reads at replicas for each routing, baseline first.
int
MeasureShare(const LoadOptions& aOptions);
/// The time without an acknowledged write, for each kind of failure.
int
MeasureGap(const LoadOptions& aOptions);
/// Throughput and latency through an instance against the stand-in itself.
int
MeasureOverhead(const LoadOptions& aOptions);
/// CPU, memory and bytes of idle instances, by fleet and group count.
int
MeasureControl(const LoadOptions& aOptions);

}
