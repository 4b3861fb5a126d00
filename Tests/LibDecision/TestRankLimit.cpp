#include "LibDecision/RankLimit.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// How much of the concurrency lower ranks may use while statements wait at the
/// database.
class TestRankLimit : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestRankLimit);
  CPPUNIT_TEST(DatabaseWithoutQueueHoldsNothingBack);
  CPPUNIT_TEST(QueueWithinTheToleranceHoldsNothingBack);
  CPPUNIT_TEST(LongQueueHoldsLowerRanksBackAndNotTheFirst);
  CPPUNIT_TEST(LowerRanksAreNeverStoppedAltogether);
  CPPUNIT_TEST(QueueGoneLowerRanksHaveEverythingAgain);
  CPPUNIT_TEST_SUITE_END();

  Instant mNow = Instant(1h);
  ConcurrencyLimit mConcurrency;
  RankLimit mLimit;

  void Answer(int aCount, Duration aTime, Duration aTolerance)
  {
    for (int it = 0; it < aCount; ++it) {
      mNow += aTime;
      mConcurrency.OnAnswered(aTime, mConcurrency.Limit());
      mLimit.OnAnswered(mConcurrency, { { 2, aTolerance } }, mNow);
    }
  }

public:
  void setUp() override
  {
    mConcurrency = {};
    mLimit = {};
    Answer(60, 10ms, 12ms);
  }

  void DatabaseWithoutQueueHoldsNothingBack()
  {
    CPPUNIT_ASSERT_EQUAL(1.0, mLimit.PartOf(2));
    CPPUNIT_ASSERT(mLimit.MayStart(mConcurrency, 2, 1000, mNow));
  }

  /// Statements of the ranks above have time for this wait.
  void QueueWithinTheToleranceHoldsNothingBack()
  {
    Answer(60, 40ms, 100ms);
    CPPUNIT_ASSERT_EQUAL(1.0, mLimit.PartOf(2));
  }

  void LongQueueHoldsLowerRanksBackAndNotTheFirst()
  {
    Answer(10, 60ms, 12ms);
    CPPUNIT_ASSERT(mLimit.PartOf(2) < 0.5);
    CPPUNIT_ASSERT_EQUAL(1.0, mLimit.PartOf(0));
    CPPUNIT_ASSERT(mLimit.MayStart(mConcurrency, 0, 1000, mNow));
    CPPUNIT_ASSERT(
      !mLimit.MayStart(mConcurrency, 2, mConcurrency.Limit(), mNow));
  }

  void LowerRanksAreNeverStoppedAltogether()
  {
    Answer(20, 200ms, 12ms);
    mLimit.OnStarted(2, mNow);
    CPPUNIT_ASSERT(!mLimit.MayStart(mConcurrency, 2, 0, mNow));
    CPPUNIT_ASSERT(mLimit.MayStart(mConcurrency, 2, 0, mNow + 4s));
  }

  void QueueGoneLowerRanksHaveEverythingAgain()
  {
    Answer(10, 60ms, 12ms);
    Answer(60, 10ms, 12ms);
    CPPUNIT_ASSERT_EQUAL(1.0, mLimit.PartOf(2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRankLimit);
