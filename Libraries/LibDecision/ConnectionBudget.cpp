#include "LibDecision/ConnectionBudget.h"

#include <algorithm>

namespace papayaline {

namespace {

/// Longer than the pause between two statements of one caller.
constexpr auto kScarceIdleTimeout = std::chrono::milliseconds(40);
/// How long the deployed databases take to open a connection.
constexpr auto kConnectTime = std::chrono::milliseconds(12);

/// How long the only connection of an instance may be idle while other
/// instances have none: as long as the database takes to open one for each
/// instance. With a shorter timeout, connecting would cost the database more
/// time than the statements that run on the connections.
std::chrono::milliseconds
SoleConnectionIdleTimeout(const ConnectionLoad& aLoad)
{
  return std::max(kScarceIdleTimeout,
                  kConnectTime * aLoad.mInstances / std::max(aLoad.mSlots, 1U));
}

}

ConnectionShare
DivideConnections(unsigned aLimit, unsigned aReserve, unsigned aInstances)
{
  const unsigned usable = aLimit > aReserve ? aLimit - aReserve : 1;
  const unsigned perInstance = usable / std::max(aInstances, 1U);
  return { 1, std::max(perInstance, 2U) - 1 };
}

unsigned
UsableConnections(unsigned aLimit)
{
  const auto reserve = std::max(aLimit / 8, 1U);
  return aLimit > reserve ? aLimit - reserve : 1U;
}

ConnectionPlan
PlanConnections(const ConnectionLoad& aLoad)
{
  const auto usable = UsableConnections(aLoad.mLimit);
  const auto spare = usable > aLoad.mTotal ? usable - aLoad.mTotal : 0U;
  const bool hasOnePerInstance =
    aLoad.mInstances > 0 && aLoad.mInstances <= usable;
  // Many instances need more connections at the same moment. The spare ones
  // must suffice for a quarter of the instances, or together they would use up
  // the reserve.
  const auto divisor = std::max(aLoad.mInstances / 4, 4U);
  const auto largest = std::max(aLoad.mLimit / 3, 1U);
  ConnectionPlan plan;
  plan.mAllowance = std::clamp(aLoad.mOwn + spare / divisor, 1U, largest);
  // Half of the slots are left to statements.
  plan.mMaxOpenings = std::max(aLoad.mSlots / 2, 1U);
  if (spare > 0) {
    return plan;
  }
  // Connections are kept until no spare ones are left, because opening one
  // again is expensive too.
  const bool isReserveUsed = aLoad.mTotal > usable;
  plan.mMinimum = hasOnePerInstance && !isReserveUsed ? 1 : 0;
  plan.mIdleTimeout =
    aLoad.mOwn <= 1 ? SoleConnectionIdleTimeout(aLoad) : kScarceIdleTimeout;
  return plan;
}

}
