#include "LibDecision/HomePlan.h"

#include "LibDecision/ConnectionBudget.h"

#include <algorithm>
#include <array>
#include <functional>
#include <tuple>

namespace papayaline {

namespace {

/// The first aCount instances of aDomain, in the given order.
std::vector<InstanceInfo>
RankDomain(const std::vector<InstanceInfo>& aOrder,
           const std::string& aDomain,
           size_t aCount)
{
  std::vector<InstanceInfo> ranked;
  for (const auto& it : aOrder) {
    if (it.mFailureDomain == aDomain && ranked.size() < aCount) {
      ranked.push_back(it);
    }
  }
  return ranked;
}

/// How often a statement and its answer cross regions and failure domains; less
/// is better.
struct Crossings
{
  unsigned mRegions = 0;
  unsigned mDomains = 0;

  auto operator<=>(const Crossings&) const = default;
  Crossings operator+(const Crossings& aOther) const
  {
    return { mRegions + aOther.mRegions, mDomains + aOther.mDomains };
  }
};

Crossings
CrossingsOf(Distance aDistance)
{
  return { aDistance == Distance::OtherRegion ? 1U : 0U,
           aDistance == Distance::SameRegion ? 1U : 0U };
}

const Topology&
TopologyOf(const HomeRequirements& aRequirements)
{
  static const Topology sOneRegion;
  return aRequirements.mTopology ? *aRequirements.mTopology : sOneRegion;
}

/// The way from a home in the primary's domain to the nearest replica. Homes
/// are beside the databases, so another home's domain has one.
Crossings
WayToReplica(const HomeRequirements& aRequirements,
             std::span<const HomeCandidate> aCandidates)
{
  Crossings nearest{ 1, 0 };
  for (const auto& it : aCandidates) {
    if (it.mIsHome && it.mFailureDomain != aRequirements.mPrimaryDomain) {
      nearest = std::min(nearest,
                         CrossingsOf(TopologyOf(aRequirements)
                                       .Between(aRequirements.mPrimaryDomain,
                                                it.mFailureDomain)));
    }
  }
  return nearest;
}

/// The ways that a candidate is chosen by, the more important one first.
using Ways = std::array<Crossings, 2>;

Ways
WaysOf(const HomeRequirements& aRequirements,
       const HomeCandidate& aCandidate,
       const Crossings& aWayToReplica)
{
  const auto& topology = TopologyOf(aRequirements);
  const auto wayToHome = CrossingsOf(
    topology.Between(aRequirements.mFailureDomain, aCandidate.mFailureDomain));
  if (aRequirements.mNeedsPrimary) {
    return { CrossingsOf(topology.Between(aCandidate.mFailureDomain,
                                          aRequirements.mPrimaryDomain)),
             wayToHome };
  }
  const bool isOwn = aCandidate.mFailureDomain == aRequirements.mFailureDomain;
  const bool isPrimary =
    aCandidate.mFailureDomain == aRequirements.mPrimaryDomain;
  // A home in the primary's domain forwards reads to replicas in other domains.
  if (isPrimary && !isOwn) {
    return { wayToHome + aWayToReplica, {} };
  }
  const bool isLast = isPrimary && !aRequirements.mAccount.empty() &&
                      !aRequirements.mHasReplicaBesidePrimary;
  return { isLast ? aWayToReplica + aWayToReplica : wayToHome, {} };
}

}

bool
HomePlan::IsHome(const std::string& aInstance) const
{
  const std::span homes(mRanked.data(), mHomes);
  return mAreAllHome ||
         std::ranges::find(homes, aInstance, &InstanceInfo::mName) !=
           homes.end();
}

HomePlan
PlanHomes(const std::string& aGroup,
          const std::vector<InstanceInfo>& aInstances,
          const std::vector<std::string>& aDomains,
          unsigned aMaxConnections,
          const HomePlanSettings& aSettings)
{
  HomePlan plan;
  auto order = RendezvousOrder(aGroup, aInstances);
  std::erase_if(order, &InstanceInfo::mIsLeaving);
  std::vector<std::vector<InstanceInfo>> domains;
  std::ranges::transform(
    aDomains, std::back_inserter(domains), [&](const auto& it) {
      return RankDomain(order, it, aSettings.mCandidatesPerDomain);
    });
  // Take the first candidate of each domain, then the second of each, and so
  // on.
  for (size_t rank = 0; rank < aSettings.mCandidatesPerDomain; ++rank) {
    for (const auto& it : domains) {
      if (rank < it.size()) {
        plan.mRanked.push_back(it[rank]);
      }
    }
  }
  // If the domains of the databases have too few instances, instances of other
  // domains become homes.
  const auto homes = std::max(aSettings.mMinHomes, aDomains.size());
  for (const auto& it : order) {
    if (plan.mRanked.size() >= homes) {
      break;
    }
    if (std::ranges::find(plan.mRanked, it) == plan.mRanked.end()) {
      plan.mRanked.push_back(it);
    }
  }
  plan.mHomes = std::min(homes, plan.mRanked.size());
  plan.mAreAllHome =
    aInstances.size() <= UsableConnections(aMaxConnections) || plan.mHomes == 0;
  return plan;
}

std::optional<size_t>
ChooseHome(const HomeRequirements& aRequirements,
           std::span<const HomeCandidate> aCandidates)
{
  using Rank = std::tuple<bool, Ways, bool, size_t>;
  const auto wayToReplica = WayToReplica(aRequirements, aCandidates);
  std::optional<size_t> best;
  Rank bestRank;
  for (size_t it = 0; it < aCandidates.size(); ++it) {
    const auto& candidate = aCandidates[it];
    if (!candidate.mIsUsable) {
      continue;
    }
    const auto tieBreaker = std::hash<std::string>()(
      aRequirements.mGroup + '\n' +
      (aRequirements.mAccount.empty() ? aRequirements.mInstance
                                      : aRequirements.mAccount) +
      '\n' + candidate.mName);
    const Rank rank{ !candidate.mIsHome,
                     WaysOf(aRequirements, candidate, wayToReplica),
                     !candidate.mIsSelf,
                     tieBreaker };
    if (!best || rank < bestRank) {
      best = it;
      bestRank = rank;
    }
  }
  return best;
}

}
