#pragma once

#include "LibDecision/Placement.h"

namespace papayaline {

struct WatchRules
{
  /// Fleets up to this size follow the store each by itself.
  size_t mDirectUpTo = 16;
  /// Instances of each failure domain that follow the store for the others, so
  /// that one that dies or is turned away by the store delays nobody.
  size_t mWatchersPerDomain = 2;
  /// Further instances that a watcher asks when the store turns it away: where
  /// all watchers are, the others follow the store themselves.
  size_t mFurtherSources = 2;
};

/// From whom an instance learns of changes in the store.
struct WatchPlan
{
  /// It follows the store itself, and asks others only when the store turns it
  /// away.
  bool mIsWatcher = true;
  /// Whom to ask, in order.
  std::vector<InstanceInfo> mSources;

  bool operator==(const WatchPlan&) const = default;
};

/// Plans for one instance: it asks the watchers of its own failure domain, then
/// one of each other domain. Pure; any thread.
WatchPlan
PlanWatches(const InstanceInfo& aSelf,
            const std::vector<InstanceInfo>& aInstances,
            const WatchRules& aRules = {});

}
