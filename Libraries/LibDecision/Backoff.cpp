#include "LibDecision/Backoff.h"

#include <algorithm>

namespace papayaline {

Duration
AddJitter(Duration aDelay, Instant aNow)
{
  constexpr int kSteps = 64;
  const auto microseconds =
    std::chrono::duration_cast<std::chrono::microseconds>(
      aNow.time_since_epoch())
      .count();
  return aDelay / 2 + aDelay * (microseconds % kSteps) / kSteps / 2;
}

void
AdaptiveInterval::OnAnswered()
{
  mInterval = std::max(mInterval / 2, mSettings.mInterval);
}

void
AdaptiveInterval::OnRefused()
{
  mInterval = std::min(mInterval * 2, mSettings.mMaxInterval);
}

}
