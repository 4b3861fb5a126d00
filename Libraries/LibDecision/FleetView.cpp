#include "LibDecision/FleetView.h"

#include <algorithm>

namespace papayaline {

void
FleetView::Observe(const std::vector<FleetEntry>& aEntries, Instant aNow)
{
  // The interval grows with the number of entries, including entries of
  // instances that are gone.
  const auto expiry =
    mSettings.mMissedRefreshes *
    std::max<Duration>(mSettings.mRefreshInterval,
                       mSettings.mRefreshIntervalPerInstance * aEntries.size());
  std::map<std::string, Announcement> instances;
  mLive.clear();
  for (const auto& it : aEntries) {
    const auto known = mAnnouncements.find(it.mInstance.mName);
    const bool isUnchanged =
      known != mAnnouncements.end() && known->second.mRevision == it.mRevision;
    const auto changedAt = isUnchanged ? known->second.mChangedAt : aNow;
    instances[it.mInstance.mName] = { it.mRevision, changedAt };
    if (aNow - changedAt < expiry) {
      mLive.push_back(it.mInstance);
    }
  }
  std::ranges::sort(mLive, {}, &InstanceInfo::mName);
  mAnnouncements = std::move(instances);
}

Duration
FleetView::RefreshInterval() const
{
  return std::max<Duration>(mSettings.mRefreshInterval,
                            mSettings.mRefreshIntervalPerInstance *
                              mLive.size());
}

}
