#include "PatternResults.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;

/// Load patterns in which accounts compete for slots and have to open
/// connections meanwhile, which takes slots too.
class TestConnectionsUnderLoad : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestConnectionsUnderLoad);
  CPPUNIT_TEST(FirstRankIsInTimeInAnUrgentCrowdOnTop);
  CPPUNIT_TEST(AllRestartedCallersAreServedAgain);
  CPPUNIT_TEST_SUITE_END();

  /// The routes of the patterns, in order.
  static constexpr size_t kFirst = 0;
  static constexpr size_t kSecond = 1;
  static constexpr size_t kThird = 2;

public:
  /// The first rank needs a tenth of the slots, in three times its usual
  /// number.
  void FirstRankIsInTimeInAnUrgentCrowdOnTop()
  {
    const auto results = Play("urgent-crowd-on-top");
    CPPUNIT_ASSERT(FaultMean(results, kFirst, &RouteResult::InTimeShare) >=
                   0.95);
    CPPUNIT_ASSERT(FaultMean(results, kFirst, &RouteResult::ServedShare) >=
                   0.99);
    CPPUNIT_ASSERT(FaultMean(results, kSecond, &RouteResult::InTimeShare) >=
                   0.85);
  }

  /// The restart takes the first of four seconds. What arrived then comes back
  /// at once when it is over.
  void AllRestartedCallersAreServedAgain()
  {
    const auto results = Play("all-restarted");
    for (const auto route : { kFirst, kSecond, kThird }) {
      CPPUNIT_ASSERT(FaultMean(results, route, &RouteResult::InTimeShare) >=
                     0.75);
      CPPUNIT_ASSERT(FaultMean(results, route, &RouteResult::ServedShare) >=
                     0.99);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestConnectionsUnderLoad);
