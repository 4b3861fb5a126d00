#include "Measures.h"

#include <QFile>
#include <QThread>
#include <cstdio>
#include <unistd.h>

namespace papayaline {

namespace {

struct Usage
{
  double mCpuSeconds = 0;
  double mMemoryMb = 0;
  double mPeerBytes = 0;
  double mStatusRequests = 0;
  double mPlatformCalls = 0;
};

double
CpuSeconds(qint64 aPid)
{
  QFile file(QString("/proc/%1/stat").arg(aPid));
  file.open(QIODevice::ReadOnly);
  const auto text = file.readAll();
  const auto fields = text.mid(text.lastIndexOf(')') + 2).split(' ');
  return (fields[11].toDouble() + fields[12].toDouble()) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

double
MemoryMb(qint64 aPid)
{
  QFile file(QString("/proc/%1/statm").arg(aPid));
  file.open(QIODevice::ReadOnly);
  return file.readAll().split(' ')[1].toDouble() *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

Usage
ReadUsage(Cluster& aCluster, int aInstances)
{
  Usage usage;
  for (int it = 0; it < aInstances; ++it) {
    usage.mCpuSeconds += CpuSeconds(aCluster.Instance(it).Pid());
    usage.mMemoryMb += MemoryMb(aCluster.Instance(it).Pid());
    for (const auto& line : aCluster.Http(it, "/metrics").mBody.split('\n')) {
      const auto value = line.split(' ').last().toDouble();
      if (line.startsWith("papayaline_peer_bytes_total")) {
        usage.mPeerBytes += value;
      } else if (line.startsWith("papayaline_status_requests_total")) {
        usage.mStatusRequests += value;
      }
    }
  }
  const auto counts = aCluster.PlatformCounts();
  usage.mPlatformCalls = counts["get"].toDouble() + counts["put"].toDouble() +
                         counts["instances"].toDouble() +
                         counts["watch"].toDouble();
  return usage;
}

bool
MeasureFleet(const LoadOptions& aOptions, int aInstances, int aGroups)
{
  ClusterOptions clusterOptions;
  clusterOptions.mInstances = aInstances;
  clusterOptions.mConnections = 3 * aInstances + 10;
  clusterOptions.mGroups.clear();
  for (int it = 0; it < aGroups; ++it) {
    clusterOptions.mGroups.push_back(it == 0 ? "bookings"
                                             : "g" + std::to_string(it));
  }
  Cluster cluster(clusterOptions);
  if (!cluster.Start()) {
    std::printf("%d instances, %d groups: not ready\n", aInstances, aGroups);
    return false;
  }
  QThread::msleep(3000);
  const auto before = ReadUsage(cluster, aInstances);
  QThread::msleep(static_cast<unsigned long>(aOptions.mSeconds) * 1000);
  const auto after = ReadUsage(cluster, aInstances);
  const double perInstance = 1.0 / (aInstances * aOptions.mSeconds);
  const double cpu =
    100 * (after.mCpuSeconds - before.mCpuSeconds) * perInstance;
  const double bytes = (after.mPeerBytes - before.mPeerBytes) * perInstance;
  const double requests =
    (after.mStatusRequests - before.mStatusRequests) * perInstance;
  const double calls =
    (after.mPlatformCalls - before.mPlatformCalls) / aOptions.mSeconds;
  std::printf("%9d %7d %9.2f %9.1f %11.0f %11.1f %14.2f\n",
              aInstances,
              aGroups,
              cpu,
              after.mMemoryMb / aInstances,
              bytes,
              requests,
              calls);
  std::fflush(stdout);
  (*aOptions.mReport)[QString("%1x%2").arg(aInstances).arg(aGroups)] =
    QJsonObject{ { "cpuPercent", cpu },
                 { "memoryMb", after.mMemoryMb / aInstances },
                 { "peerBytesPerSecond", bytes },
                 { "statusRequestsPerSecond", requests },
                 { "platformCallsPerSecond", calls } };
  return true;
}

}

int
MeasureControl(const LoadOptions& aOptions)
{
  std::printf("idle instances; per instance, platform calls for the fleet\n");
  std::printf("%9s %7s %9s %9s %11s %11s %14s\n",
              "instances",
              "groups",
              "% core",
              "MB",
              "peer B/s",
              "status/s",
              "platform/s");
  bool isDone = true;
  for (const int n : { 3, 9, 18, 36 }) {
    isDone = MeasureFleet(aOptions, n, 1) && isDone;
  }
  for (const int n : { 3, 9 }) {
    isDone = MeasureFleet(aOptions, 3, n) && isDone;
  }
  return isDone ? 0 : 1;
}

}
