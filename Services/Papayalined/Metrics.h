#pragma once

#include <QByteArray>
#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>

namespace papayaline {

/// Counters of the request path.
enum class Counter
{
  ReadsAtReplica,
  AgedReadsAtReplica,
  ReadsAtPrimary,
  AgedReadsAtPrimary,
  ReadRetries,
  WritesDone,
  WritesNotRun,
  WritesUnknown,
  WriteResolutions,
  Refused,
  CallerConnections,
  StatusRequests,
  PeerMessages,
  PeerBytes,
  Count,
};

/// Counters and latency histograms of this process.
/// Thread safety: all methods may be called from any thread.
class Metrics
{
public:
  static Metrics& Instance();

  void Add(Counter aCounter, int64_t aDelta = 1);
  int64_t Value(Counter aCounter) const;

  /// Records the latency of a request, from arrival to response, in the
  /// histogram of its class.
  void ObserveLatency(const std::string& aClass, double aSeconds);

  /// All metrics in the Prometheus text format.
  QByteArray ToText() const;
  /// The latency histograms only, in the Prometheus text format.
  QByteArray LatenciesToText() const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<
    boost::histogram::accumulators::thread_safe<uint64_t>>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>, Storage>;

  std::array<std::atomic<int64_t>, static_cast<size_t>(Counter::Count)>
    mCounters{};
  mutable std::mutex mMutex;
  std::map<std::string, Histogram> mLatencies;
};

}
