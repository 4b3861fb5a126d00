#include "LibDecision/FleetView.h"

#include <algorithm>

namespace papayaline {

void
FleetView::Observe(const std::vector<FleetEntry>& aEntries, Instant aNow)
{
  // The interval grows with the entries, also with those that are gone.
  const auto expiry =
    mSettings.mMissedRefreshes *
    std::max<Duration>(mSettings.mRefresh,
                       mSettings.mRefreshPerInstance * aEntries.size());
  std::map<std::string, Known> instances;
  mLive.clear();
  for (const auto& it : aEntries) {
    const auto known = mInstances.find(it.mInstance.mName);
    const bool isUnchanged =
      known != mInstances.end() && known->second.mRevision == it.mRevision;
    const auto changedAt = isUnchanged ? known->second.mChangedAt : aNow;
    instances[it.mInstance.mName] = { it.mRevision, changedAt };
    if (aNow - changedAt < expiry) {
      mLive.push_back(it.mInstance);
    }
  }
  std::ranges::sort(mLive, {}, &InstanceInfo::mName);
  mInstances = std::move(instances);
}

Duration
FleetView::RefreshInterval() const
{
  return std::max<Duration>(mSettings.mRefresh,
                            mSettings.mRefreshPerInstance * mLive.size());
}

}
