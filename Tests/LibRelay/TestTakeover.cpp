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
  CPPUNIT_TEST(PrimaryLeavingReplicaThatIsAheadIsPromoted);
  CPPUNIT_TEST(PrimaryLeavingWritesGoOnBesideAReplicaThatReceivesNothing);
  CPPUNIT_TEST(PrimaryLeavingSuccessorThatCatchesUpIsPromoted);
  CPPUNIT_TEST(PrimaryLeavingSuccessorThatLostItsLogIsNotPromoted);
  CPPUNIT_TEST(PrimaryLeavingAndReplicaGoneSuccessorCatchesUpFirst);
  CPPUNIT_TEST(PrimaryLeavingOrderRefusedPrimaryKeepsServing);
  CPPUNIT_TEST(PrimaryLeavingNotReplacedInTimeGetsNoWork);
  CPPUNIT_TEST(ReplicaLeavingGetsNoReadWhileThePrimaryIsUnknown);
  CPPUNIT_TEST(ReplicaLeavingIsNotPromoted);
  CPPUNIT_TEST(ReplicaLeavingThatIsAheadIsPromoted);
  CPPUNIT_TEST(ReplicaAheadOutOfReachNothingIsOrdered);
  CPPUNIT_TEST(ReplicaAheadRefusedNoOtherMemberIsPromoted);
  CPPUNIT_TEST(FenceLiftedBeforeTheOrderIsRepeatedIsRenewed);
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

  /// Lets the primary write at other instances while a replica receives
  /// nothing, and leave. This instance last heard of the replicas when both had
  /// received the same.
  void LeaveBesideDeafReplica(const std::string& aDeaf)
  {
    mFake->At(aDeaf).mIsReplicating = false;
    mFake->At("a").mReceived = mFake->At("a").mApplied = { 1, 15 };
    mFake->Run(2ms);
    mFake->SetLeaving("a");
    mFake->Publish();
  }

  /// Guards against the loss of acknowledged writes at a planned replacement:
  /// the replica with the newest status receives nothing, and the other one has
  /// received more than its last status says.
  void PrimaryLeavingReplicaThatIsAheadIsPromoted()
  {
    for (const auto& [deaf, other] :
         { std::pair("b", "c"), std::pair("c", "b") }) {
      setUp();
      LeaveBesideDeafReplica(deaf);
      mFake->Run(1s);
      CPPUNIT_ASSERT_EQUAL(size_t(1), mFake->mOrders.size());
      CPPUNIT_ASSERT_EQUAL(std::string(other), mFake->mOrders.front());
      CPPUNIT_ASSERT(mFake->At(other).mReceived >= LogPosition(1, 15));
    }
  }

  /// The replica that is to be promoted keeps receiving, so that writes are
  /// acknowledged until the promotion takes effect.
  void PrimaryLeavingWritesGoOnBesideAReplicaThatReceivesNothing()
  {
    mFake->mIsPromoting = false;
    LeaveBesideDeafReplica("b");
    while (mFake->mOrders.empty()) {
      mFake->Run(20ms);
    }
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(100ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(!caller->LastError());
    CPPUNIT_ASSERT(mFake->At(mFake->mOrders.front()).mReceived ==
                   mFake->At("a").mReceived);
  }

  void PrimaryLeavingSuccessorThatCatchesUpIsPromoted()
  {
    LeaveBesideDeafReplica("b");
    mFake->Run(60ms);
    CPPUNIT_ASSERT(mFake->mOrders.empty());
    mFake->At("b").mIsReplicating = true;
    mFake->Run(60ms);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFake->mOrders.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), mFake->mOrders.front());
  }

  /// The directory still lists the database that started again as before.
  void PrimaryLeavingSuccessorThatLostItsLogIsNotPromoted()
  {
    mFake->At("b").mReceived = mFake->At("b").mApplied = { 0, 0 };
    mFake->At("b").mIsReplicating = false;
    mFake->SetLeaving("a");
    mFake->Publish();
    mFake->Run(1s);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFake->mOrders.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), mFake->mOrders.front());
  }

  /// Guards against the loss of writes that a replica acknowledged which is
  /// gone: only the leaving primary still has them.
  void PrimaryLeavingAndReplicaGoneSuccessorCatchesUpFirst()
  {
    mFake->RemoveMember("c");
    LeaveBesideDeafReplica("b");
    mFake->Run(2s);
    CPPUNIT_ASSERT(mFake->mOrders.empty());
    mFake->At("b").mIsReplicating = true;
    mFake->Run(1s);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFake->mOrders.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), mFake->mOrders.front());
  }

  void PrimaryLeavingOrderRefusedPrimaryKeepsServing()
  {
    mFake->mIsPromoting = false;
    mFake->SetLeaving("a");
    mFake->Publish();
    while (mFake->mOrders.empty()) {
      mFake->Run(20ms);
    }
    const auto first = mFake->mOrders.front();
    mFake->Group().OnPromotionAnswer(first, PromotionAnswer::Refused);
    mFake->Run(200ms);
    CPPUNIT_ASSERT(mFake->mOrders.back() != first);
    CPPUNIT_ASSERT(mFake->At("a").mRole == Role::Primary);
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(50ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(!caller->LastError());
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

  /// A leaving replica counts towards acknowledgements until it ends.
  void ReplicaLeavingThatIsAheadIsPromoted()
  {
    mFake->At("c").mReceived = { 1, 12 };
    mFake->SetLeaving("c");
    mFake->Publish();
    mFake->At("a").mIsReachable = false;
    mFake->At("a").mIsReplicating = false;
    mFake->Run(3s);
    CPPUNIT_ASSERT(!mFake->mOrders.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), mFake->mOrders.front());
  }

  /// Guards against the loss of writes that only the primary, which is silent,
  /// and the replica that was reached last have received.
  void ReplicaAheadOutOfReachNothingIsOrdered()
  {
    mFake->At("c").mReceived = { 1, 12 };
    mFake->At("a").mIsReplicating = false;
    mFake->At("a").mIsReachable = false;
    while (mFake->At("c").mFencedTerm == 0) {
      mFake->Run(1ms);
    }
    mFake->Run(3ms);
    mFake->At("c").mIsReachable = false;
    mFake->ResetConnections("c");
    mFake->Run(3s);
    CPPUNIT_ASSERT(mFake->mOrders.empty());
    mFake->At("c").mIsReachable = true;
    mFake->Run(3s);
    CPPUNIT_ASSERT(!mFake->mOrders.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), mFake->mOrders.front());
  }

  void ReplicaAheadRefusedNoOtherMemberIsPromoted()
  {
    mFake->mIsPromoting = false;
    mFake->At("c").mReceived = { 1, 12 };
    mFake->At("a").mIsReplicating = false;
    mFake->At("a").mIsReachable = false;
    while (mFake->mOrders.empty()) {
      mFake->Run(20ms);
    }
    mFake->Group().OnPromotionAnswer("c", PromotionAnswer::Refused);
    mFake->Run(3s);
    CPPUNIT_ASSERT(std::ranges::all_of(
      mFake->mOrders, [](const auto& it) { return it == "c"; }));
    CPPUNIT_ASSERT(mFake->mOrders.size() > 1);
  }

  /// Another holder of the lease may have lifted the fence, and the replica
  /// received more since.
  void FenceLiftedBeforeTheOrderIsRepeatedIsRenewed()
  {
    mFake->mIsPromoting = false;
    mFake->At("a").mIsReachable = false;
    while (mFake->mOrders.empty()) {
      mFake->Run(20ms);
    }
    const auto first = mFake->mOrders.front();
    const auto* other = first == "b" ? "c" : "b";
    mFake->At(other).mFencedTerm = 0;
    mFake->At("a").mReceived = { 1, 19 };
    mFake->Run(2s);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFake->mOrders.size());
    CPPUNIT_ASSERT(mFake->At(other).mFencedTerm != 0);
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
