#include "LibDecision/ConnectionBudget.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <numeric>
#include <vector>

using namespace papayaline;

class TestConnectionBudget : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestConnectionBudget);
  CPPUNIT_TEST(NineInstancesStayWithinTheLimit);
  CPPUNIT_TEST(InstanceAloneMayHoldAThird);
  CPPUNIT_TEST(ScarceConnectionsAreNotKept);
  CPPUNIT_TEST(OneForEachInstanceIsKeptUnderLoad);
  CPPUNIT_TEST(OnlyIdleConnectionIsClosedWhenTheReserveIsUsed);
  CPPUNIT_TEST(AlwaysOneIsAllowed);
  CPPUNIT_TEST(HomeBesideTheDatabaseOfManyAccountsMayHoldThreeQuarters);
  CPPUNIT_TEST(HomeShortOfConnectionsGetsSomeBackFromTheOthers);
  CPPUNIT_TEST(FewAccountsDoNotChangeTheShare);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Each instance in turn opens as many connections as its plan allows, for
  /// enough rounds to converge.
  void NineInstancesStayWithinTheLimit()
  {
    constexpr unsigned kLimit = 22;
    std::vector<unsigned> held(9, 1);
    for (int round = 0; round < 50; ++round) {
      for (auto& it : held) {
        const auto total = std::accumulate(held.begin(), held.end(), 0U);
        it = std::max(it, PlanConnections({ kLimit, total, it, 9 }).mAllowance);
      }
    }
    const auto total = std::accumulate(held.begin(), held.end(), 0U);
    CPPUNIT_ASSERT(total < kLimit);
    CPPUNIT_ASSERT(total >= kLimit / 2);
  }

  void InstanceAloneMayHoldAThird()
  {
    CPPUNIT_ASSERT_EQUAL(7U, PlanConnections({ 22, 3, 3, 1 }).mAllowance);
  }

  /// 61 instances share databases with 46 connections each.
  void ScarceConnectionsAreNotKept()
  {
    for (const unsigned instances : { 0U, 61U }) {
      const auto plan = PlanConnections({ 46, 41, 1, instances });
      CPPUNIT_ASSERT_EQUAL(0U, plan.mMinimum);
      CPPUNIT_ASSERT(plan.mIdleTimeout <
                     PlanConnections({ 46, 10, 1, instances }).mIdleTimeout);
    }
  }

  /// 71 instances share databases with 104 connections each, after a stall made
  /// all instances open more. An instance that closes its only connection opens
  /// it again at once, and connecting occupies a slot four times as long as a
  /// statement does.
  void OneForEachInstanceIsKeptUnderLoad()
  {
    const auto plan = PlanConnections({ 104, 91, 1, 71, 2 });
    CPPUNIT_ASSERT_EQUAL(1U, plan.mMinimum);
    CPPUNIT_ASSERT_EQUAL(1U, plan.mAllowance);
    // A second connection is closed after a shorter idle time.
    const auto second = PlanConnections({ 104, 91, 2, 71, 2 });
    CPPUNIT_ASSERT(second.mIdleTimeout <
                   PlanConnections({ 104, 71, 2, 71, 2 }).mIdleTimeout);
  }

  /// Instances restart while the databases still hold the connections of the
  /// terminated processes. An instance closes its only idle connection, so that
  /// others can connect, but 71 instances do so no faster than two slots can
  /// open 71 connections at 12 ms each.
  void OnlyIdleConnectionIsClosedWhenTheReserveIsUsed()
  {
    const auto few = PlanConnections({ 22, 22, 1, 13, 3 });
    CPPUNIT_ASSERT_EQUAL(0U, few.mMinimum);
    const auto many = PlanConnections({ 104, 104, 1, 71, 2 });
    CPPUNIT_ASSERT_EQUAL(0U, many.mMinimum);
    CPPUNIT_ASSERT(many.mIdleTimeout >= std::chrono::milliseconds(71 * 12 / 2));
    CPPUNIT_ASSERT(few.mIdleTimeout < many.mIdleTimeout / 4);
  }

  void AlwaysOneIsAllowed()
  {
    CPPUNIT_ASSERT_EQUAL(1U, PlanConnections({ 46, 46, 0, 61 }).mAllowance);
    CPPUNIT_ASSERT_EQUAL(1U, PlanConnections({ 1, 5, 0, 1 }).mAllowance);
  }

  /// Three homes, of which one has nearly all statements for a database with 56
  /// connections.
  void HomeBesideTheDatabaseOfManyAccountsMayHoldThreeQuarters()
  {
    unsigned own = 1;
    for (int round = 0; round < 20; ++round) {
      own = PlanConnections({ 56, own + 4, own, 3, 4, 83 }).mAllowance;
    }
    CPPUNIT_ASSERT_EQUAL(36U, own);
    CPPUNIT_ASSERT(!PlanConnections({ 56, 40, 36, 3, 4, 83 }).mMayGrow);
    // Without accounts, a third.
    CPPUNIT_ASSERT_EQUAL(18U, PlanConnections({ 56, 40, 36, 3, 4 }).mAllowance);
  }

  /// One home has lost its database and needs connections to one that two
  /// others have divided between them. Each opens what it may and closes what
  /// it need not keep.
  void HomeShortOfConnectionsGetsSomeBackFromTheOthers()
  {
    std::array<unsigned, 3> held{ 1, 33, 15 };
    for (int round = 0; round < 30; ++round) {
      for (auto& it : held) {
        const auto total = std::accumulate(held.begin(), held.end(), 0U);
        const auto plan = PlanConnections({ 56, total, it, 3, 4, 83 });
        if (&it == &held[0]) {
          it = std::max(it, plan.mAllowance);
        } else if (total > UsableConnections(56)) {
          it = std::min(it, std::max(plan.mKept, plan.mMinimum));
        }
        CPPUNIT_ASSERT(std::accumulate(held.begin(), held.end(), 0U) < 56);
      }
    }
    CPPUNIT_ASSERT(held[0] >= 8);
    CPPUNIT_ASSERT(held[1] >= 16);
    CPPUNIT_ASSERT_EQUAL(15U, held[2]);
  }

  void FewAccountsDoNotChangeTheShare()
  {
    CPPUNIT_ASSERT_EQUAL(18U,
                         PlanConnections({ 56, 20, 16, 3, 4, 9 }).mAllowance);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestConnectionBudget);
