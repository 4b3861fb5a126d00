#pragma once

#include "LibDecision/Instant.h"
#include "LibDecision/Placement.h"

#include <cstdint>
#include <map>
#include <vector>

namespace papayaline {

/// What an instance wrote of itself into the platform's store.
struct FleetEntry
{
  InstanceInfo mInstance;
  /// Changes with each announcement.
  int64_t mRevision = 0;

  bool operator==(const FleetEntry&) const = default;
};

struct FleetSettings
{
  /// Between two announcements of one instance.
  Duration mRefresh = std::chrono::seconds(20);
  /// At least this for each instance, so that a fleet of any size writes no
  /// more than five times a second. Who is gone shows in its connections long
  /// before.
  Duration mRefreshPerInstance = std::chrono::milliseconds(200);
  /// An instance whose entry stood unchanged for this many intervals is gone.
  int mMissedRefreshes = 3;
};

/// The instances that live, by what they announce. Which do is decided when a
/// list is taken and holds until the next: while the store is away nobody
/// counts as gone. No clocks of different machines are compared. Thread safety:
/// one thread.
class FleetView
{
public:
  explicit FleetView(FleetSettings aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// Takes the entries as listed at aNow; those not named are gone.
  void Observe(const std::vector<FleetEntry>& aEntries, Instant aNow);

  /// Empty while nothing is known. In the order of their names.
  const std::vector<InstanceInfo>& Live() const { return mLive; }
  /// How often an instance announces itself.
  Duration RefreshInterval() const;

private:
  struct Known
  {
    int64_t mRevision = 0;
    Instant mChangedAt;
  };

  FleetSettings mSettings;
  std::map<std::string, Known> mInstances;
  std::vector<InstanceInfo> mLive;
};

}
