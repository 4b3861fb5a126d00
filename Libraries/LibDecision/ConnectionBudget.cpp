#include "LibDecision/ConnectionBudget.h"

#include <algorithm>

namespace papayaline {

namespace {

/// Longer than the pause between two statements of one caller.
constexpr auto kScarceIdleTimeout = std::chrono::milliseconds(40);
/// How long the deployed databases take to open a connection.
constexpr auto kConnectTime = std::chrono::milliseconds(12);

/// How long a connection of a client account may be idle, by how scarce
/// connections are: longer than the pause between two statements of an account
/// that sends a few a minute; than the pause of an average account; and long
/// enough to use it again while the databases still hold the connections of
/// terminated processes, which they do for 3 s.
constexpr auto kAccountIdleTimeout = std::chrono::seconds(60);
constexpr auto kScarceAccountIdleTimeout = std::chrono::seconds(10);
constexpr auto kReserveAccountIdleTimeout = std::chrono::seconds(1);

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

/// Adapts a plan, made without regard to accounts, to client accounts.
ConnectionPlan
PlanForAccounts(const ConnectionLoad& aLoad, ConnectionPlan aPlan)
{
  const auto usable = UsableConnections(aLoad.mLimit);
  const auto spare = usable > aLoad.mTotal ? usable - aLoad.mTotal : 0U;
  const auto excess = aLoad.mTotal > usable ? aLoad.mTotal - usable : 0U;
  const auto instances = std::max(aLoad.mInstances, 1U);
  const auto equalShare = std::max(usable / instances, 1U);
  const bool isScarce = aLoad.mInstances > 0 && instances <= usable &&
                        aLoad.mAccounts * instances > usable;
  const auto third = std::max(aLoad.mLimit / 3, 1U);
  const auto largest = isScarce ? std::max(usable * 3 / 4, third) : third;
  auto allowance =
    std::min(aLoad.mOwn + spare / std::max(instances / 4, 4U), largest);
  if (aLoad.mOwn < equalShare / 2 && aLoad.mTotal + instances < aLoad.mLimit) {
    allowance = std::max(allowance, aLoad.mOwn + 1);
  }
  aPlan.mAllowance = std::max(allowance, 1U);
  aPlan.mMayGrow = aPlan.mAllowance < largest;
  aPlan.mMinimum = instances <= usable ? 1 : 0;
  const auto remaining = aLoad.mOwn > excess ? aLoad.mOwn - excess : 0U;
  aPlan.mKept = spare > 0     ? 0
                : excess == 0 ? equalShare
                              : std::max(remaining, equalShare);
  aPlan.mIdleTimeout = spare > 0     ? kAccountIdleTimeout
                       : excess == 0 ? kScarceAccountIdleTimeout
                                     : kReserveAccountIdleTimeout;
  return aPlan;
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
  if (aLoad.mAccounts > 0) {
    return PlanForAccounts(aLoad, plan);
  }
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
