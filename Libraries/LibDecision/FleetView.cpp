#include "LibDecision/FleetView.h"

#include <algorithm>

namespace papayaline {

void
FleetView::Observe(const std::vector<FleetEntry>& aEntries, Instant aNow)
{
  std::map<std::string, Known> instances;
  for (const auto& it : aEntries) {
    const auto known = mInstances.find(it.mInstance);
    const bool isUnchanged =
      known != mInstances.end() && known->second.mRevision == it.mRevision;
    instances[it.mInstance] = { it.mRevision,
                                isUnchanged ? known->second.mChangedAt : aNow };
  }
  mInstances = std::move(instances);
}

unsigned
FleetView::Count(Instant aNow) const
{
  // The interval grows with the entries, also with those that are gone.
  const auto expiry =
    mSettings.mMissedRefreshes *
    std::max<Duration>(mSettings.mRefresh,
                       mSettings.mRefreshPerInstance * mInstances.size());
  return static_cast<unsigned>(
    std::ranges::count_if(mInstances, [&](const auto& it) {
      return aNow - it.second.mChangedAt < expiry;
    }));
}

Duration
FleetView::RefreshInterval(Instant aNow) const
{
  return std::max<Duration>(mSettings.mRefresh,
                            mSettings.mRefreshPerInstance * Count(aNow));
}

}
