#include "LibDecision/FairOrder.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <numeric>

using namespace papayaline;
using namespace std::chrono_literals;

/// The order of waiting statements while accounts compete for slots.
class TestFairOrder : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestFairOrder);
  CPPUNIT_TEST(StatementsOfOneAccountKeepTheOrderOfRankTimeAndArrival);
  CPPUNIT_TEST(AccountFarAboveItsUsualWaitsBehindItself);
  CPPUNIT_TEST(SlotsAreDividedByWeight);
  CPPUNIT_TEST(LongStatementsCountMore);
  CPPUNIT_TEST(AccountRankComesBeforeShare);
  CPPUNIT_TEST(AccountThatPausedGetsNoMoreThanItsShare);
  CPPUNIT_TEST(RefusedStatementsCostTheirAccountNothing);
  CPPUNIT_TEST(FullQueueRefusesTheNewestOfTheLargestAccountOfTheLowestRank);
  CPPUNIT_TEST_SUITE_END();

  static FairStatement Of(const std::string& aAccount,
                          double aWeight = 1,
                          Duration aWork = 10ms)
  {
    FairStatement statement;
    statement.mAccount = aAccount;
    statement.mWeight = aWeight;
    statement.mWork = aWork;
    return statement;
  }

  /// Starts aCount statements of aWaiting, which never runs dry, and counts
  /// those of each account.
  static std::map<std::string, int> Start(
    FairOrder& aOrder,
    const std::vector<FairStatement>& aWaiting,
    int aCount)
  {
    std::map<std::string, int> started;
    for (int it = 0; it < aCount; ++it) {
      const auto& next = aWaiting[aOrder.Order(aWaiting).front()];
      aOrder.OnStarted(next);
      ++started[next.mAccount];
    }
    return started;
  }

public:
  /// With one account or none, the order is that of rank, what can still be in
  /// time, and arrival.
  void StatementsOfOneAccountKeepTheOrderOfRankTimeAndArrival()
  {
    for (const auto* account : { "", "a" }) {
      FairOrder order;
      std::vector<FairStatement> waiting;
      for (unsigned n = 0; n < 60; ++n) {
        auto it = Of(account, 1, std::chrono::milliseconds(n * 7 % 11));
        it.mRank = n * 5 % 3;
        it.mIsLate = n * 3 % 4 == 0;
        waiting.push_back(it);
      }
      while (!waiting.empty()) {
        std::vector<size_t> expected(waiting.size());
        std::iota(expected.begin(), expected.end(), 0);
        std::ranges::stable_sort(expected, {}, [&](size_t it) {
          return std::pair(waiting[it].mRank, waiting[it].mIsLate);
        });
        const auto actual = order.Order(waiting);
        CPPUNIT_ASSERT(expected == actual);
        // The third in order may start first, where only its database is free.
        const auto next = actual[std::min<size_t>(2, actual.size() - 1)];
        order.OnStarted(waiting[next]);
        waiting.erase(waiting.begin() + static_cast<ptrdiff_t>(next));
      }
    }
  }

  void AccountFarAboveItsUsualWaitsBehindItself()
  {
    FairOrder order;
    std::vector<FairStatement> waiting(70, Of("hot"));
    waiting.push_back(Of("small"));
    order.OnStarted(Of("hot"));
    CPPUNIT_ASSERT_EQUAL(size_t(70), order.Order(waiting).front());
  }

  void SlotsAreDividedByWeight()
  {
    FairOrder order;
    const auto started = Start(order, { Of("large", 3), Of("small", 1) }, 400);
    CPPUNIT_ASSERT_EQUAL(300, started.at("large"));
  }

  void LongStatementsCountMore()
  {
    FairOrder order;
    const auto started =
      Start(order, { Of("long", 1, 30ms), Of("short", 1, 10ms) }, 400);
    CPPUNIT_ASSERT_EQUAL(100, started.at("long"));
  }

  void AccountRankComesBeforeShare()
  {
    FairOrder order;
    auto first = Of("first");
    auto second = Of("second", 100);
    second.mAccountRank = 1;
    const auto started = Start(order, { second, first }, 50);
    CPPUNIT_ASSERT_EQUAL(50, started.at("first"));
  }

  void AccountThatPausedGetsNoMoreThanItsShare()
  {
    FairOrder order;
    Start(order, { Of("a") }, 1000);
    const auto started = Start(order, { Of("a"), Of("b") }, 100);
    CPPUNIT_ASSERT(started.at("b") <= 51);
    CPPUNIT_ASSERT(started.at("a") >= 49);
  }

  /// A crowd that was refused must not be paid for once it has passed.
  void RefusedStatementsCostTheirAccountNothing()
  {
    FairOrder order;
    std::vector<FairStatement> crowd(300, Of("hot"));
    crowd.push_back(Of("small"));
    order.Order(crowd);
    const auto started = Start(order, { Of("hot"), Of("small") }, 100);
    CPPUNIT_ASSERT_EQUAL(50, started.at("hot"));
  }

  void FullQueueRefusesTheNewestOfTheLargestAccountOfTheLowestRank()
  {
    std::vector<FairStatement> waiting(5, Of("first"));
    for (const auto* account : { "hot", "small", "hot", "other" }) {
      auto it = Of(account);
      it.mRank = 2;
      waiting.push_back(it);
    }
    waiting.push_back(Of("first"));
    CPPUNIT_ASSERT_EQUAL(size_t(7), FairOrder::ChooseRefusal(waiting));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFairOrder);
