#include "LibDecision/ConcurrencyLimit.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestConcurrencyLimit : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestConcurrencyLimit);
  CPPUNIT_TEST(ShortAnswerTimesRaiseAUsedLimit);
  CPPUNIT_TEST(ShortAnswerTimesLeaveAnUnusedLimit);
  CPPUNIT_TEST(LongAnswerTimesLowerTheLimitToOne);
  CPPUNIT_TEST(SlowDatabaseIsNotTakenForAQueue);
  CPPUNIT_TEST_SUITE_END();

  static void Answer(ConcurrencyLimit& aLimit,
                     int aCount,
                     Duration aTime,
                     unsigned aRunning)
  {
    for (int it = 0; it < aCount; ++it) {
      aLimit.OnAnswered(aTime, aRunning);
    }
  }

public:
  void ShortAnswerTimesRaiseAUsedLimit()
  {
    ConcurrencyLimit limit;
    const auto before = limit.Limit();
    for (int it = 0; it < 100; ++it) {
      limit.OnAnswered(10ms, limit.Limit());
    }
    CPPUNIT_ASSERT(limit.Limit() > before);
  }

  void ShortAnswerTimesLeaveAnUnusedLimit()
  {
    ConcurrencyLimit limit;
    const auto before = limit.Limit();
    Answer(limit, 100, 10ms, 1);
    CPPUNIT_ASSERT_EQUAL(before, limit.Limit());
  }

  void LongAnswerTimesLowerTheLimitToOne()
  {
    ConcurrencyLimit limit;
    Answer(limit, 20, 10ms, 1);
    Answer(limit, 60, 100ms, 4);
    CPPUNIT_ASSERT_EQUAL(1U, limit.Limit());
  }

  /// With one statement running, its own queue can't be the cause.
  void SlowDatabaseIsNotTakenForAQueue()
  {
    ConcurrencyLimit limit;
    Answer(limit, 20, 10ms, 1);
    for (int it = 0; it < 500; ++it) {
      limit.OnAnswered(100ms, limit.Limit());
    }
    CPPUNIT_ASSERT(limit.Limit() > 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestConcurrencyLimit);
