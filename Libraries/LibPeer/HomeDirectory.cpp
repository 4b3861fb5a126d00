#include "LibPeer/HomeDirectory.h"

#include <algorithm>
#include <set>

namespace papayaline {

HomeDirectory::HomeDirectory(InstanceInfo aSelf,
                             RelayRouter& aRouter,
                             Topology aTopology)
  : mSelf(std::move(aSelf))
  , mRouter(aRouter)
  , mTopology(std::move(aTopology))
{
}

void
HomeDirectory::SetFleet(const std::vector<InstanceInfo>& aInstances)
{
  if (aInstances != mInstances) {
    mInstances = aInstances;
    ++mFleetVersion;
  }
}

HomeDirectory::PlanInputs
HomeDirectory::InputsOf(const RelayGroup& aGroup) const
{
  std::set<std::string> domains;
  for (const auto& it : aGroup.View().Members()) {
    domains.insert(it.mFailureDomain);
  }
  return { mFleetVersion,
           { domains.begin(), domains.end() },
           aGroup.MaxConnections() };
}

const HomePlan&
HomeDirectory::PlanOf(const RelayGroup& aGroup)
{
  auto& cached = mCachedPlans[aGroup.Name()];
  const auto inputs = InputsOf(aGroup);
  if (cached.mInputs != inputs) {
    cached.mInputs = inputs;
    cached.mPlan = PlanHomes(
      aGroup.Name(), mInstances, inputs.mDomains, inputs.mMaxConnections);
  }
  return cached.mPlan;
}

Distance
HomeDirectory::DistanceTo(const RelayGroup& aGroup,
                          const std::string& aInstance)
{
  const auto& ranked = PlanOf(aGroup).mRanked;
  const auto it = std::ranges::find(ranked, aInstance, &InstanceInfo::mName);
  return it != ranked.end()
           ? mTopology.Between(mSelf.mFailureDomain, it->mFailureDomain)
           : Distance::SameRegion;
}

void
HomeDirectory::Refresh()
{
  mRouter.ForEachGroup([this](RelayGroup& aGroup) {
    const auto& plan = PlanOf(aGroup);
    const bool isHome = plan.IsHome(mSelf.mName);
    // An instance that is not home runs statements when no home is usable. All
    // others may do the same, so its share is that of one instance of the
    // fleet.
    const auto sharingInstances =
      isHome && !plan.mAreAllHome ? plan.mHomes : mInstances.size();
    aGroup.SetPlacement({ isHome, static_cast<unsigned>(sharingInstances) });
  });
}

std::string
HomeDirectory::PrimaryDomain(const RelayGroup& aGroup)
{
  const auto& members = aGroup.View().Members();
  const auto it =
    std::ranges::find(members, Role::Primary, &GroupMember::mListedRole);
  return it != members.end() ? it->mFailureDomain : std::string();
}

bool
HomeDirectory::HasReplicaBesidePrimary(const RelayGroup& aGroup)
{
  return std::ranges::any_of(
    aGroup.View().Members(), [domain = PrimaryDomain(aGroup)](const auto& it) {
      return it.mListedRole == Role::Replica && it.mFailureDomain == domain;
    });
}

}
