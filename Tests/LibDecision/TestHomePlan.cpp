#include "LibDecision/HomePlan.h"
#include "LibDecision/WatchPlan.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

using namespace papayaline;

/// The homes of groups and the watchers of the store in a fleet of hundreds of
/// instances.
class TestHomePlan : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestHomePlan);
  CPPUNIT_TEST(FleetWithAConnectionEachAllAreHome);
  CPPUNIT_TEST(FleetLargerThanItsConnectionsOneHomeInEachDomain);
  CPPUNIT_TEST(DatabasesInOneDomainHomesElsewhereToo);
  CPPUNIT_TEST(InstanceGoneMovesOnlyItsOwnGroups);
  CPPUNIT_TEST(InstanceNewTakesOnlyItsShare);
  CPPUNIT_TEST(HomesFollowTheWeight);
  CPPUNIT_TEST(LeavingInstanceIsNoHome);
  CPPUNIT_TEST(NoInstanceKnownAllAreHome);
  CPPUNIT_TEST(PrimaryNeededHomeBesideItIsChosen);
  CPPUNIT_TEST(ReadHomeOfOwnDomainIsChosen);
  CPPUNIT_TEST(ReadWithoutOwnHomeAvoidsThePrimarysDomain);
  CPPUNIT_TEST(ReadsOfAnAccountMeetOutsideThePrimarysDomain);
  CPPUNIT_TEST(HomesUnusableNextInOrderIsChosen);
  CPPUNIT_TEST(OneRegionChoiceIsByCrossingsBetweenDomains);
  CPPUNIT_TEST(ReadWithoutOwnHomeStaysInItsRegion);
  CPPUNIT_TEST(ReadWithoutHomeInItsRegionLeavesIt);
  CPPUNIT_TEST(ReadWhoseRegionHasOnlyThePrimaryGoesToTheReplicas);
  CPPUNIT_TEST(PrimaryNeededAndItsHomeUnusableNextIsInThePrimarysRegion);
  CPPUNIT_TEST(LinkOfALargeInstanceLimitsItsWeight);
  CPPUNIT_TEST(SmallFleetWatchesTheStoreDirectly);
  CPPUNIT_TEST(LargeFleetHasTwoWatchersInEachDomain);
  CPPUNIT_TEST(FollowersAreSpreadOverTheWatchers);
  CPPUNIT_TEST_SUITE_END();

  static constexpr unsigned kConnections = 117;

  /// 198 instances in six failure domains. Every eleventh has half a processor
  /// core, the others less.
  static std::vector<InstanceInfo> Fleet()
  {
    std::vector<InstanceInfo> instances;
    for (int n = 0; n < 198; ++n) {
      const auto domain = std::string(1, static_cast<char>('a' + n % 6));
      instances.push_back({ "i" + std::to_string(n),
                            domain,
                            "10.0.0." + std::to_string(n) + ":1",
                            false,
                            n % 11 == 0 ? 50U : 12U });
    }
    return instances;
  }

  static std::vector<std::string> Groups()
  {
    std::vector<std::string> groups;
    for (int n = 0; n < 200; ++n) {
      groups.push_back("g" + std::to_string(n));
    }
    return groups;
  }

  static HomePlan Plan(const std::string& aGroup,
                       const std::vector<InstanceInfo>& aFleet)
  {
    return PlanHomes(aGroup, aFleet, { "a", "b", "c" }, kConnections);
  }

  static std::vector<InstanceInfo> HomesOf(const HomePlan& aPlan)
  {
    return { aPlan.mRanked.begin(),
             aPlan.mRanked.begin() + static_cast<ptrdiff_t>(aPlan.mHomes) };
  }

  static HomeCandidate Candidate(const std::string& aName,
                                 const std::string& aDomain,
                                 bool aIsHome)
  {
    HomeCandidate candidate;
    candidate.mName = aName;
    candidate.mFailureDomain = aDomain;
    candidate.mIsHome = aIsHome;
    return candidate;
  }

  /// Domains a, b and c are in the east, d, e and f in the west.
  static Topology TwoRegions()
  {
    return Topology({ { "a", "east" },
                      { "b", "east" },
                      { "c", "east" },
                      { "d", "west" },
                      { "e", "west" },
                      { "f", "west" } });
  }

  /// The domains of the homes that instances of a domain choose.
  static std::set<std::string> ChosenDomains(
    const std::string& aDomain,
    const std::string& aPrimaryDomain,
    bool aNeedsPrimary,
    const std::vector<HomeCandidate>& aCandidates,
    const Topology& aTopology)
  {
    std::set<std::string> domains;
    for (int n = 0; n < 50; ++n) {
      const auto choice = ChooseHome({ "g",
                                       "i" + std::to_string(n),
                                       aDomain,
                                       aPrimaryDomain,
                                       aNeedsPrimary,
                                       {},
                                       false,
                                       &aTopology },
                                     aCandidates);
      domains.insert(aCandidates[*choice].mFailureDomain);
    }
    return domains;
  }

  /// Homes beside databases in domains a, b and d.
  static std::vector<HomeCandidate> UnevenHomes()
  {
    return { Candidate("x", "a", true),
             Candidate("y", "b", true),
             Candidate("z", "d", true) };
  }

