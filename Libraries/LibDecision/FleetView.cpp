#include "LibDecision/FleetView.h"

#include <algorithm>
#include <set>

namespace papayaline {

void
FleetView::Observe(const std::vector<FleetEntry>& aEntries,
                   uint64_t aEra,
                   Instant aNow)
{
  // The interval grows with the number of entries, including entries of
  // instances that are gone.
  const auto expiry =
    mSettings.mMissedRefreshes *
    std::max<Duration>(mSettings.mRefreshInterval,
                       mSettings.mRefreshIntervalPerInstance * aEntries.size());
  std::set<std::string> listed;
  for (const auto& it : aEntries) {
    listed.insert(it.mInstance.mName);
    auto& known = mAnnouncements[it.mInstance.mName];
    if (known.mEntry != it && known.mEntry.mRevision.mEra <= aEra) {
      known = { it, aNow };
    }
  }
  std::erase_if(mAnnouncements, [&](const auto& it) {
    const auto& [entry, changedAt] = it.second;
    const bool mayBeLost = entry.mRevision.mEra != aEra;
    return !listed.contains(it.first) &&
           (!mayBeLost || aNow - changedAt >= expiry);
  });
  mLive.clear();
  for (const auto& [name, it] : mAnnouncements) {
    if (aNow - it.mChangedAt < expiry) {
      mLive.push_back(it.mEntry.mInstance);
    }
  }
}

Duration
FleetView::RefreshInterval() const
{
  return std::max<Duration>(mSettings.mRefreshInterval,
                            mSettings.mRefreshIntervalPerInstance *
                              mLive.size());
}

}
