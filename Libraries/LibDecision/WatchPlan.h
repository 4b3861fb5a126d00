#pragma once

#include "LibDecision/Placement.h"

namespace papayaline {

struct WatchPlanSettings
{
  /// In fleets up to this size every instance watches the store itself.
  size_t mMaxDirectFleetSize = 16;
  /// Instances per failure domain that watch the store for the others. With
  /// two, a watcher that fails or is refused by the store delays no other
  /// instance.
  size_t mWatchersPerDomain = 2;
  /// Further sources of a watcher for the case that the store refuses it. They
  /// are not watchers: if the store refuses all watchers, the other instances
  /// watch the store themselves.
  size_t mFallbackSources = 2;
};

/// The sources from which an instance receives changes of the store.
struct WatchPlan
{
  /// Whether the instance watches the store itself and uses the sources only
  /// while the store refuses it.
  bool mIsWatcher = true;
  /// The instances to use as sources, in order of preference.
  std::vector<InstanceInfo> mSources;

  bool operator==(const WatchPlan&) const = default;
};

/// Plans the sources of one instance: the watchers of its own failure domain,
/// then one watcher of each other domain. Pure; any thread.
WatchPlan
PlanWatches(const InstanceInfo& aSelf,
            const std::vector<InstanceInfo>& aInstances,
            const WatchPlanSettings& aSettings = {});

}
