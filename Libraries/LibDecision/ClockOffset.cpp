#include "LibDecision/ClockOffset.h"

namespace papayaline {

namespace {

/// The bound decreases by a part of the time since it was observed, since the
/// rates of two clocks differ. Operating systems slew a clock by half as much
/// at most.
constexpr int kDriftPart = 1000;

}

void
ClockOffset::Observe(Instant aPeerTime, Instant aReceivedAt)
{
  const auto bound =
    aPeerTime.time_since_epoch() - aReceivedAt.time_since_epoch();
  if (!mBound || bound >= BoundAt(aReceivedAt)) {
    mBound = bound;
    mObservedAt = aReceivedAt;
  }
}

std::optional<Instant>
ClockOffset::ToPeerTime(Instant aTime, Instant aNow) const
{
  return mBound ? std::optional(aTime + BoundAt(aNow)) : std::nullopt;
}

Duration
ClockOffset::BoundAt(Instant aNow) const
{
  return *mBound - (aNow - mObservedAt) / kDriftPart;
}

}
