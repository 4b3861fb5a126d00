#include "Checker.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;

class TestChecker : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestChecker);
  CPPUNIT_TEST(HistoryGoodPasses);
  CPPUNIT_TEST(HistoryLostBookingIsFound);
  CPPUNIT_TEST(HistoryDoubledBookingIsFound);
  CPPUNIT_TEST(HistoryRefusedBookingThatRanIsFound);
  CPPUNIT_TEST(HistoryMissedOwnWriteIsFound);
  CPPUNIT_TEST(HistoryVanishedReadIsFound);
  CPPUNIT_TEST(HistoryStaleReadIsFound);
  CPPUNIT_TEST(HistoryWrongAnswerIsFound);
  CPPUNIT_TEST_SUITE_END();

  History mHistory;

  size_t Violations() const { return CheckHistory(mHistory).size(); }

public:
  void setUp() override
  {
    mHistory = {};
    mHistory.mBookings = { { 1, 0, BookingOutcome::Acknowledged, 10, 20 },
                           { 2, 0, BookingOutcome::NotRun, 30, 40 },
                           { 3, 0, BookingOutcome::Unknown, 50, 60 } };
    mHistory.mOwnReads = { { 0, 70, { 1 } } };
    mHistory.mTicks = { { 1, 10 }, { 2, 60 } };
    mHistory.mBoundedStalenessReads = { { 100, 50, 1 } };
    mHistory.mFinalCounts = { { 1, 1 } };
  }

  void HistoryGoodPasses() { CPPUNIT_ASSERT_EQUAL(size_t(0), Violations()); }

  void HistoryLostBookingIsFound()
  {
    mHistory.mFinalCounts.clear();
    mHistory.mOwnReads.clear();
    CPPUNIT_ASSERT_EQUAL(size_t(1), Violations());
  }

  void HistoryDoubledBookingIsFound()
  {
    mHistory.mFinalCounts[3] = 2;
    CPPUNIT_ASSERT_EQUAL(size_t(1), Violations());
  }

  void HistoryRefusedBookingThatRanIsFound()
  {
    mHistory.mFinalCounts[2] = 1;
    CPPUNIT_ASSERT_EQUAL(size_t(1), Violations());
  }

  void HistoryMissedOwnWriteIsFound()
  {
    mHistory.mOwnReads = { { 0, 70, {} } };
    CPPUNIT_ASSERT_EQUAL(size_t(1), Violations());
  }

  void HistoryVanishedReadIsFound()
  {
    mHistory.mOwnReads = { { 0, 70, { 1, 3 } } };
    CPPUNIT_ASSERT_EQUAL(size_t(1), Violations());
  }

  void HistoryStaleReadIsFound()
  {
    mHistory.mBoundedStalenessReads = { { 100, 30, 1 } };
    CPPUNIT_ASSERT_EQUAL(size_t(1), Violations());
  }

  void HistoryWrongAnswerIsFound()
  {
    mHistory.mWrongAnswers = { "expected 1" };
    CPPUNIT_ASSERT_EQUAL(size_t(1), Violations());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestChecker);
