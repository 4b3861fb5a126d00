#pragma once

#include "LibDecision/Instant.h"
#include "LibDecision/Placement.h"
#include "LibDecision/StoreRevision.h"

#include <cstdint>
#include <map>
#include <vector>

namespace papayaline {

/// The entry that an instance announces itself with in the platform's store.
struct FleetEntry
{
  InstanceInfo mInstance;
  /// Changes with each announcement.
  StoreRevision mRevision;

  bool operator==(const FleetEntry&) const = default;
};

struct FleetSettings
{
  /// The interval between two announcements of one instance.
  Duration mRefreshInterval = std::chrono::seconds(20);
  /// The lower bound of the interval, per instance of the fleet. It limits a
  /// fleet of any size to five writes per second. A slow expiry does no harm,
  /// since broken connections reveal a failed instance much earlier.
  Duration mRefreshIntervalPerInstance = std::chrono::milliseconds(200);
  /// An instance whose entry is unchanged for this many intervals is considered
  /// gone.
  int mMissedRefreshes = 3;
};

/// Tracks the live instances by their announcements in the store. The live set
/// only changes when a list of entries arrives, so that no instance expires
/// while the store is unavailable. Clocks of different machines are not
/// compared. Thread safety: one thread.
class FleetView
{
public:
  explicit FleetView(FleetSettings aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// Handles the complete list of entries, read at aNow. Instances that are not
  /// listed are gone, but for those whose entries belong to another era than
  /// the list: a restored store may have lost them, and they expire unless they
  /// announce themselves again.
  void Observe(const std::vector<FleetEntry>& aEntries,
               uint64_t aEra,
               Instant aNow);

  /// The live instances, sorted by name; empty before the first list.
  const std::vector<InstanceInfo>& LiveInstances() const { return mLive; }
  /// The interval at which an instance must announce itself.
  Duration RefreshInterval() const;

private:
  struct Announcement
  {
    FleetEntry mEntry;
    Instant mChangedAt;
  };

  FleetSettings mSettings;
  std::map<std::string, Announcement> mAnnouncements;
  std::vector<InstanceInfo> mLive;
};

}
