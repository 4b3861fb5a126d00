#include "LibDecision/SlotShare.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;

/// How much instances that share the slots of a database run there.
class TestSlotShare : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestSlotShare);
  CPPUNIT_TEST(InstancesThatHoldBackLeaveNoSlotIdle);
  CPPUNIT_TEST(FirstRankMayUseAllSlotsWhateverOthersSent);
  CPPUNIT_TEST(FirstRankOfManyInstancesHasThreeSharesAtMost);
  CPPUNIT_TEST(LimitAboveTheShareStands);
  CPPUNIT_TEST(UnknownSharersLeaveTheLimit);
  CPPUNIT_TEST_SUITE_END();

public:
  void InstancesThatHoldBackLeaveNoSlotIdle()
  {
    for (unsigned slots = 1; slots <= 12; ++slots) {
      for (unsigned sharers = 1; sharers <= 80; ++sharers) {
        const auto each =
          ConcurrencyOf({ slots, sharers, 1 }, RankPlace::Other);
        CPPUNIT_ASSERT(each * sharers >= slots);
        CPPUNIT_ASSERT(each == 1 || (each - 1) * sharers < slots);
      }
    }
  }

  void FirstRankMayUseAllSlotsWhateverOthersSent()
  {
    CPPUNIT_ASSERT_EQUAL(4U, ConcurrencyOf({ 4, 3, 1 }, RankPlace::First));
    CPPUNIT_ASSERT_EQUAL(2U, ConcurrencyOf({ 4, 3, 1 }, RankPlace::Other));
  }

  /// However many instances have statements of the first rank.
  void FirstRankOfManyInstancesHasThreeSharesAtMost()
  {
    for (unsigned sharers = 4; sharers <= 80; ++sharers) {
      const auto each = ConcurrencyOf({ 4, sharers, 1 }, RankPlace::First);
      const auto other = ConcurrencyOf({ 4, sharers, 1 }, RankPlace::Other);
      CPPUNIT_ASSERT(each <= 3 * other);
    }
  }

  void LimitAboveTheShareStands()
  {
    CPPUNIT_ASSERT_EQUAL(9U, ConcurrencyOf({ 4, 3, 9 }, RankPlace::First));
    CPPUNIT_ASSERT_EQUAL(9U, ConcurrencyOf({ 4, 3, 9 }, RankPlace::Other));
  }

  void UnknownSharersLeaveTheLimit()
  {
    CPPUNIT_ASSERT_EQUAL(1U, ConcurrencyOf({ 4, 0, 1 }, RankPlace::First));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSlotShare);
