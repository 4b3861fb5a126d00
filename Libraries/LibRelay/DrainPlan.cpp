#include "LibRelay/DrainPlan.h"

#include <algorithm>
#include <array>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

/// The load balancer checks readiness once a second and removes an instance
/// after two failed checks. Until then it sends new callers.
constexpr Duration kBalancerDrainTime = 2300ms;
/// Open transactions may end during the first half of the grace time.
constexpr int kTransactionGraceDivisor = 2;
/// Before the end of the grace time, for the exit of the process itself.
constexpr Duration kExitReserve = 500ms;
/// Before the exit, for the last answers to leave.
constexpr Duration kEndingTime = 200ms;
/// Before the ending, for statements in progress to be answered. Nearly all
/// take less.
constexpr Duration kAnswerTime = 1000ms;

}

DrainPhase
DrainPlan::PhaseAt(Duration aElapsed) const
{
  const auto half = mGracePeriod / kTransactionGraceDivisor;
  const auto over = std::max(mGracePeriod - kExitReserve, half);
  const auto ending = std::max(over - kEndingTime, half);
  const std::array starts = {
    std::pair(DrainPhase::Over, over),
    std::pair(DrainPhase::Ending, ending),
    std::pair(DrainPhase::Refusing, std::max(ending - kAnswerTime, half)),
    std::pair(DrainPhase::RollingBack, half),
    std::pair(DrainPhase::ClosingIdle, std::min(kBalancerDrainTime, half)),
  };
  const auto* it = std::ranges::find_if(
    starts, [&](const auto& aStart) { return aElapsed >= aStart.second; });
  return it != starts.end() ? it->first : DrainPhase::Announced;
}

}
