#include "LibDecision/PromotionLease.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestPromotionLease : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestPromotionLease);
  CPPUNIT_TEST(LeaseThatNobodyHeldIsCreated);
  CPPUNIT_TEST(UnresponsiveHolderIsReplacedAfterTheLeaseTimeout);
  CPPUNIT_TEST(HolderThatWritesAgainKeepsTheLease);
  CPPUNIT_TEST(ReleasedLeaseIsAcquiredAtOnce);
  CPPUNIT_TEST(RecordOfEarlierIncarnationIsNotOwn);
  CPPUNIT_TEST(SuspendedHolderFindsItsGrantEnded);
  CPPUNIT_TEST(GrantEndsBeforeAnotherMayTakeOver);
  CPPUNIT_TEST(UnusedLeaseIsReleasedAfterTheTimeout);
  CPPUNIT_TEST(EachWriteDiffers);
  CPPUNIT_TEST_SUITE_END();

  const Instant mStart{ 1h };
  const LeaseSettings mSettings;

  static StoredLease HeldBy(const std::string& aName, int64_t aRevision)
  {
    return { { aName, "1", 1, false }, { 0, aRevision } };
  }

  static bool Takes(const LeaseDecision& aDecision)
  {
    return std::holds_alternative<WriteLease>(aDecision);
  }

public:
  void LeaseThatNobodyHeldIsCreated()
  {
    PromotionLease lease("me", "1");
    const auto decision = lease.Decide(std::nullopt, mStart);
    CPPUNIT_ASSERT(StoreRevision() ==
                   std::get<WriteLease>(decision).mExpectedRevision);
  }

  void UnresponsiveHolderIsReplacedAfterTheLeaseTimeout()
  {
    PromotionLease lease("me", "1");
    CPPUNIT_ASSERT(!Takes(lease.Decide(HeldBy("other", 7), mStart)));
    const auto almost = mStart + mSettings.mTimeout - 1ms;
    CPPUNIT_ASSERT(!Takes(lease.Decide(HeldBy("other", 7), almost)));
    CPPUNIT_ASSERT(
      Takes(lease.Decide(HeldBy("other", 7), mStart + mSettings.mTimeout)));
  }

  void HolderThatWritesAgainKeepsTheLease()
  {
    PromotionLease lease("me", "1");
    lease.Decide(HeldBy("other", 7), mStart);
    CPPUNIT_ASSERT(
      !Takes(lease.Decide(HeldBy("other", 8), mStart + mSettings.mTimeout)));
  }

  void ReleasedLeaseIsAcquiredAtOnce()
  {
    PromotionLease lease("me", "1");
    auto stored = HeldBy("other", 7);
    stored.mRecord.mIsReleased = true;
    CPPUNIT_ASSERT(Takes(lease.Decide(stored, mStart)));
  }

  void RecordOfEarlierIncarnationIsNotOwn()
  {
    PromotionLease lease("me", "2");
    CPPUNIT_ASSERT(!Takes(lease.Decide(HeldBy("me", 7), mStart)));
  }

  void SuspendedHolderFindsItsGrantEnded()
  {
    PromotionLease lease("me", "1");
    lease.OnAcquired({ 0, 9 }, mStart);
    CPPUNIT_ASSERT_EQUAL(uint64_t(9), lease.Grant(mStart)->mToken);
    CPPUNIT_ASSERT(!lease.Grant(mStart + 3s));
  }

  void GrantEndsBeforeAnotherMayTakeOver()
  {
    CPPUNIT_ASSERT(mSettings.mValidity + 2s < mSettings.mTimeout);
  }

  void UnusedLeaseIsReleasedAfterTheTimeout()
  {
    PromotionLease lease("me", "1");
    lease.OnAcquired({ 0, 9 }, mStart);
    lease.OnPromotionOrdered(mStart + 1s);
    CPPUNIT_ASSERT(!lease.ReleaseIfDue(mStart + mSettings.mTimeout));
    const auto release = lease.ReleaseIfDue(mStart + 1s + mSettings.mTimeout);
    CPPUNIT_ASSERT(release && release->mRecord.mIsReleased);
    CPPUNIT_ASSERT((StoreRevision{ 0, 9 }) == release->mExpectedRevision);
  }

  /// The store assigns no new revision to a write that changes nothing.
  void EachWriteDiffers()
  {
    PromotionLease lease("me", "1");
    const auto first = lease.Decide(HeldBy("me", 7), mStart);
    const auto second = lease.Decide(HeldBy("me", 7), mStart);
    CPPUNIT_ASSERT(std::get<WriteLease>(first).mRecord !=
                   std::get<WriteLease>(second).mRecord);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPromotionLease);
