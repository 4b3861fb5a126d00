#pragma once

#include "LibDecision/Instant.h"

namespace papayaline {

/// A delay between half of aDelay and all of it, taken from the clock's lowest
/// digits, so that instances that failed together do not come back together.
/// Pure; any thread.
Duration
SpreadDelay(Duration aDelay, Instant aNow);

struct PaceSettings
{
  /// Between two requests while all are answered.
  Duration mInterval = std::chrono::milliseconds(4);
  /// Below the time that a caller waits at most, so that it is tried twice.
  Duration mMaxInterval = std::chrono::milliseconds(128);
};

/// How often a database is asked for its status while somebody waits. Refusals
/// for lack of a slot double the interval, answers halve it: many instances
/// that ask at a fixed pace would keep an overloaded database busy with
/// refusing them. Thread safety: one thread.
class Pace
{
public:
  explicit Pace(PaceSettings aSettings = {})
    : mSettings(aSettings)
    , mInterval(aSettings.mInterval)
  {
  }

  Duration Interval() const { return mInterval; }
  void OnAnswered();
  void OnRefused();
  /// Whether the last requests were refused for lack of a slot.
  bool IsCongested() const { return mInterval > mSettings.mInterval; }

private:
  PaceSettings mSettings;
  Duration mInterval;
};

}
