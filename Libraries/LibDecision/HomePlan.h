#pragma once

#include "LibDecision/Placement.h"
#include "LibDecision/Topology.h"

#include <optional>
#include <span>

namespace papayaline {

struct HomePlanSettings
{
  /// The number of homes of a group whose databases are in fewer failure
  /// domains.
  size_t mMinHomes = 3;
  /// The number of instances per failure domain that are candidates.
  size_t mCandidatesPerDomain = 3;
};

/// The homes of a group: the instances that hold the connections to its
/// databases. The other instances forward statements to them.
struct HomePlan
{
  /// The instances to forward to, in order of preference; the homes come first.
  std::vector<InstanceInfo> mRanked;
  /// The number of homes at the start of mRanked.
  size_t mHomes = 0;
  /// Whether every instance is a home and has its own connections.
  bool mAreAllHome = true;

  bool IsHome(const std::string& aInstance) const;

  bool operator==(const HomePlan&) const = default;
};

/// Plans the homes of a group whose databases are in the failure domains
/// aDomains and accept aMaxConnections each. If the connections suffice for all
/// instances, every instance is a home. Otherwise rendezvous hashing selects
/// one home in each of the domains, so that a statement that runs at the
/// database in its home's domain crosses domains at most once. Leaving
/// instances are excluded. Pure; any thread.
HomePlan
PlanHomes(const std::string& aGroup,
          const std::vector<InstanceInfo>& aInstances,
          const std::vector<std::string>& aDomains,
          unsigned aMaxConnections,
          const HomePlanSettings& aSettings = {});

/// An instance that a statement may be run by.
struct HomeCandidate
{
  std::string mName;
  std::string mFailureDomain;
  bool mIsHome = false;
  /// Whether this is the choosing instance itself.
  bool mIsSelf = false;
  /// Whether it is believed to be reachable and was not tried for this
  /// statement.
  bool mIsUsable = true;
};

struct HomeRequirements
{
  std::string mGroup;
  std::string mInstance;
  std::string mFailureDomain;
  /// The failure domain of the group's primary; empty when it is unknown.
  std::string mPrimaryDomain;
  /// Set for writes and for reads that must include all writes. The home that
  /// runs them needs evidence that the primary has not been replaced; when they
  /// all run at one home, it collects the evidence once for all.
  bool mNeedsPrimary = false;
  /// The client account of the statement; may be empty.
  std::string mAccount{};
  /// Whether a replica is in the primary's domain.
  bool mHasReplicaBesidePrimary = false;
  /// Null when all domains are in one region.
  const Topology* mTopology = nullptr;
};

/// Chooses the instance that runs a statement. Homes are preferred, then
/// candidates with fewer crossings between regions, then between failure
/// domains, then the choosing instance itself; a hash distributes the rest.
/// What needs the primary is chosen by the way from the home to the primary
/// first. A home in the primary's domain without a replica runs other reads of
/// client accounts last, since it would run them at the replicas of other
/// domains and need connections of each account there beside those of the homes
/// in these domains; the hash is by account, so that few homes need connections
/// of each. Returns the index of the candidate, or nothing when none is usable.
/// Pure; any thread.
std::optional<size_t>
ChooseHome(const HomeRequirements& aRequirements,
           std::span<const HomeCandidate> aCandidates);

}
