#pragma once

#include "LibDecision/Instant.h"

#include <cmath>

namespace papayaline {

/// A rate of events per second that forgets exponentially. Over any set of
/// events, the rate is at most their number divided by the time constant.
/// Thread safety: one thread.
class DecayedRate
{
public:
  /// The time constant in seconds.
  static constexpr double kTimeConstant = 4;

  void Add(double aEvents, Instant aNow)
  {
    mSum = Decayed(aNow) + aEvents;
    mAt = aNow;
  }
  double PerSecond(Instant aNow) const { return Decayed(aNow) / kTimeConstant; }

private:
  double Decayed(Instant aNow) const
  {
    const std::chrono::duration<double> age = aNow - mAt;
    return mSum * std::exp(-age.count() / kTimeConstant);
  }

  double mSum = 0;
  Instant mAt;
};

}
