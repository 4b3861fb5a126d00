#include "RelayWorld.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

using namespace papayaline;
using namespace std::chrono_literals;

/// Random faults with fixed seeds; each seed that failed once stays in the
/// list.
class TestExploration : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestExploration);
  CPPUNIT_TEST(LatestReadsUnderFaultsKeepTheRules);
  CPPUNIT_TEST(AgedReadsUnderFaultsKeepTheRules);
  CPPUNIT_TEST(OwnReadsUnderFaultsKeepTheRules);
  CPPUNIT_TEST(WritesAcknowledgedByMajoritiesAreNotLost);
  CPPUNIT_TEST_SUITE_END();

  static constexpr unsigned kSeeds = 40;

  static void Explore(
    Freshness aFreshness,
    Acknowledgement aAcknowledgement = Acknowledgement::Leader)
  {
    size_t acknowledged = 0;
    size_t reads = 0;
    size_t promotions = 0;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      RelayWorld world(seed, aFreshness, aAcknowledgement);
      world.Run(15s);
      acknowledged += world.Acknowledged();
      reads += world.Reads();
      promotions += world.Promotions();
      if (!world.Violations().empty()) {
        CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " +
                     world.Violations().front());
      }
    }
    std::cout << " " << acknowledged << " writes, " << reads << " reads, "
              << promotions << " promotions ";
    // Faults leave time to work in; a world that stands still proves nothing.
    CPPUNIT_ASSERT(acknowledged > kSeeds * 100);
    CPPUNIT_ASSERT(reads > kSeeds * 100);
    CPPUNIT_ASSERT(promotions > kSeeds / 2);
  }

public:
  void LatestReadsUnderFaultsKeepTheRules() { Explore(Freshness::Latest); }
  void AgedReadsUnderFaultsKeepTheRules() { Explore(Freshness::BoundedAge); }
  void WritesAcknowledgedByMajoritiesAreNotLost()
  {
    Explore(Freshness::OwnWrites, Acknowledgement::Majority);
  }
  void OwnReadsUnderFaultsKeepTheRules() { Explore(Freshness::OwnWrites); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestExploration);
