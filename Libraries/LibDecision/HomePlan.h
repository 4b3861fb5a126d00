#pragma once

#include "LibDecision/Placement.h"

#include <optional>
#include <span>

namespace papayaline {

struct HomeRules
{
  /// Homes of a group whose databases stand in fewer failure domains.
  size_t mMinHomes = 3;
  /// Instances of each failure domain that are tried in turn.
  size_t mRanks = 3;
};

/// Which instances hold the connections to one group's databases. The others
/// forward statements to them.
struct HomePlan
{
  /// Instances to forward to, the homes first.
  std::vector<InstanceInfo> mRanked;
  /// How many of them are homes.
  size_t mHomes = 0;
  /// Each instance has connections of its own.
  bool mAreAllHome = true;

  bool IsHome(const std::string& aInstance) const;

  bool operator==(const HomePlan&) const = default;
};

/// Plans the homes of a group whose databases stand in aDomains and take
/// aMaxConnections each. Where there is a connection for each instance all are
/// home. Otherwise one in each of the domains is, by rendezvous hashing: a
/// statement that runs at the database of its home's domain crosses domains at
/// most once. Leaving instances are passed over. Pure; any thread.
HomePlan
PlanHomes(const std::string& aGroup,
          const std::vector<InstanceInfo>& aInstances,
          const std::vector<std::string>& aDomains,
          unsigned aMaxConnections,
          const HomeRules& aRules = {});

/// What bears on the choice of an instance to run a statement.
struct HomeCandidate
{
  std::string mName;
  std::string mFailureDomain;
  bool mIsHome = false;
  /// This instance itself.
  bool mIsSelf = false;
  /// Reachable as far as is known, and not tried for this statement.
  bool mIsUsable = true;
};

struct HomeNeed
{
  std::string mGroup;
  std::string mInstance;
  std::string mFailureDomain;
  /// Where the group's primary stands; empty when it is not known.
  std::string mPrimaryDomain;
  /// Writes, and reads that must show all of them. The homes that run them
  /// need evidence of the primary, which one home can share between all.
  bool mNeedsPrimary = false;
};

/// Chooses where a statement runs: at a home rather than elsewhere, then by the
/// failure domain, then spread over the rest by a hash. Nothing when no
/// candidate is usable. Pure; any thread.
std::optional<size_t>
ChooseHome(const HomeNeed& aNeed, std::span<const HomeCandidate> aCandidates);

}