public:
  void FleetWithAConnectionEachAllAreHome()
  {
    auto fleet = Fleet();
    fleet.resize(100);
    CPPUNIT_ASSERT(Plan("g", fleet).mAreAllHome);
    CPPUNIT_ASSERT(Plan("g", fleet).IsHome("i7"));
  }

  void FleetLargerThanItsConnectionsOneHomeInEachDomain()
  {
    for (const auto& group : Groups()) {
      const auto plan = Plan(group, Fleet());
      CPPUNIT_ASSERT(!plan.mAreAllHome);
      std::set<std::string> domains;
      for (const auto& it : HomesOf(plan)) {
        domains.insert(it.mFailureDomain);
      }
      CPPUNIT_ASSERT((domains == std::set<std::string>{ "a", "b", "c" }));
      CPPUNIT_ASSERT_EQUAL(size_t(3), plan.mHomes);
    }
  }

  void DatabasesInOneDomainHomesElsewhereToo()
  {
    auto fleet = Fleet();
    std::erase_if(fleet, [](const auto& it) {
      return it.mFailureDomain == "a" && it.mName != "i0";
    });
    const auto plan = PlanHomes("g", fleet, { "a" }, kConnections);
    CPPUNIT_ASSERT_EQUAL(size_t(3), plan.mHomes);
    CPPUNIT_ASSERT_EQUAL(std::string("i0"), plan.mRanked[0].mName);
  }

  void InstanceGoneMovesOnlyItsOwnGroups()
  {
    auto fleet = Fleet();
    std::map<std::string, HomePlan> before;
    for (const auto& group : Groups()) {
      before[group] = Plan(group, fleet);
    }
    std::erase_if(fleet, [](const auto& it) { return it.mName == "i0"; });
    size_t moved = 0;
    for (const auto& group : Groups()) {
      const auto homes = HomesOf(Plan(group, fleet));
      if (before[group].IsHome("i0")) {
        ++moved;
      } else {
        CPPUNIT_ASSERT(homes == HomesOf(before[group]));
      }
    }
    CPPUNIT_ASSERT(moved > 0);
  }

  void InstanceNewTakesOnlyItsShare()
  {
    auto fleet = Fleet();
    std::map<std::string, HomePlan> before;
    for (const auto& group : Groups()) {
      before[group] = Plan(group, fleet);
    }
    fleet.push_back({ "new", "a", "10.0.1.1:1", false, 12 });
    for (const auto& group : Groups()) {
      const auto plan = Plan(group, fleet);
      if (!plan.IsHome("new")) {
        CPPUNIT_ASSERT(HomesOf(plan) == HomesOf(before[group]));
      }
    }
  }

  void HomesFollowTheWeight()
  {
    std::map<unsigned, double> homes;
    std::map<unsigned, double> instances;
    for (const auto& it : Fleet()) {
      instances[it.mWeight] += it.mFailureDomain <= "c" ? 1 : 0;
    }
    for (int n = 0; n < 4000; ++n) {
      for (const auto& it : HomesOf(Plan(std::to_string(n), Fleet()))) {
        ++homes[it.mWeight];
      }
    }
    const auto ratio =
      (homes[50] / instances[50]) / (homes[12] / instances[12]);
    CPPUNIT_ASSERT(ratio > 3.6 && ratio < 4.7);
  }

  void LeavingInstanceIsNoHome()
  {
    auto fleet = Fleet();
    const auto home = Plan("g", fleet).mRanked[0].mName;
    for (auto& it : fleet) {
      it.mIsLeaving = it.mName == home;
    }
    CPPUNIT_ASSERT(!Plan("g", fleet).IsHome(home));
  }

  void NoInstanceKnownAllAreHome()
  {
    CPPUNIT_ASSERT(Plan("g", {}).mAreAllHome);
  }

  void PrimaryNeededHomeBesideItIsChosen()
  {
    const std::vector candidates = { Candidate("x", "a", true),
                                     Candidate("y", "b", true),
                                     Candidate("z", "c", true) };
    CPPUNIT_ASSERT(ChooseHome({ "g", "i", "a", "b", true }, candidates) == 1U);
    CPPUNIT_ASSERT(ChooseHome({ "g", "i", "a", "", true }, candidates) == 0U);
  }

  void ReadHomeOfOwnDomainIsChosen()
  {
    const std::vector candidates = { Candidate("x", "a", true),
                                     Candidate("y", "b", true) };
    CPPUNIT_ASSERT(ChooseHome({ "g", "i", "b", "b", false }, candidates) == 1U);
  }

  void ReadWithoutOwnHomeAvoidsThePrimarysDomain()
  {
    const std::vector candidates = { Candidate("x", "a", true),
                                     Candidate("y", "b", true),
                                     Candidate("z", "c", true) };
    std::set<size_t> chosen;
    for (int n = 0; n < 50; ++n) {
      chosen.insert(*ChooseHome(
        { "g", "i" + std::to_string(n), "f", "b", false }, candidates));
    }
    CPPUNIT_ASSERT((chosen == std::set<size_t>{ 0, 2 }));
  }

  void ReadsOfAnAccountMeetOutsideThePrimarysDomain()
  {
    const std::vector candidates = { Candidate("x", "a", true),
                                     Candidate("y", "b", true),
                                     Candidate("z", "c", true) };
    std::set<size_t> chosen;
    for (int n = 0; n < 50; ++n) {
      const auto account = "account" + std::to_string(n);
      const auto home =
        *ChooseHome({ "g", "i", "b", "b", false, account }, candidates);
      chosen.insert(home);
      CPPUNIT_ASSERT(
        home == ChooseHome({ "g", "j", "b", "b", false, account }, candidates));
      CPPUNIT_ASSERT(
        ChooseHome({ "g", "i", "a", "b", false, account }, candidates) == 0U);
      CPPUNIT_ASSERT(ChooseHome({ "g", "i", "b", "b", false, account, true },
                                candidates) == 1U);
    }
    CPPUNIT_ASSERT((chosen == std::set<size_t>{ 0, 2 }));
    CPPUNIT_ASSERT(ChooseHome({ "g", "i", "b", "b", false }, candidates) == 1U);
  }

  void HomesUnusableNextInOrderIsChosen()
  {
    std::vector candidates = { Candidate("x", "a", true),
                               Candidate("y", "b", false) };
    candidates[0].mIsUsable = false;
    CPPUNIT_ASSERT(ChooseHome({ "g", "i", "a", "a", true }, candidates) == 1U);
    candidates[1].mIsUsable = false;
    CPPUNIT_ASSERT(!ChooseHome({ "g", "i", "a", "a", true }, candidates));
  }

  /// The choice is the one of the count of crossings that it replaces.
  void OneRegionChoiceIsByCrossingsBetweenDomains()
  {
    const auto crossings = [](const std::string& aDomain,
                              const std::string& aPrimaryDomain,
                              bool aNeedsPrimary,
                              const HomeCandidate& aCandidate) {
      const bool isOwn = aCandidate.mFailureDomain == aDomain;
      const bool isPrimary = aCandidate.mFailureDomain == aPrimaryDomain;
      return aNeedsPrimary ? (isPrimary ? 0
                              : isOwn   ? 1
                                        : 2)
                           : (isOwn       ? 0
                              : isPrimary ? 2
                                          : 1);
    };
    const auto candidates = UnevenHomes();
    for (const std::string domain : { "a", "b", "c", "d", "e" }) {
      for (const std::string primary : { "a", "b", "c", "d", "" }) {
        for (const bool needsPrimary : { false, true }) {
          const auto best =
            std::ranges::min(candidates, {}, [&](const auto& it) {
              return crossings(domain, primary, needsPrimary, it);
            });
          std::set<std::string> expected;
          for (const auto& it : candidates) {
            if (crossings(domain, primary, needsPrimary, it) ==
                crossings(domain, primary, needsPrimary, best)) {
              expected.insert(it.mFailureDomain);
            }
          }
          for (const auto& topology :
               { Topology(), Topology({ { "a", "r" }, { "b", "r" } }) }) {
            CPPUNIT_ASSERT(
              expected ==
              ChosenDomains(
                domain, primary, needsPrimary, candidates, topology));
          }
        }
      }
    }
  }

  void ReadWithoutOwnHomeStaysInItsRegion()
  {
    const auto chosen =
      ChosenDomains("f", "a", false, UnevenHomes(), TwoRegions());
    CPPUNIT_ASSERT((chosen == std::set<std::string>{ "d" }));
  }

  void ReadWithoutHomeInItsRegionLeavesIt()
  {
    auto candidates = UnevenHomes();
    candidates[2].mIsUsable = false;
    const auto chosen =
      ChosenDomains("f", "a", false, candidates, TwoRegions());
    CPPUNIT_ASSERT((chosen == std::set<std::string>{ "b" }));
  }

  void ReadWhoseRegionHasOnlyThePrimaryGoesToTheReplicas()
  {
    const auto chosen =
      ChosenDomains("f", "d", false, UnevenHomes(), TwoRegions());
    CPPUNIT_ASSERT((chosen == std::set<std::string>{ "a", "b" }));
  }

  void PrimaryNeededAndItsHomeUnusableNextIsInThePrimarysRegion()
  {
    auto candidates = UnevenHomes();
    candidates[0].mIsUsable = false;
    const auto chosen = ChosenDomains("f", "a", true, candidates, TwoRegions());
    CPPUNIT_ASSERT((chosen == std::set<std::string>{ "b" }));
  }

  void LinkOfALargeInstanceLimitsItsWeight()
  {
    CPPUNIT_ASSERT_EQUAL(50U, WeightOf(0.5, std::nullopt));
    CPPUNIT_ASSERT_EQUAL(50U, WeightOf(0.5, 200));
    CPPUNIT_ASSERT_EQUAL(10U, WeightOf(0.5, 10));
    CPPUNIT_ASSERT_EQUAL(12U, WeightOf(0.12, 200));
    CPPUNIT_ASSERT_EQUAL(1U, WeightOf(0.5, 0.1));
  }

  void SmallFleetWatchesTheStoreDirectly()
  {
    auto fleet = Fleet();
    fleet.resize(9);
    for (const auto& it : fleet) {
      CPPUNIT_ASSERT(PlanWatches(it, fleet) == WatchPlan());
    }
  }

  void LargeFleetHasTwoWatchersInEachDomain()
  {
    std::map<std::string, int> watchers;
    for (const auto& it : Fleet()) {
      watchers[it.mFailureDomain] +=
        PlanWatches(it, Fleet()).mIsWatcher ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(size_t(6), watchers.size());
    for (const auto& [domain, n] : watchers) {
      CPPUNIT_ASSERT_EQUAL(2, n);
    }
  }

  void FollowersAreSpreadOverTheWatchers()
  {
    std::map<std::string, std::set<std::string>> asked;
    for (const auto& it : Fleet()) {
      const auto plan = PlanWatches(it, Fleet());
      if (!plan.mIsWatcher) {
        CPPUNIT_ASSERT_EQUAL(it.mFailureDomain,
                             plan.mSources[0].mFailureDomain);
        CPPUNIT_ASSERT_EQUAL(size_t(7), plan.mSources.size());
        asked[it.mFailureDomain].insert(plan.mSources[0].mName);
      }
    }
    for (const auto& [domain, watchers] : asked) {
      CPPUNIT_ASSERT_EQUAL(size_t(2), watchers.size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestHomePlan);
