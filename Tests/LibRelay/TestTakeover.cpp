#include "FakeUpstreams.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Tests the replacement of a failed or leaving primary by a group.
class TestTakeover : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestTakeover);
  CPPUNIT_TEST(PrimaryHealthyNothingIsOrdered);
  CPPUNIT_TEST(PrimaryDeadLongestLogIsPromoted);
  CPPUNIT_TEST(PrimaryDeadReplicasAreFencedBeforeTheOrder);
  CPPUNIT_TEST(PrimaryDeadAndOneReplicaDeadNothingIsOrdered);
  CPPUNIT_TEST(PrimaryPartitionedFromThisInstanceOnlyNothingIsOrdered);
  CPPUNIT_TEST(PrimaryOutOfConnectionsNothingIsOrdered);
  CPPUNIT_TEST(ProcessSuspendedNothingIsOrdered);
  CPPUNIT_TEST(LeaseTakenNothingIsOrdered);
  CPPUNIT_TEST(OrderWithoutEffectIsRepeatedForTheSameMember);
  CPPUNIT_TEST(OrderRefusedAnotherMemberIsPromoted);
  CPPUNIT_TEST(PrimaryLeavingIsReplacedWhileItServes);
  CPPUNIT_TEST(PrimaryLeavingNotReplacedInTimeGetsNoWork);
  CPPUNIT_TEST(ReplicaLeavingGetsNoReadWhileThePrimaryIsUnknown);
  CPPUNIT_TEST(ReplicaLeavingIsNotPromoted);
  CPPUNIT_TEST(FenceOfVanishedHolderIsReleased);
  CPPUNIT_TEST(WriteDuringFailoverIsServedByTheNewPrimary);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<FakeUpstreams> mFake;

