#include "LibPeer/HomeDirectory.h"

#include <algorithm>
#include <set>

namespace papayaline {

HomeDirectory::HomeDirectory(InstanceInfo aSelf, RelayRouter& aRouter)
  : mSelf(std::move(aSelf))
  , mRouter(aRouter)
{
}

void
HomeDirectory::SetFleet(const std::vector<InstanceInfo>& aInstances)
{
  if (aInstances != mInstances) {
    mInstances = aInstances;
    ++mFleet;
  }
}

HomeDirectory::Basis
HomeDirectory::BasisOf(const RelayGroup& aGroup) const
{
  std::set<std::string> domains;
  for (const auto& it : aGroup.View().Members()) {
    domains.insert(it.mFailureDomain);
  }
  return { mFleet,
           { domains.begin(), domains.end() },
           aGroup.MaxConnections() };
}

const HomePlan&
HomeDirectory::PlanOf(const RelayGroup& aGroup)
{
  auto& planned = mPlans[aGroup.Name()];
  const auto basis = BasisOf(aGroup);
  if (planned.mBasis != basis) {
    planned.mBasis = basis;
    planned.mPlan = PlanHomes(
      aGroup.Name(), mInstances, basis.mDomains, basis.mMaxConnections);
  }
  return planned.mPlan;
}

void
HomeDirectory::Refresh()
{
  mRouter.ForEachGroup([this](RelayGroup& aGroup) {
    const auto& plan = PlanOf(aGroup);
    const bool isHome = plan.IsHome(mSelf.mName);
    // An instance that runs statements without being home shares the
    // connections with all that may have to do the same.
    const auto sharers =
      isHome && !plan.mAreAllHome ? plan.mHomes : mInstances.size();
    aGroup.SetPlacement({ isHome, static_cast<unsigned>(sharers) });
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

}
