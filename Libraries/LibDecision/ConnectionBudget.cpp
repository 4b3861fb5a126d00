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
PlanConnections(const ConnectionLoad& aUse)
{
  // One in eight connections stays free for instances that start.
  const auto reserve = std::max(aUse.mLimit / 8, 1U);
  const auto usable = aUse.mLimit > reserve ? aUse.mLimit - reserve : 1U;
  const auto spare = usable > aUse.mTotal ? usable - aUse.mTotal : 0U;
  const bool hasOneEach = aUse.mInstances > 0 && aUse.mInstances <= usable;
  // Instances that want more at the same moment share what is spare.
  const auto sharers = std::max(aUse.mInstances / 4, 4U);
  const auto largest = std::max(aUse.mLimit / 3, 1U);
  ConnectionPlan plan;
  plan.mAllowance =
    std::clamp(aUse.mOwn + (spare + sharers - 1) / sharers, 1U, largest);
  // The span still covers the pause between two statements of one caller. Not
  // before all are taken, since opening a connection has its price too.
  if (spare == 0) {
    plan.mMinimum = hasOneEach ? 1 : 0;
    plan.mIdleTimeout = std::chrono::milliseconds(40);
  }
  return plan;
}

}
