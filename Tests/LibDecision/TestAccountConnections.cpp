#include "LibDecision/AccountConnections.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using namespace papayaline;
using namespace std::chrono_literals;

/// Tests which connection a statement of a client account gets.
class TestAccountConnectionChoice : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestAccountConnectionChoice);
  CPPUNIT_TEST(StatementWaitsForARunningConnectionThatEndsSoon);
  CPPUNIT_TEST(StatementDoesNotWaitForATransaction);
  CPPUNIT_TEST(QueueOpensNoMoreConnectionsThanItNeeds);
  CPPUNIT_TEST(OpeningsAtATimeAreBounded);
  CPPUNIT_TEST(AccountsWithMoreWaitingStatementsOpenFirst);
  CPPUNIT_TEST(LeastUsedConnectionIsReplaced);
  CPPUNIT_TEST(ConnectionOfAWaitingAccountIsKept);
  CPPUNIT_TEST(ConnectionIsKeptForAsLongAsOpeningOneTakes);
  CPPUNIT_TEST(AccountInABurstTakesNoMoreThanHalf);
  CPPUNIT_TEST(AccountTakesAnotherConnectionOnlyFromALessUsedOne);
  CPPUNIT_TEST(RatesFollowTheDemandAndDecay);
  CPPUNIT_TEST_SUITE_END();

  ConnectionLimits mLimits;

  static AccountConnections Idle(const std::string& aName,
                                 unsigned aCount,
                                 double aRate)
  {
    return {
      .mAccount = aName, .mIdle = aCount, .mIdleTime = 100ms, .mRate = aRate
    };
  }

  ConnectionVerdict VerdictOf(const std::vector<AccountConnections>& aAll,
                              unsigned aPosition = 1) const
  {
    return ChooseConnection("a", aPosition, aAll, mLimits).mVerdict;
  }

public:
  void setUp() override
  {
    mLimits = {
      .mAllowance = 8, .mTotal = 8, .mMaxOpenings = 2, .mAnswerTime = 20ms
    };
  }

  void StatementWaitsForARunningConnectionThatEndsSoon()
  {
    mLimits.mTotal = 1;
    const AccountConnections own{ .mAccount = "a", .mRunning = 1 };
    CPPUNIT_ASSERT(VerdictOf({ own }) == ConnectionVerdict::WaitForOwn);
    CPPUNIT_ASSERT(VerdictOf({ own }, 2) == ConnectionVerdict::Open);
    mLimits.mAnswerTime = 200ms;
    CPPUNIT_ASSERT(VerdictOf({ own }) == ConnectionVerdict::Open);
  }

  void StatementDoesNotWaitForATransaction()
  {
    mLimits.mTotal = 1;
    const AccountConnections own{ .mAccount = "a", .mInTransaction = 1 };
    CPPUNIT_ASSERT(VerdictOf({ own }) == ConnectionVerdict::Open);
    mLimits.mTotal = mLimits.mAllowance;
    CPPUNIT_ASSERT(VerdictOf({ own, Idle("b", 1, 5) }) ==
                   ConnectionVerdict::Replace);
  }

  void QueueOpensNoMoreConnectionsThanItNeeds()
  {
    mLimits.mTotal = 1;
    const AccountConnections own{ .mAccount = "a", .mOpening = 1 };
    CPPUNIT_ASSERT(VerdictOf({ own }) == ConnectionVerdict::WaitForOpening);
    CPPUNIT_ASSERT(VerdictOf({ own }, 2) == ConnectionVerdict::Open);
  }

  void OpeningsAtATimeAreBounded()
  {
    mLimits.mTotal = 2;
    mLimits.mOpenings = 2;
    CPPUNIT_ASSERT(VerdictOf({}) == ConnectionVerdict::WaitForOpeningSlot);
  }

  void AccountsWithMoreWaitingStatementsOpenFirst()
  {
    mLimits.mTotal = 0;
    std::vector<AccountConnections> all{
      { .mAccount = "a", .mWaiting = 2 },
      { .mAccount = "b", .mWaiting = 9 },
    };
    CPPUNIT_ASSERT(VerdictOf(all) == ConnectionVerdict::Open);
    all.push_back({ .mAccount = "c", .mWaiting = 3 });
    CPPUNIT_ASSERT(VerdictOf(all) == ConnectionVerdict::WaitForOpeningSlot);
    all[0].mWaiting = 4;
    CPPUNIT_ASSERT(VerdictOf(all) == ConnectionVerdict::Open);
  }

  /// The third connection of a large account is used less often than the only
  /// one of an account that sends every second, and more often than that of one
  /// that sends every 10 s.
  void LeastUsedConnectionIsReplaced()
  {
    std::vector<AccountConnections> all{ Idle("large", 3, 12),
                                         Idle("middle", 1, 1) };
    CPPUNIT_ASSERT(ChooseConnection("a", 1, all, mLimits) ==
                   (ConnectionChoice{ ConnectionVerdict::Replace, "large" }));
    all.push_back(Idle("small", 1, 0.1));
    CPPUNIT_ASSERT(ChooseConnection("a", 1, all, mLimits) ==
                   (ConnectionChoice{ ConnectionVerdict::Replace, "small" }));
  }

  void ConnectionOfAWaitingAccountIsKept()
  {
    auto small = Idle("small", 1, 0.1);
    small.mWaiting = 1;
    CPPUNIT_ASSERT(VerdictOf({ small }) == ConnectionVerdict::WaitForOther);
  }

  void ConnectionIsKeptForAsLongAsOpeningOneTakes()
  {
    auto other = Idle("b", 1, 0.1);
    other.mIdleTime = 5ms;
    CPPUNIT_ASSERT(VerdictOf({ other }) == ConnectionVerdict::WaitForOther);
    other.mIdleTime = 12ms;
    CPPUNIT_ASSERT(VerdictOf({ other }) == ConnectionVerdict::Replace);
  }

  void AccountInABurstTakesNoMoreThanHalf()
  {
    const auto other = Idle("b", 4, 0.1);
    AccountConnections own{ .mAccount = "a", .mRunning = 3, .mRate = 200 };
    CPPUNIT_ASSERT(VerdictOf({ own, other }, 9) == ConnectionVerdict::Replace);
    own.mRunning = 4;
    CPPUNIT_ASSERT(VerdictOf({ own, other }, 9) ==
                   ConnectionVerdict::WaitForOther);
  }

  void AccountTakesAnotherConnectionOnlyFromALessUsedOne()
  {
    const AccountConnections own{ .mAccount = "a", .mRunning = 1, .mRate = 1 };
    CPPUNIT_ASSERT(VerdictOf({ own, Idle("b", 1, 1) }, 9) ==
                   ConnectionVerdict::WaitForOther);
    CPPUNIT_ASSERT(VerdictOf({ own, Idle("b", 3, 1) }, 9) ==
                   ConnectionVerdict::Replace);
  }

  void RatesFollowTheDemandAndDecay()
  {
    AccountDemand demand;
    auto now = Instant(1h);
    for (int n = 0; n < 1200; ++n, now += 100ms) {
      demand.Observe("large", now);
      if (n % 20 == 0) {
        demand.Observe("small", now);
      }
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, demand.Rate("large", now), 0.5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, demand.Rate("small", now), 0.05);
    CPPUNIT_ASSERT(demand.Rate("large", now + 2min) < 0.5);
    CPPUNIT_ASSERT_EQUAL(0.0, demand.Rate("other", now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAccountConnectionChoice);
