#pragma once

#include "LibDecision/Instant.h"

#include <optional>

namespace papayaline {

/// How far the clock of another instance is ahead of this instance's, at least.
/// Messages take time, so the other clock has advanced since it was read: each
/// message gives a lower bound, and the fastest one the best. Thread safety:
/// one thread.
class ClockOffset
{
public:
  /// Records that a message that was received at aReceivedAt carried the other
  /// instance's time.
  void Observe(Instant aPeerTime, Instant aReceivedAt);

  /// The other clock's time, at the latest, at which this instance's clock
  /// showed aTime. Unset before the first message.
  std::optional<Instant> ToPeerTime(Instant aTime, Instant aNow) const;

private:
  Duration BoundAt(Instant aNow) const;

  std::optional<Duration> mBound;
  Instant mObservedAt;
};

}
