#include "LatencyHistogram.h"

namespace papayaline {

namespace {

constexpr unsigned kBins = 400;
constexpr double kShortest = 1e-5;
constexpr double kLongest = 100;

}

LatencyHistogram::LatencyHistogram()
  : mHistogram(
      boost::histogram::make_histogram(Axis(kBins, kShortest, kLongest)))
{
}

uint64_t
LatencyHistogram::Count() const
{
  double n = 0;
  for (int it = -1; it <= static_cast<int>(kBins); ++it) {
    n += mHistogram.at(it);
  }
  return static_cast<uint64_t>(n);
}

double
LatencyHistogram::QuantileMs(double aQuantile) const
{
  const double target = aQuantile * static_cast<double>(Count());
  double n = mHistogram.at(-1);
  for (int it = 0; it < static_cast<int>(kBins); ++it) {
    n += mHistogram.at(it);
    if (n >= target) {
      return mHistogram.axis().bin(it).upper() * 1000;
    }
  }
  return kLongest * 1000;
}

}
