#pragma once

#include "LibDecision/Instant.h"

namespace papayaline {

/// Returns a delay between half of aDelay and all of it, with jitter derived
/// from the lowest digits of aNow. Instances that fail at the same time then
/// don't retry at the same time. Pure; any thread.
Duration
AddJitter(Duration aDelay, Instant aNow);

struct AdaptiveIntervalSettings
{
  /// The interval between two requests while none is refused.
  Duration mInterval = std::chrono::milliseconds(4);
  /// Less than the longest time that a caller waits, so that at least two
  /// requests are sent within that time.
  Duration mMaxInterval = std::chrono::milliseconds(128);
};

/// The interval of status requests to a database while callers wait for it. A
/// refusal for lack of a slot doubles the interval and an answer halves it.
/// With a fixed interval, many instances would keep an overloaded database busy
/// with refusing their requests. Thread safety: one thread.
class AdaptiveInterval
{
public:
  explicit AdaptiveInterval(AdaptiveIntervalSettings aSettings = {})
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
  AdaptiveIntervalSettings mSettings;
  Duration mInterval;
};

}
