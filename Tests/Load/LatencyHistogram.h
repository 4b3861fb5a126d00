#pragma once

#include <boost/histogram.hpp>

namespace papayaline {

/// A histogram of latencies with logarithmic bins. Use from one thread at a
/// time.
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Add(double aSeconds) { mHistogram(aSeconds); }
  void Merge(const LatencyHistogram& aOther)
  {
    mHistogram += aOther.mHistogram;
  }
  uint64_t Count() const;
  /// The upper edge of the bin that holds the quantile, in milliseconds.
  double QuantileMs(double aQuantile) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> mHistogram;
};

}
