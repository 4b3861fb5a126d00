#include "RelayWorld.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

using namespace papayaline;
using namespace std::chrono_literals;

/// Groups whose primaries are replaced while replicas receive nothing, and
/// whose instances know different lists of members. Each rule is also switched
/// off, which has to break what it guards.
class TestReplacements : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestReplacements);
  CPPUNIT_TEST(PrimariesReplacedBesideDeafReplicasNoAcknowledgedWriteIsLost);
  CPPUNIT_TEST(ListsThatDifferNoAcknowledgedWriteIsLostAndNoReadIsStale);
  CPPUNIT_TEST(OwnReadsUnderListsThatDifferIncludeTheSessionsWrites);
  CPPUNIT_TEST(ReplicaSparedByTheFencesALossIsFound);
  CPPUNIT_TEST(FencedEntriesNotAwaitedALossIsFound);
  CPPUNIT_TEST(FormerListsForgottenAViolationIsFound);
  CPPUNIT_TEST(WriteOfAnUnknownTermIgnoredAStaleReadIsFound);
  CPPUNIT_TEST(LastPositionTakenForAMissingOneAStaleReadIsFound);
  CPPUNIT_TEST_SUITE_END();

  using Disruption = RelayWorld::Disruption;
  using Spread = RelayWorld::Spread;
  using PastFault = RelayWorld::PastFault;

  struct Scenario
  {
    Disruption mDisruption = Disruption::ListsThatDiffer;
    Freshness mFreshness = Freshness::Latest;
    Spread mSpread = Spread::OwnInstance;
    RelayRuleSet mRules = RelayRuleSet::All();
    PastFault mPastFault = PastFault::None;
    Milliseconds mTime = 30s;
    unsigned mFirstSeed = 1;
  };

  static constexpr unsigned kSeeds = 40;
  /// The number of seeds within which a rule that is off has to be missed.
  static constexpr unsigned kMaxSeedsToFind = 400;

  static std::unique_ptr<RelayWorld> Play(const Scenario& aScenario,
                                          unsigned aSeed)
  {
    auto world = std::make_unique<RelayWorld>(aSeed,
                                              aScenario.mFreshness,
                                              Acknowledgement::Majority,
                                              aScenario.mDisruption,
                                              aScenario.mSpread,
                                              aScenario.mRules);
    world->SetPastFault(aScenario.mPastFault);
    world->Run(aScenario.mTime);
    return world;
  }

  static void Hold(const Scenario& aScenario)
  {
    size_t promotions = 0;
    size_t acknowledged = 0;
    size_t reads = 0;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      const auto world = Play(aScenario, seed);
      promotions += world->Promotions();
      acknowledged += world->Acknowledged();
      reads += world->Reads();
      if (!world->Violations().empty()) {
        CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " +
                     world->Violations().front());
      }
    }
    std::cout << " " << acknowledged << " writes, " << reads << " reads, "
              << promotions << " promotions ";
    CPPUNIT_ASSERT(promotions > kSeeds);
    CPPUNIT_ASSERT(acknowledged > kSeeds * 100);
  }

  static void Find(const Scenario& aScenario, const std::string& aViolation)
  {
    const auto first = aScenario.mFirstSeed;
    for (auto seed = first; seed < first + kMaxSeedsToFind; ++seed) {
      const auto world = Play(aScenario, seed);
      for (const auto& it : world->Violations()) {
        if (it.starts_with(aViolation)) {
          std::cout << " seed " << seed << ": " << it << " ";
          return;
        }
      }
    }
    CPPUNIT_FAIL("nothing found in " + std::to_string(kMaxSeedsToFind) +
                 " seeds");
  }

public:
  /// Guards against the promotion of a replica that lacks acknowledged writes.
  void PrimariesReplacedBesideDeafReplicasNoAcknowledgedWriteIsLost()
  {
    Scenario scenario;
    scenario.mDisruption = Disruption::ReplacementsBesideDeafReplicas;
    scenario.mTime = 15s;
    Hold(scenario);
  }

  /// Guards against majorities of different lists that do not intersect.
  void ListsThatDifferNoAcknowledgedWriteIsLostAndNoReadIsStale()
  {
    for (const auto it : { Freshness::Latest, Freshness::BoundedStaleness }) {
      Scenario scenario;
      scenario.mFreshness = it;
      Hold(scenario);
    }
  }

  void OwnReadsUnderListsThatDifferIncludeTheSessionsWrites()
  {
    Scenario scenario;
    scenario.mFreshness = Freshness::ReadYourWrites;
    scenario.mSpread = Spread::AnyInstance;
    Hold(scenario);
  }

  void ReplicaSparedByTheFencesALossIsFound()
  {
    Scenario scenario;
    scenario.mRules = scenario.mRules.Without(RelayRule::FenceEveryReplica);
    Find(scenario, "LOST");
  }

  void FencedEntriesNotAwaitedALossIsFound()
  {
    Scenario scenario;
    scenario.mRules = scenario.mRules.Without(RelayRule::FencedEntriesInLog);
    Find(scenario, "LOST");
  }

  void FormerListsForgottenAViolationIsFound()
  {
    Scenario scenario;
    scenario.mRules = scenario.mRules.Without(RelayRule::FormerLists);
    // Only few seeds show it: two members have to change within seconds.
    scenario.mFirstSeed = 180;
    Find(scenario, "");
  }

  void WriteOfAnUnknownTermIgnoredAStaleReadIsFound()
  {
    Scenario scenario;
    scenario.mFreshness = Freshness::ReadYourWrites;
    scenario.mSpread = Spread::AnyInstance;
    scenario.mPastFault = PastFault::WriteOfAnUnknownTermIsIgnored;
    Find(scenario, "STALE");
  }

  void LastPositionTakenForAMissingOneAStaleReadIsFound()
  {
    Scenario scenario;
    scenario.mDisruption = Disruption::AnswersWithoutPosition;
    scenario.mFreshness = Freshness::BoundedStaleness;
    scenario.mPastFault = PastFault::MissingPositionIsTheLast;
    Find(scenario, "STALE");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestReplacements);
