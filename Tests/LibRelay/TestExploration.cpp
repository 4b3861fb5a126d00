#include "RelayWorld.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

using namespace papayaline;
using namespace std::chrono_literals;

/// Checks the rules under random faults with fixed seeds. A seed that failed
/// once has to stay in the range of kSeeds.
class TestExploration : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestExploration);
  CPPUNIT_TEST(LatestReadsUnderFaultsKeepTheRules);
  CPPUNIT_TEST(AgedReadsUnderFaultsKeepTheRules);
  CPPUNIT_TEST(OwnReadsUnderFaultsKeepTheRules);
  CPPUNIT_TEST(WritesAcknowledgedByMajoritiesAreNotLost);
  CPPUNIT_TEST(PrimariesReplacedBesideDeafReplicasNoReadIsStale);
  CPPUNIT_TEST(OwnReadsAtAnyInstanceIncludeTheSessionsWrites);
  CPPUNIT_TEST(AnswersWithoutPositionNoReadIsStale);
  CPPUNIT_TEST(KeysTakenAwayNothingRunsAfterTheTimeout);
  CPPUNIT_TEST_SUITE_END();

  static constexpr unsigned kSeeds = 40;

  static void Explore(
    Freshness aFreshness,
    Acknowledgement aAcknowledgement = Acknowledgement::Leader,
    RelayWorld::Disruption aDisruption = RelayWorld::Disruption::None,
    RelayWorld::Spread aSpread = RelayWorld::Spread::OwnInstance)
  {
    size_t acknowledged = 0;
    size_t reads = 0;
    size_t promotions = 0;
    size_t restores = 0;
    size_t unauthorized = 0;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      RelayWorld world(
        seed, aFreshness, aAcknowledgement, aDisruption, aSpread);
      world.Run(15s);
      acknowledged += world.Acknowledged();
      reads += world.Reads();
      promotions += world.Promotions();
      restores += world.Restores();
      unauthorized += world.Unauthorized();
      if (!world.Violations().empty()) {
        CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " +
                     world.Violations().front());
      }
    }
    std::cout << " " << acknowledged << " writes, " << reads << " reads, "
              << promotions << " promotions, " << restores
              << " restores of the store, " << unauthorized << " unauthorized ";
    // Guards against a simulation in which faults prevent all progress, which
    // would violate no rule.
    CPPUNIT_ASSERT(acknowledged > kSeeds * 100);
    CPPUNIT_ASSERT(reads > kSeeds * 100);
    CPPUNIT_ASSERT(promotions > kSeeds / 2);
    CPPUNIT_ASSERT(restores > kSeeds / 2);
    CPPUNIT_ASSERT(aDisruption != RelayWorld::Disruption::KeysTakenAway ||
                   unauthorized > kSeeds);
  }

public:
  void LatestReadsUnderFaultsKeepTheRules() { Explore(Freshness::Latest); }
  void AgedReadsUnderFaultsKeepTheRules()
  {
    Explore(Freshness::BoundedStaleness);
  }
  void WritesAcknowledgedByMajoritiesAreNotLost()
  {
    Explore(Freshness::ReadYourWrites, Acknowledgement::Majority);
  }
  void OwnReadsUnderFaultsKeepTheRules() { Explore(Freshness::ReadYourWrites); }

  /// Guards against reads at a replaced primary that lacks the session's write,
  /// which an instance that knows the next primary acknowledged.
  void OwnReadsAtAnyInstanceIncludeTheSessionsWrites()
  {
    for (const auto it :
         { RelayWorld::Disruption::None,
           RelayWorld::Disruption::ReplacementsBesideDeafReplicas }) {
      Explore(Freshness::ReadYourWrites,
              Acknowledgement::Leader,
              it,
              RelayWorld::Spread::AnyInstance);
    }
  }

  /// Guards against a position that is taken for that of a later moment.
  void AnswersWithoutPositionNoReadIsStale()
  {
    for (const auto it :
         { Freshness::BoundedStaleness, Freshness::ReadYourWrites }) {
      Explore(it,
              Acknowledgement::Leader,
              RelayWorld::Disruption::AnswersWithoutPosition);
    }
  }

  void KeysTakenAwayNothingRunsAfterTheTimeout()
  {
    Explore(Freshness::ReadYourWrites,
            Acknowledgement::Leader,
            RelayWorld::Disruption::KeysTakenAway);
  }

  /// Guards against reads at a replaced primary that follows the next one and
  /// lags, while the only other replica that is asked stays in its term.
  void PrimariesReplacedBesideDeafReplicasNoReadIsStale()
  {
    for (const auto it : { Freshness::Latest,
                           Freshness::BoundedStaleness,
                           Freshness::ReadYourWrites }) {
      Explore(it,
              Acknowledgement::Leader,
              RelayWorld::Disruption::ReplacementsBesideDeafReplicas);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestExploration);