public:
  void setUp() override { mFake = std::make_unique<FakeUpstreams>(); }
  void tearDown() override { mFake.reset(); }

  void PrimaryHealthyNothingIsOrdered()
  {
    mFake->Run(10s);
    CPPUNIT_ASSERT(mFake->mOrders.empty());
  }

  void PrimaryDeadLongestLogIsPromoted()
  {
    mFake->At("b").mReceived = { 1, 9 };
    mFake->At("b").mIsReplicating = false;
    mFake->At("a").mIsReachable = false;
    mFake->Run(3s);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFake->mOrders.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), mFake->mOrders.front());
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         mFake->Group().View().Primary()->mName);
  }

  void PrimaryDeadReplicasAreFencedBeforeTheOrder()
  {
    mFake->mIsPromoting = false;
    mFake->At("a").mIsReachable = false;
    mFake->Run(3s);
    CPPUNIT_ASSERT(!mFake->mOrders.empty());
    for (const auto* it : { "b", "c" }) {
      CPPUNIT_ASSERT_EQUAL(uint64_t(2), mFake->At(it).mFencedTerm);
    }
  }

  void PrimaryDeadAndOneReplicaDeadNothingIsOrdered()
  {
    mFake->At("a").mIsReachable = false;
    mFake->At("b").mIsReachable = false;
    mFake->Run(3s);
    CPPUNIT_ASSERT(mFake->mOrders.empty());
  }

  void PrimaryPartitionedFromThisInstanceOnlyNothingIsOrdered()
  {
    // Other instances still write at the primary, so the replicas still
    // receive.
    mFake->At("a").mIsReachable = false;
    for (int it = 0; it < 60; ++it) {
      ++mFake->At("a").mReceived.mOffset;
      mFake->Run(50ms);
    }
    CPPUNIT_ASSERT(mFake->mOrders.empty());
  }

  void PrimaryOutOfConnectionsNothingIsOrdered()
  {
    FakeUpstreams fresh;
    auto& primary = fresh.At("a");
    primary.mMaxConnections = 0;
    primary.mLosesAllAnswers = true;
    fresh.Run(600ms);
    primary.mLosesAllAnswers = false;
    fresh.Run(5s);
    CPPUNIT_ASSERT(fresh.mOrders.empty());
  }

  void ProcessSuspendedNothingIsOrdered()
  {
    for (int it = 0; it < 5; ++it) {
      mFake->Suspend(3s);
      mFake->Run(300ms);
    }
    CPPUNIT_ASSERT(mFake->mOrders.empty());
  }

  void LeaseTakenNothingIsOrdered()
  {
    mFake->mIsLeaseFree = false;
    mFake->At("a").mIsReachable = false;
    mFake->Run(3s);
    CPPUNIT_ASSERT(mFake->mOrders.empty());
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), mFake->At("b").mFencedTerm);
  }

  void OrderWithoutEffectIsRepeatedForTheSameMember()
  {
    mFake->mIsPromoting = false;
    mFake->At("a").mIsReachable = false;
    mFake->Run(4s);
    CPPUNIT_ASSERT(mFake->mOrders.size() > 1);
    CPPUNIT_ASSERT(std::ranges::all_of(mFake->mOrders, [&](const auto& it) {
      return it == mFake->mOrders.front();
    }));
  }

  void OrderRefusedAnotherMemberIsPromoted()
  {
    mFake->mIsPromoting = false;
    mFake->At("a").mIsReachable = false;
    while (mFake->mOrders.empty()) {
      mFake->Run(20ms);
    }
    const auto first = mFake->mOrders.front();
    mFake->mIsPromoting = true;
    mFake->Group().OnPromotionAnswer(first, PromotionAnswer::Refused);
    mFake->Run(1s);
    CPPUNIT_ASSERT(mFake->mOrders.back() != first);
  }

  void PrimaryLeavingIsReplacedWhileItServes()
  {
    mFake->mIsPromoting = false;
    mFake->SetLeaving("a");
    mFake->Publish();
    mFake->Run(200ms);
    CPPUNIT_ASSERT(!mFake->mOrders.empty());
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(30ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(!caller->LastError());
    // The only replica that confirms the write is the successor, so it has the
    // acknowledged write.
    const auto& successor = mFake->At(mFake->mOrders.front());
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), successor.mFencedTerm);
    CPPUNIT_ASSERT(successor.mReceived == mFake->At("a").mReceived);
  }

  void PrimaryLeavingNotReplacedInTimeGetsNoWork()
  {
    mFake->mIsLeaseFree = false;
    mFake->SetLeaving("a");
    mFake->Publish();
    mFake->Run(6s);
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(1100ms);
    CPPUNIT_ASSERT(caller->LastError());
    CPPUNIT_ASSERT(AnswerFor(*caller->LastError()).mOutcome == Outcome::NotRun);
    CPPUNIT_ASSERT(mFake->At("a").mRan.empty());
  }

  void ReplicaLeavingGetsNoReadWhileThePrimaryIsUnknown()
  {
    RelayRoute route;
    route.mDatabase = "db";
    route.mGroup = "g";
    route.mFreshness = Freshness::BoundedStaleness;
    route.mMaxAge = 5s;
    mFake->SetRoute(route);
    auto caller = mFake->Connect();
    caller->Send("READ 1");
    mFake->Run(100ms);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFake->At("b").mRan.size());
    mFake->mIsLeaseFree = false;
    mFake->SetLeaving("b");
    mFake->Publish();
    mFake->At("a").mRole = Role::Replica;
    mFake->Run(1000ms);
    CPPUNIT_ASSERT(!mFake->Group().View().Primary());
    caller->Send("READ 2");
    mFake->Run(200ms);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFake->At("b").mRan.size());
  }

  void ReplicaLeavingIsNotPromoted()
  {
    mFake->SetLeaving("c");
    mFake->Publish();
    mFake->At("a").mIsReachable = false;
    mFake->Run(3s);
    CPPUNIT_ASSERT(!mFake->mOrders.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), mFake->mOrders.front());
  }

  void FenceOfVanishedHolderIsReleased()
  {
    mFake->At("b").mFencedTerm = 2;
    mFake->Run(12s);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), mFake->At("b").mFencedTerm);
    CPPUNIT_ASSERT(mFake->mOrders.empty());
  }

  void WriteDuringFailoverIsServedByTheNewPrimary()
  {
    mFake->At("a").mIsReachable = false;
    auto first = mFake->Connect();
    first->Send("WRITE 1 x");
    mFake->Run(500ms);
    auto caller = mFake->Connect();
    caller->Send("WRITE 2 y");
    mFake->Run(900ms);
    // The first write was unanswered, so the second was not sent to the failed
    // primary.
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(!caller->LastError());
    const auto& successor = mFake->At(mFake->mOrders.front());
    CPPUNIT_ASSERT_EQUAL(size_t(1), successor.mRan.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTakeover);
