#include "PatternResults.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;

/// Checks what callers get under each load pattern, over fixed seeds. The
/// bounds follow from the pattern: from the target latencies, the deadlines and
/// the load that the slots can carry.
class TestLoadPatterns : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestLoadPatterns);
  CPPUNIT_TEST(QuietLoadIsServedInTime);
  CPPUNIT_TEST(UrgentStatementsAtAnOverloadedPrimaryGoFirst);
  CPPUNIT_TEST(OverloadedPrimarySpendsItsSlotsOnStatementsInTime);
  CPPUNIT_TEST(FlashCrowdIsServedOnceItHasPassed);
  CPPUNIT_TEST(ReadsAreServedWhileTheOnlyReplicaIsDeaf);
  CPPUNIT_TEST(CrowdOnLowRankIsPaidForByItself);
  CPPUNIT_TEST(AccountFarAboveItsUsualPaysMoreThanTheOthers);
  CPPUNIT_TEST(ManyAccountsShareFewConnections);
  CPPUNIT_TEST(BurstOfOneAccountLeavesTheOthersTheirConnections);
  CPPUNIT_TEST(FailoverWithManyAccountsIsServedOnceItHasPassed);
  CPPUNIT_TEST_SUITE_END();

  /// The routes of the patterns, in order.
  static constexpr size_t kUrgent = 0;
  static constexpr size_t kOwn = 1;
  static constexpr size_t kAged = 2;
  static constexpr size_t kFirst = 0;
  static constexpr size_t kSecond = 1;
  static constexpr size_t kThird = 2;
  /// The accounts, in order.
  static constexpr size_t kLarge = 0;
  static constexpr size_t kUsual = 1;
  static constexpr size_t kSmall = 2;

  /// The mean share of the operations of one account in time during the fault.
  static double AccountMean(const std::vector<LoadResult>& aResults,
                            size_t aAccount)
  {
    return Mean(aResults,
                &LoadResult::mFaultAccounts,
                aAccount,
                &RouteResult::InTimeShare);
  }

  /// Checks that statements are in time, and that at most one in four opens a
  /// connection: opening them then takes less than a fifth of the slot time
  /// that statements do. Starting counts for the whole run.
  static void CheckAccounts(const std::vector<LoadResult>& aResults,
                            double aRate)
  {
    for (const auto& it : aResults) {
      for (const auto& route : it.mRoutes) {
        CPPUNIT_ASSERT(route.InTimeShare() >= 0.99);
      }
      CPPUNIT_ASSERT(it.mOpeningRate <= aRate / 4);
    }
  }

public:
  void QuietLoadIsServedInTime()
  {
    for (const auto& it : Play("quiet")) {
      for (const auto& route : it.mRoutes) {
        CPPUNIT_ASSERT(route.InTimeShare() >= 0.99);
      }
    }
  }

  /// The urgent statements need a sixteenth of the slots and have the highest
  /// priority, so overload by other statements must not delay most of them.
  void UrgentStatementsAtAnOverloadedPrimaryGoFirst()
  {
    const auto results = Play("replicas-apply-late");
    CPPUNIT_ASSERT(FaultMean(results, kUrgent, &RouteResult::InTimeShare) >=
                   0.75);
    CPPUNIT_ASSERT(FaultMean(results, kUrgent, &RouteResult::ServedShare) >=
                   0.99);
  }

  /// The slots suffice for four fifths of the statements; at least half of them
  /// must be answered within the target latency.
  void OverloadedPrimarySpendsItsSlotsOnStatementsInTime()
  {
    const auto results = Play("replicas-apply-late");
    CPPUNIT_ASSERT(FaultMean(results, kOwn, &RouteResult::InTimeShare) >= 0.5);
    CPPUNIT_ASSERT(FaultMean(results, kOwn, &RouteResult::ServedShare) >= 0.8);
  }

  /// The crowd comes for a second, and the slots are free again soon enough to
  /// answer nine in ten before their deadline.
  void FlashCrowdIsServedOnceItHasPassed()
  {
    const auto results = Play("flash-crowd");
    CPPUNIT_ASSERT(FaultMean(results, kOwn, &RouteResult::ServedShare) >= 0.9);
    CPPUNIT_ASSERT(FaultMean(results, kUrgent, &RouteResult::ServedShare) >=
                   0.99);
  }

  /// The primary is lost 0.5 s into a fault of 5 s, and the next one serves 1.4
  /// s later, which leaves 3.6 s of 5: 0.72 of the reads. Writes can't be
  /// acknowledged.
  void ReadsAreServedWhileTheOnlyReplicaIsDeaf()
  {
    const auto results = Play("failover-with-deaf-replica");
    CPPUNIT_ASSERT(FaultMean(results, kAged, &RouteResult::ServedShare) >=
                   0.72);
  }

  /// The ranks above the crowd need two fifths of the slots, and the smallest
  /// account needs half of its share even of the crowd's route.
  void CrowdOnLowRankIsPaidForByItself()
  {
    const auto results = Play("crowd-on-low-rank");
    CPPUNIT_ASSERT(FaultMean(results, kFirst, &RouteResult::InTimeShare) >=
                   0.99);
    CPPUNIT_ASSERT(FaultMean(results, kSecond, &RouteResult::InTimeShare) >=
                   0.99);
    CPPUNIT_ASSERT(FaultMean(results, kThird, &RouteResult::ServedShare) >=
                   0.97);
    CPPUNIT_ASSERT(AccountMean(results, kSmall) >= 0.9);
  }

  /// The small account is the one far above its usual. The others need half of
  /// the slots.
  void AccountFarAboveItsUsualPaysMoreThanTheOthers()
  {
    const auto results = Play("one-account-far-above-its-usual");
    CPPUNIT_ASSERT(FaultMean(results, kFirst, &RouteResult::InTimeShare) >=
                   0.99);
    for (const auto account : { kLarge, kUsual }) {
      CPPUNIT_ASSERT(AccountMean(results, account) >= 0.93);
      CPPUNIT_ASSERT(AccountMean(results, account) >
                     AccountMean(results, kSmall) + 0.02);
    }
  }

  /// 135 statements a second, and the first second after a restart of all.
  void ManyAccountsShareFewConnections()
  {
    const auto results = Play("many-accounts");
    CheckAccounts(results, 135);
    for (const auto& it : results) {
      for (const auto& route : it.mFaultRoutes) {
        CPPUNIT_ASSERT(route.InTimeShare() >= 0.99);
      }
    }
  }

  /// The account's own statements don't count for the openings.
  void BurstOfOneAccountLeavesTheOthersTheirConnections()
  {
    CheckAccounts(Play("burst-of-one-account"), 135);
  }

  /// Statements for the primary wait for the next one, 1.4 s of 10; reads
  /// don't.
  void FailoverWithManyAccountsIsServedOnceItHasPassed()
  {
    const auto results = Play("failover-with-many-accounts");
    CPPUNIT_ASSERT(FaultMean(results, kUrgent, &RouteResult::ServedShare) >=
                   0.86);
    CPPUNIT_ASSERT(FaultMean(results, kAged, &RouteResult::InTimeShare) >=
                   0.98);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLoadPatterns);
