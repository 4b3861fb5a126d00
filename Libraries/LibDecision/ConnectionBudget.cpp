#include "LibDecision/ConnectionBudget.h"

#include <algorithm>

namespace papayaline {

namespace {

/// Covers the pause between two statements of one caller.
constexpr auto kScarceIdleTimeout = std::chrono::milliseconds(40);
/// How long the databases of the deployments take to open a connection.
constexpr auto kOpeningTime = std::chrono::milliseconds(12);

/// How long an instance's only connection may idle while others have none: as
/// long as the database takes to open one for each instance. Passed on faster,
/// they would cost it more time than the statements that run on them.
std::chrono::milliseconds
TurnOfAll(const ConnectionLoad& aLoad)
{
  return std::max(kScarceIdleTimeout,
                  kOpeningTime * aLoad.mInstances / std::max(aLoad.mSlots, 1U));
}

}

ConnectionShare
DivideConnections(unsigned aLimit, unsigned aReserve, unsigned aInstances)
{
  const unsigned usable = aLimit > aReserve ? aLimit - aReserve : 1;
  const unsigned each = usable / std::max(aInstances, 1U);
  return { 1, std::max(each, 2U) - 1 };
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
  const bool hasOneEach = aLoad.mInstances > 0 && aLoad.mInstances <= usable;
  // Many want more at the same moment: what is spare must do for a quarter of
  // the instances, or they would use up the reserve together.
  const auto sharers = std::max(aLoad.mInstances / 4, 4U);
  const auto largest = std::max(aLoad.mLimit / 3, 1U);
  ConnectionPlan plan;
  plan.mAllowance = std::clamp(aLoad.mOwn + spare / sharers, 1U, largest);
  if (spare > 0) {
    return plan;
  }
  // Not before all are taken, since opening a connection has its price too.
  const bool isReserveUsed = aLoad.mTotal > usable;
  plan.mMinimum = hasOneEach && !isReserveUsed ? 1 : 0;
  plan.mIdleTimeout = aLoad.mOwn <= 1 ? TurnOfAll(aLoad) : kScarceIdleTimeout;
  return plan;
}

}
