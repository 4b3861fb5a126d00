#pragma once

#include "LibConfiguration/ClientAccounts.h"
#include "LibConfiguration/Configuration.h"

#include <cstdint>
#include <memory>

namespace papayaline {

/// The guarantee for the reads of a route: which writes their results include.
enum class Freshness
{
  /// Every acknowledged write.
  Latest,
  /// Every write that was acknowledged more than mMaxAge ago.
  BoundedStaleness,
  /// As BoundedStaleness, and all writes of the same session.
  ReadYourWrites,
};

/// When a write is acknowledged to the caller.
enum class Acknowledgement
{
  /// As soon as a majority of the group has received it, so that the failure of
  /// one database loses no acknowledged write.
  Majority,
  /// As Majority, but in a group that is configured without synchronous
  /// replicas also when no replica receives the write, provided that it is
  /// proved that the primary was not replaced. Such a write is lost if the
  /// primary then fails permanently.
  Leader,
};

/// How statements for one database name are routed and limited.
struct RelayRoute
{
  /// The database name that callers connect to.
  std::string mDatabase;
  std::string mGroup;
  Freshness mFreshness = Freshness::Latest;
  Milliseconds mMaxAge{ 0 };
  /// The time limit of a single statement.
  Milliseconds mTimeout = std::chrono::seconds(1);
  /// The time within which an operation should be answered.
  Milliseconds mTargetLatency = std::chrono::milliseconds(200);
  /// The priority under load; lower ranks are served first.
  unsigned mRank = 0;
  /// Whether callers need no key. Statements of public routes run on behalf of
  /// no account.
  bool mIsPublic = false;

  auto operator<=>(const RelayRoute&) const = default;
};

/// The configuration of a group whose databases are listed in the directory.
struct RelayGroupConfiguration
{
  std::string mName;
  /// The maximum number of connections to each database, over all instances.
  unsigned mMaxConnections = 20;
  /// The number of replicas that must have received a commit before the
  /// database acknowledges it.
  unsigned mSyncReplicas = 0;

  auto operator<=>(const RelayGroupConfiguration&) const = default;
};

/// The operator's complete configuration for relayed statements.
struct RelayConfiguration
{
  int64_t mVersion = 0;
  std::vector<RelayRoute> mRoutes;
  std::vector<RelayGroupConfiguration> mGroups;
  /// A transaction that is idle for longer is rolled back.
  Milliseconds mTransactionIdle = std::chrono::seconds(3);
  /// Unset when the deployment has no client accounts; then every caller is
  /// served. Shared, because each statement refers to it.
  std::shared_ptr<const ClientAccounts> mAccounts;
  /// Why entries of the document were left out, with their place in it. Holds
  /// no keys.
  std::vector<std::string> mProblems;

  /// Returns null when no route has that database name.
  const RelayRoute* FindRoute(const std::string& aDatabase) const;

  bool operator==(const RelayConfiguration& aOther) const;
};

}
