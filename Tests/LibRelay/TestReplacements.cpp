#include "RelayWorld.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Primaries that leave and are replaced while a replica receives nothing, with
/// writes that are acknowledged by majorities.
class TestReplacements : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestReplacements);
  CPPUNIT_TEST(PrimariesReplacedBesideDeafReplicasNoAcknowledgedWriteIsLost);
  CPPUNIT_TEST_SUITE_END();

  static constexpr unsigned kSeeds = 40;

public:
  /// Guards against the promotion of a replica that lacks acknowledged writes.
  void PrimariesReplacedBesideDeafReplicasNoAcknowledgedWriteIsLost()
  {
    size_t promotions = 0;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      RelayWorld world(seed,
                       Freshness::Latest,
                       Acknowledgement::Majority,
                       RelayWorld::Disruption::ReplacementsBesideDeafReplicas);
      world.Run(15s);
      promotions += world.Promotions();
      if (!world.Violations().empty()) {
        CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " +
                     world.Violations().front());
      }
    }
    CPPUNIT_ASSERT(promotions > kSeeds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestReplacements);
