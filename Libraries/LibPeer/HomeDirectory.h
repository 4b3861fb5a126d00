#pragma once

#include "LibDecision/HomePlan.h"
#include "LibRelay/RelayRouter.h"

namespace papayaline {

/// Plans which instances are homes of each group, from this instance's view of
/// the fleet. Homes keep connections to the group's databases, and other
/// instances forward statements to them. Thread safety: one thread.
class HomeDirectory
{
public:
  HomeDirectory(InstanceInfo aSelf,
                RelayRouter& aRouter,
                Topology aTopology = {});

  /// Sets the live instances, including this one. Every instance counts as home
  /// while none are known.
  void SetFleet(const std::vector<InstanceInfo>& aInstances);
  /// Recomputes outdated plans and sets the placement of each group.
  void Refresh();

  const InstanceInfo& Self() const { return mSelf; }
  const Topology& GetTopology() const { return mTopology; }
  /// Precondition: a configuration names the group.
  const HomePlan& PlanOf(const RelayGroup& aGroup);
  /// The distance to an instance that statements of the group are forwarded to;
  /// the same region when the plan does not name it any more.
  Distance DistanceTo(const RelayGroup& aGroup, const std::string& aInstance);
  /// The failure domain of the primary that the directory lists; empty when it
  /// lists none.
  static std::string PrimaryDomain(const RelayGroup& aGroup);
  /// Whether the directory lists a replica in the primary's failure domain.
  static bool HasReplicaBesidePrimary(const RelayGroup& aGroup);

private:
  /// The inputs that a plan was computed from.
  struct PlanInputs
  {
    uint64_t mFleetVersion = 0;
    std::vector<std::string> mDomains;
    unsigned mMaxConnections = 0;

    bool operator==(const PlanInputs&) const = default;
  };
  struct CachedPlan
  {
    PlanInputs mInputs;
    HomePlan mPlan;
  };

  PlanInputs InputsOf(const RelayGroup& aGroup) const;

  InstanceInfo mSelf;
  RelayRouter& mRouter;
  Topology mTopology;
  std::vector<InstanceInfo> mInstances;
  /// Incremented when the fleet changes.
  uint64_t mFleetVersion = 1;
  std::map<std::string, CachedPlan> mCachedPlans;
};

}
