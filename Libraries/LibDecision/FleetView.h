#pragma once

#include "LibDecision/Instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayaline {

/// What an instance wrote of itself into the platform's store.
struct FleetEntry
{
  std::string mInstance;
  /// Changes with each announcement.
  int64_t mRevision = 0;

  bool operator==(const FleetEntry&) const = default;
};

struct FleetSettings
{
  /// Between two announcements of one instance. A fleet of up to a thousand
  /// writes 50 times a second with it, an eighth of what the platform's
  /// smallest store takes.
  Duration mRefresh = std::chrono::seconds(20);
  /// Added for each instance, so that larger fleets write no more often.
  Duration mRefreshPerInstance = std::chrono::milliseconds(20);
  /// An instance whose entry stood unchanged for this many intervals is gone.
  int mMissedRefreshes = 3;
};

/// How many instances there are, by what they announce. No clocks of different
/// machines are compared. Thread safety: one thread.
class FleetView
{
public:
  explicit FleetView(FleetSettings aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// Takes the entries as listed at aNow; those not named are gone.
  void Observe(const std::vector<FleetEntry>& aEntries, Instant aNow);

  /// 0 while nothing is known.
  unsigned Count(Instant aNow) const;
  /// How often an instance announces itself.
  Duration RefreshInterval(Instant aNow) const;

private:
  struct Known
  {
    int64_t mRevision = 0;
    Instant mChangedAt;
  };

  FleetSettings mSettings;
  std::map<std::string, Known> mInstances;
};

}
