#include "LibDecision/LoadNews.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Which home gets a statement, by what instances know of the queues there.
class TestLoadNews : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestLoadNews);
  CPPUNIT_TEST(WaitFallsWithTheAgeOfTheNewsUntilTheyExpire);
  CPPUNIT_TEST(RanksBeyondTheEndWaitAsLongAsTheLast);
  CPPUNIT_TEST(HomeThatMayServeInTimeKeepsItsStatements);
  CPPUNIT_TEST(InstancesWithTheSameNewsMoveTheExcessOnly);
  CPPUNIT_TEST(StatementsThatNoHomeCanServeAreRefusedButForAFew);
  CPPUNIT_TEST(UnknownHomeIsTriedBeforeAnythingIsRefused);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kDraws = 800;

  /// How many of evenly distributed statements go to each home; those that are
  /// refused are counted behind the last.
  static std::vector<int> Spread(const std::vector<HomeWait>& aHomes,
                                 Duration aTimeLeft)
  {
    std::vector<int> counts(aHomes.size() + 1);
    for (int it = 0; it < kDraws; ++it) {
      const auto choice =
        ChooseByWait(aHomes, 0, aTimeLeft, static_cast<double>(it) / kDraws);
      ++counts[choice.value_or(aHomes.size())];
    }
    return counts;
  }

public:
  void WaitFallsWithTheAgeOfTheNewsUntilTheyExpire()
  {
    const Instant now(1h);
    LoadNews news;
    news.Record("h", QueueKind::AtPrimary, { { 0ms, 2000ms } }, now);
    const auto wait = [&](Duration aAge) {
      return news.WaitAt("h", QueueKind::AtPrimary, 1, now + aAge);
    };
    CPPUNIT_ASSERT(wait(0ms) == Duration(2000ms));
    CPPUNIT_ASSERT(wait(400ms) == Duration(1600ms));
    CPPUNIT_ASSERT(!wait(1001ms));
    CPPUNIT_ASSERT(!news.WaitAt("h", QueueKind::AtAnyDatabase, 1, now));
    CPPUNIT_ASSERT(!news.WaitAt("other", QueueKind::AtPrimary, 1, now));
  }

  void RanksBeyondTheEndWaitAsLongAsTheLast()
  {
    const Instant now(1h);
    LoadNews news;
    news.Record("h", QueueKind::AtPrimary, { { 0ms, 70ms } }, now);
    CPPUNIT_ASSERT(news.WaitAt("h", QueueKind::AtPrimary, 9, now) ==
                   Duration(70ms));
  }

  void HomeThatMayServeInTimeKeepsItsStatements()
  {
    CPPUNIT_ASSERT_EQUAL(kDraws,
                         Spread({ { 900ms }, { 0ms } }, 1000ms).front());
  }

  /// The home serves half of them in time; the other half goes elsewhere, from
  /// however many instances they come.
  void InstancesWithTheSameNewsMoveTheExcessOnly()
  {
    const auto counts = Spread({ { 2000ms }, { 500ms }, { 800ms } }, 1000ms);
    CPPUNIT_ASSERT(counts == std::vector({ kDraws / 2, kDraws / 2, 0, 0 }));
  }

  void StatementsThatNoHomeCanServeAreRefusedButForAFew()
  {
    const auto counts = Spread({ { 1001ms }, { 9000ms } }, 1000ms);
    CPPUNIT_ASSERT(counts.front() > 0);
    CPPUNIT_ASSERT(counts.back() > kDraws * 9 / 10);
  }

  void UnknownHomeIsTriedBeforeAnythingIsRefused()
  {
    const auto counts = Spread({ { 4000ms }, {} }, 1000ms);
    CPPUNIT_ASSERT(counts == std::vector({ kDraws / 4, kDraws * 3 / 4, 0 }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLoadNews);
