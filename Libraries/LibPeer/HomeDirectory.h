#pragma once

#include "LibDecision/HomePlan.h"
#include "LibRelay/RelayRouter.h"

namespace papayaline {

/// Which instances are home to each group, as this instance sees the fleet.
/// Thread safety: one thread.
class HomeDirectory
{
public:
  HomeDirectory(InstanceInfo aSelf, RelayRouter& aRouter);

  /// The instances that live, this one included. While none are known every
  /// instance counts as home.
  void SetFleet(const std::vector<InstanceInfo>& aInstances);
  /// Plans the groups whose databases or limits have changed, and tells each
  /// group its placement.
  void Refresh();

  const InstanceInfo& Self() const { return mSelf; }
  /// Precondition: a configuration names the group.
  const HomePlan& PlanOf(const RelayGroup& aGroup);
  /// The failure domain of a group's primary by the directory; empty when it
  /// lists none.
  static std::string PrimaryDomain(const RelayGroup& aGroup);

private:
  /// What a plan was made from.
  struct Basis
  {
    uint64_t mFleet = 0;
    std::vector<std::string> mDomains;
    unsigned mMaxConnections = 0;

    bool operator==(const Basis&) const = default;
  };
  struct Planned
  {
    Basis mBasis;
    HomePlan mPlan;
  };

  Basis BasisOf(const RelayGroup& aGroup) const;

  InstanceInfo mSelf;
  RelayRouter& mRouter;
  std::vector<InstanceInfo> mInstances;
  /// Counts the changes of the fleet.
  uint64_t mFleet = 1;
  std::map<std::string, Planned> mPlans;
};

}
