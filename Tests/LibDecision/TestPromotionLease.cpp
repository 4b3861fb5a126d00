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
  CPPUNIT_TEST(TokenAfterARestoreOfTheStoreIsHigher);
  CPPUNIT_TEST(RecordLostByARestoreIsCreatedAfterTheLeaseTimeout);
  CPPUNIT_TEST(RecordFromBeforeARestoreIsReplacedAfterTheLeaseTimeout);
  CPPUNIT_TEST(RecordReadBeforeARestoreDecidesNothing);
  CPPUNIT_TEST(WriteThatRanAfterARestoreGrantsNothing);
  CPPUNIT_TEST(HolderWithAGrantAcquiresAgainAfterARestore);
  CPPUNIT_TEST(GrantFromBeforeARestoreIsNotReleased);
  CPPUNIT_TEST_SUITE_END();

  const Instant mStart{ 1h };
  const LeaseSettings mSettings;

  static StoredLease HeldBy(const std::string& aName,
                            int64_t aRevision,
                            uint64_t aEra = 0)
  {
    return { { aName, "1", 1, false, aEra }, { aEra, aRevision } };
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

  /// Guards against a promotion with a lower token than one that the platform
  /// has seen.
  void TokenAfterARestoreOfTheStoreIsHigher()
  {
    PromotionLease lease("me", "1");
    lease.ObserveEra(1, mStart - 1min);
    lease.Decide(std::nullopt, mStart);
    const auto before = lease.OnAcquired({ 1, 32 }, mStart);
    lease.ObserveEra(2, mStart + 1s);
    lease.Decide(std::nullopt, mStart + 1min);
    const auto after = lease.OnAcquired({ 2, 26 }, mStart + 1min);
    CPPUNIT_ASSERT(before && after && after->mToken > before->mToken);
  }

  /// Guards against two holders at a time, of which the store has forgotten
  /// one.
  void RecordLostByARestoreIsCreatedAfterTheLeaseTimeout()
  {
    PromotionLease lease("me", "1");
    lease.ObserveEra(1, mStart - 1min);
    CPPUNIT_ASSERT(Takes(lease.Decide(std::nullopt, mStart)));
    CPPUNIT_ASSERT(lease.ObserveEra(2, mStart));
    CPPUNIT_ASSERT(!Takes(lease.Decide(std::nullopt, mStart)));
    const auto end = mStart + mSettings.mTimeout;
    CPPUNIT_ASSERT(!Takes(lease.Decide(std::nullopt, end - 1ms)));
    CPPUNIT_ASSERT(Takes(lease.Decide(std::nullopt, end)));
  }

  /// Guards against trust in a released lease that another instance acquired
  /// after the copy was made.
  void RecordFromBeforeARestoreIsReplacedAfterTheLeaseTimeout()
  {
    PromotionLease lease("me", "1");
    auto stored = HeldBy("other", 7, 1);
    stored.mRecord.mIsReleased = true;
    CPPUNIT_ASSERT(Takes(lease.Decide(stored, mStart - 1min)));
    stored.mRevision.mEra = 2;
    CPPUNIT_ASSERT(!Takes(lease.Decide(stored, mStart)));
    CPPUNIT_ASSERT(Takes(lease.Decide(stored, mStart + mSettings.mTimeout)));
  }

  void RecordReadBeforeARestoreDecidesNothing()
  {
    PromotionLease lease("me", "1");
    lease.ObserveEra(2, mStart - 1min);
    auto stored = HeldBy("other", 7, 1);
    stored.mRecord.mIsReleased = true;
    CPPUNIT_ASSERT(!Takes(lease.Decide(stored, mStart)));
  }

  /// Guards against a write that was decided from a lost record and executed
  /// late, when its revision number belonged to another change.
  void WriteThatRanAfterARestoreGrantsNothing()
  {
    PromotionLease lease("me", "1");
    auto stored = HeldBy("other", 7, 1);
    stored.mRecord.mIsReleased = true;
    CPPUNIT_ASSERT(Takes(lease.Decide(stored, mStart)));
    lease.ObserveEra(2, mStart + 1ms);
    CPPUNIT_ASSERT(!lease.OnAcquired({ 2, 8 }, mStart));
    CPPUNIT_ASSERT(!lease.Grant(mStart));
  }

  /// No other instance can have acquired the lease during the grant.
  void HolderWithAGrantAcquiresAgainAfterARestore()
  {
    PromotionLease lease("me", "1");
    lease.ObserveEra(1, mStart - 1min);
    lease.Decide(std::nullopt, mStart);
    lease.OnAcquired({ 1, 9 }, mStart);
    lease.ObserveEra(2, mStart + 1s);
    CPPUNIT_ASSERT(Takes(lease.Decide(std::nullopt, mStart + 1s)));
    CPPUNIT_ASSERT(lease.OnAcquired({ 2, 5 }, mStart + 1s));
  }

  /// Guards against a release that replaces the record of a later holder with
  /// the same revision number.
  void GrantFromBeforeARestoreIsNotReleased()
  {
    PromotionLease lease("me", "1");
    lease.ObserveEra(1, mStart - 1min);
    lease.Decide(std::nullopt, mStart);
    lease.OnAcquired({ 1, 9 }, mStart);
    lease.ObserveEra(2, mStart + 1s);
    CPPUNIT_ASSERT(!lease.ReleaseIfDue(mStart + 2 * mSettings.mTimeout));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPromotionLease);
