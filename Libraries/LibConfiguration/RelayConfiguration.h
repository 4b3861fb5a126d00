#pragma once

#include "LibConfiguration/Configuration.h"

#include <cstdint>

namespace papayaline {

/// What the reads of a route may show.
enum class Freshness
{
  /// Every acknowledged write.
  Latest,
  /// Every write acknowledged longer ago than the allowed age.
  BoundedStaleness,
  /// As BoundedStaleness, and every write of the same session.
  ReadYourWrites,
};

/// When a write counts as done.
enum class Acknowledgement
{
  /// Once a majority of the group holds it: no failure of one database loses
  /// it.
  Majority,
  /// Where the configuration asks for no replica, also while no replica
  /// receives, as long as the primary is proved to lead: it is lost if the
  /// primary then fails for good.
  Leader,
};

/// How statements for one database name are served.
struct RelayRoute
{
  /// What callers name when they connect.
  std::string mDatabase;
  std::string mGroup;
  Freshness mFreshness = Freshness::Latest;
  Milliseconds mMaxAge{ 0 };
  /// How long a single statement may take.
  Milliseconds mTimeout = std::chrono::seconds(1);
  /// How soon an operation should be answered.
  Milliseconds mTargetLatency = std::chrono::milliseconds(200);
  /// Lower ranks go first under load.
  unsigned mRank = 0;

  auto operator<=>(const RelayRoute&) const = default;
};

/// A group whose databases are found through the directory.
struct RelayGroupConfiguration
{
  std::string mName;
  /// Connections that each database takes from all instances together.
  unsigned mMaxConnections = 20;
  /// Replicas that must hold a commit before the database acknowledges it.
  unsigned mSyncReplicas = 0;

  auto operator<=>(const RelayGroupConfiguration&) const = default;
};

/// The operator's configuration for relayed statements, as a whole.
struct RelayConfiguration
{
  int64_t mVersion = 0;
  std::vector<RelayRoute> mRoutes;
  std::vector<RelayGroupConfiguration> mGroups;
  /// A transaction that idles longer is rolled back.
  Milliseconds mTransactionIdle = std::chrono::seconds(3);

  const RelayRoute* FindRoute(const std::string& aDatabase) const;

  auto operator<=>(const RelayConfiguration&) const = default;
};

}
