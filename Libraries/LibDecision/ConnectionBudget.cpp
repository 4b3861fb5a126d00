#include "LibDecision/ConnectionBudget.h"

#include <algorithm>

namespace papayaline {

ConnectionShare
DivideConnections(unsigned aLimit, unsigned aReserve, unsigned aInstances)
{
  const unsigned usable = aLimit > aReserve ? aLimit - aReserve : 1;
  const unsigned each = usable / std::max(aInstances, 1U);
  return { 1, std::max(each, 2U) - 1 };
}

ConnectionPlan
PlanConnections(unsigned aLimit, unsigned aTotal, unsigned aOwn)
{
  // One in eight connections stays free for instances that start.
  const auto reserve = std::max(aLimit / 8, 1U);
  const auto usable = aLimit > reserve ? aLimit - reserve : 1U;
  const auto spare = usable > aTotal ? usable - aTotal : 0U;
  ConnectionPlan plan;
  plan.mAllowance =
    std::clamp(aOwn + (spare + 3) / 4, 1U, std::max(aLimit / 3, 1U));
  // Down to the reserve: every idle one keeps another instance waiting. The
  // span still covers the pause between two statements of one caller. Not
  // before, since opening a connection takes a slot of the database for a
  // while.
  if (aTotal >= usable) {
    plan.mMinimum = 0;
    plan.mIdleTimeout = std::chrono::milliseconds(40);
  }
  return plan;
}

}
