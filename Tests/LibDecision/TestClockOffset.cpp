#include "LibDecision/ClockOffset.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestClockOffset : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestClockOffset);
  CPPUNIT_TEST(OffsetUnknownGivesNoTime);
  CPPUNIT_TEST(MessageDelayedTimeIsNeverLaterThanTheTrueOne);
  CPPUNIT_TEST(MessageFasterThanEarlierOnesImprovesTheBound);
  CPPUNIT_TEST(BoundOldDriftIsTakenOff);
  CPPUNIT_TEST_SUITE_END();

  /// The peer's clock is ahead by this.
  static constexpr Duration kTrueOffset = -20s;
  static constexpr Instant kStart = Instant(1h);

  static Instant PeerTime(Instant aTime) { return aTime + kTrueOffset; }

public:
  void OffsetUnknownGivesNoTime()
  {
    CPPUNIT_ASSERT(!ClockOffset().ToPeerTime(kStart, kStart));
  }

  void MessageDelayedTimeIsNeverLaterThanTheTrueOne()
  {
    ClockOffset offset;
    for (const Duration delay : { 3000ms, 2ms, 900ms }) {
      offset.Observe(PeerTime(kStart), kStart + delay);
      const auto time = offset.ToPeerTime(kStart, kStart + delay);
      CPPUNIT_ASSERT(time && *time <= PeerTime(kStart));
    }
  }

  void MessageFasterThanEarlierOnesImprovesTheBound()
  {
    ClockOffset offset;
    offset.Observe(PeerTime(kStart), kStart + 3s);
    CPPUNIT_ASSERT(offset.ToPeerTime(kStart, kStart + 3s) ==
                   PeerTime(kStart) - 3s);
    offset.Observe(PeerTime(kStart + 4s), kStart + 4s + 1ms);
    CPPUNIT_ASSERT(offset.ToPeerTime(kStart, kStart + 4s + 1ms) ==
                   PeerTime(kStart) - 1ms);
  }

  void BoundOldDriftIsTakenOff()
  {
    ClockOffset offset;
    offset.Observe(PeerTime(kStart), kStart);
    const auto now = kStart + 1000s;
    CPPUNIT_ASSERT(offset.ToPeerTime(now, now) == PeerTime(now) - 1s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestClockOffset);
