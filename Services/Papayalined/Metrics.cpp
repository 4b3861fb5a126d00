#include "Metrics.h"

namespace papayaline {

namespace {

constexpr std::array kCounterNames = {
  "papayaline_reads_replica_total",     "papayaline_reads_aged_replica_total",
  "papayaline_reads_primary_total",     "papayaline_reads_aged_primary_total",
  "papayaline_read_retries_total",      "papayaline_writes_done_total",
  "papayaline_writes_not_run_total",    "papayaline_writes_unknown_total",
  "papayaline_write_resolutions_total", "papayaline_refused_total",
  "papayaline_caller_connections",      "papayaline_status_requests_total",
  "papayaline_peer_messages_total",     "papayaline_peer_bytes_total",
};
static_assert(kCounterNames.size() == static_cast<size_t>(Counter::Count));

constexpr int kBucketCount = 50;
constexpr double kMinLatencySeconds = 0.0001;
constexpr double kMaxLatencySeconds = 100;

QByteArray
FormatNumber(double aValue)
{
  return QByteArray::number(aValue, 'g', 6);
}

}

Metrics&
Metrics::Instance()
{
  static Metrics sMetrics;
  return sMetrics;
}

void
Metrics::Add(Counter aCounter, int64_t aDelta)
{
  mCounters[static_cast<size_t>(aCounter)].fetch_add(aDelta,
                                                     std::memory_order_relaxed);
}

int64_t
Metrics::Value(Counter aCounter) const
{
  return mCounters[static_cast<size_t>(aCounter)].load(
    std::memory_order_relaxed);
}

void
Metrics::ObserveLatency(const std::string& aClass, double aSeconds)
{
  Histogram* histogram = nullptr;
  {
    std::lock_guard lock(mMutex);
    auto it = mLatencies.find(aClass);
    if (it == mLatencies.end()) {
      const Axis axis(kBucketCount, kMinLatencySeconds, kMaxLatencySeconds);
      it = mLatencies
             .emplace(aClass,
                      boost::histogram::make_histogram_with(Storage(), axis))
             .first;
    }
    histogram = &it->second;
  }
  (*histogram)(aSeconds);
}

QByteArray
Metrics::ToText() const
{
  QByteArray text;
  for (size_t it = 0; it < kCounterNames.size(); ++it) {
    text += QByteArray(kCounterNames[it]) + " " +
            QByteArray::number(qint64(mCounters[it].load())) + "\n";
  }
  return text + LatenciesToText();
}

QByteArray
Metrics::LatenciesToText() const
{
  QByteArray text;
  std::lock_guard lock(mMutex);
  for (const auto& [requestClass, histogram] : mLatencies) {
    const auto label = "papayaline_latency_seconds_bucket{class=\"" +
                       QByteArray::fromStdString(requestClass) + "\",le=\"";
    uint64_t cumulativeCount = histogram.at(-1).load();
    for (int it = 0; it < kBucketCount; ++it) {
      cumulativeCount += histogram.at(it).load();
      text += label + FormatNumber(histogram.axis().bin(it).upper()) + "\"} " +
              QByteArray::number(quint64(cumulativeCount)) + "\n";
    }
    cumulativeCount += histogram.at(kBucketCount).load();
    text +=
      label + "+Inf\"} " + QByteArray::number(quint64(cumulativeCount)) + "\n";
  }
  return text;
}

}
