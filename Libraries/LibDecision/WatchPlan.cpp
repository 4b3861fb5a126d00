#include "LibDecision/WatchPlan.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace papayaline {

namespace {

constexpr const char kRendezvousKey[] = "store watchers";

std::vector<InstanceInfo>
Slice(const std::vector<InstanceInfo>& aOrder, size_t aFrom, size_t aCount)
{
  const auto begin = std::min(aFrom, aOrder.size());
  const auto end = std::min(aFrom + aCount, aOrder.size());
  return { aOrder.begin() + static_cast<std::ptrdiff_t>(begin),
           aOrder.begin() + static_cast<std::ptrdiff_t>(end) };
}

}

WatchPlan
PlanWatches(const InstanceInfo& aSelf,
            const std::vector<InstanceInfo>& aInstances,
            const WatchPlanSettings& aSettings)
{
  if (aInstances.size() <= aSettings.mMaxDirectFleetSize) {
    return {};
  }
  std::map<std::string, std::vector<InstanceInfo>> domains;
  for (const auto& it : RendezvousOrder(kRendezvousKey, aInstances)) {
    if (!it.mIsLeaving) {
      domains[it.mFailureDomain].push_back(it);
    }
  }
  const auto& own = domains[aSelf.mFailureDomain];
  const auto watchers = Slice(own, 0, aSettings.mWatchersPerDomain);
  WatchPlan plan;
  plan.mIsWatcher =
    std::ranges::find(watchers, aSelf.mName, &InstanceInfo::mName) !=
    watchers.end();
  // Each instance orders the watchers by its own key, which distributes the
  // instances evenly among them.
  plan.mSources = RendezvousOrder(aSelf.mName, watchers);
  std::vector<InstanceInfo> others;
  for (const auto& [domain, instances] : domains) {
    if (domain != aSelf.mFailureDomain) {
      others.push_back(instances.front());
    }
  }
  std::ranges::copy(RendezvousOrder(aSelf.mName, others),
                    std::back_inserter(plan.mSources));
  if (plan.mIsWatcher) {
    std::ranges::copy(
      Slice(own, aSettings.mWatchersPerDomain, aSettings.mFallbackSources),
      std::back_inserter(plan.mSources));
    std::erase_if(plan.mSources,
                  [&](const auto& it) { return it.mName == aSelf.mName; });
  }
  return plan;
}

}
