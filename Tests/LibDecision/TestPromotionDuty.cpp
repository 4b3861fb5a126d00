#include "LibDecision/PromotionDuty.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestPromotionDuty : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestPromotionDuty);
  CPPUNIT_TEST(DutyThatNobodyHeldIsCreated);
  CPPUNIT_TEST(HolderThatVanishedIsReplacedAfterATurn);
  CPPUNIT_TEST(HolderThatWritesAgainKeepsTheDuty);
  CPPUNIT_TEST(ReleasedDutyIsTakenAtOnce);
  CPPUNIT_TEST(OwnRecordOfAnEarlierLifeIsNotOwn);
  CPPUNIT_TEST(SuspendedHolderFindsItsGrantEnded);
  CPPUNIT_TEST(GrantEndsBeforeAnotherMayTakeOver);
  CPPUNIT_TEST(UnusedDutyIsReleasedAfterATurn);
  CPPUNIT_TEST(EachWriteDiffers);
  CPPUNIT_TEST_SUITE_END();

  const Instant mStart{ 1h };
  const DutySettings mSettings;

  static StoredDuty HeldBy(const std::string& aName, int64_t aRevision)
  {
    return { { aName, "1", 1, false }, aRevision };
  }

  static bool Takes(const DutyDecision& aDecision)
  {
    return std::holds_alternative<TakeDuty>(aDecision);
  }

public:
  void DutyThatNobodyHeldIsCreated()
  {
    PromotionDuty duty("me", "1");
    const auto decision = duty.Decide(std::nullopt, mStart);
    CPPUNIT_ASSERT_EQUAL(int64_t(0),
                         std::get<TakeDuty>(decision).mExpectedRevision);
  }

  void HolderThatVanishedIsReplacedAfterATurn()
  {
    PromotionDuty duty("me", "1");
    CPPUNIT_ASSERT(!Takes(duty.Decide(HeldBy("other", 7), mStart)));
    const auto almost = mStart + mSettings.mTurn - 1ms;
    CPPUNIT_ASSERT(!Takes(duty.Decide(HeldBy("other", 7), almost)));
    CPPUNIT_ASSERT(
      Takes(duty.Decide(HeldBy("other", 7), mStart + mSettings.mTurn)));
  }

  void HolderThatWritesAgainKeepsTheDuty()
  {
    PromotionDuty duty("me", "1");
    duty.Decide(HeldBy("other", 7), mStart);
    CPPUNIT_ASSERT(
      !Takes(duty.Decide(HeldBy("other", 8), mStart + mSettings.mTurn)));
  }

  void ReleasedDutyIsTakenAtOnce()
  {
    PromotionDuty duty("me", "1");
    auto stored = HeldBy("other", 7);
    stored.mRecord.mIsReleased = true;
    CPPUNIT_ASSERT(Takes(duty.Decide(stored, mStart)));
  }

  void OwnRecordOfAnEarlierLifeIsNotOwn()
  {
    PromotionDuty duty("me", "2");
    CPPUNIT_ASSERT(!Takes(duty.Decide(HeldBy("me", 7), mStart)));
  }

  void SuspendedHolderFindsItsGrantEnded()
  {
    PromotionDuty duty("me", "1");
    duty.OnTaken(9, mStart);
    CPPUNIT_ASSERT_EQUAL(uint64_t(9), duty.Grant(mStart)->mToken);
    CPPUNIT_ASSERT(!duty.Grant(mStart + 3s));
  }

  void GrantEndsBeforeAnotherMayTakeOver()
  {
    CPPUNIT_ASSERT(mSettings.mValidity + 2s < mSettings.mTurn);
  }

  void UnusedDutyIsReleasedAfterATurn()
  {
    PromotionDuty duty("me", "1");
    duty.OnTaken(9, mStart);
    duty.OnOrdered(mStart + 1s);
    CPPUNIT_ASSERT(!duty.ReleaseIfDue(mStart + mSettings.mTurn));
    const auto release = duty.ReleaseIfDue(mStart + 1s + mSettings.mTurn);
    CPPUNIT_ASSERT(release && release->mRecord.mIsReleased);
    CPPUNIT_ASSERT_EQUAL(int64_t(9), release->mExpectedRevision);
  }

  /// The store assigns no new revision to a write that changes nothing.
  void EachWriteDiffers()
  {
    PromotionDuty duty("me", "1");
    const auto first = duty.Decide(HeldBy("me", 7), mStart);
    const auto second = duty.Decide(HeldBy("me", 7), mStart);
    CPPUNIT_ASSERT(std::get<TakeDuty>(first).mRecord !=
                   std::get<TakeDuty>(second).mRecord);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPromotionDuty);
