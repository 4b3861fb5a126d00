#include "FakeUpstreams.h"

#include "platform/LineCallerProtocol.h"

#include <algorithm>
#include <array>
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
  CPPUNIT_TEST(PrimaryLeavingWriteOfAnInstanceWithAShortListIsNotLost);
  CPPUNIT_TEST(PrimaryDeadWriteOfAnInstanceWithAShortListIsNotLost);
  CPPUNIT_TEST(PrimaryDeadMemberNoLongerListedNothingIsOrderedAtOnce);
  CPPUNIT_TEST(PrimaryDeadNewMemberThatDoesNotAnswerIsNotWaitedFor);
  CPPUNIT_TEST(PrimaryLeavingNewMemberIsNotPromoted);
  CPPUNIT_TEST(PrimaryLeavingAmongFourVotersStepsDownBeforeTheOrder);
  CPPUNIT_TEST(PrimaryThatSteppedDownWithTheOnlyFullLogLeadsAgain);
  CPPUNIT_TEST(WriteWhileAllReplicasAreFencedIsNotSent);
  CPPUNIT_TEST(WriteDuringFailoverIsServedByTheNewPrimary);
  CPPUNIT_TEST_SUITE_END();

  /// After this time a new member votes, and the former list is forgotten.
  static constexpr Milliseconds kSettlingTime =
    std::chrono::ceil<Milliseconds>(GroupView::kVotingDelay +
                                    GroupView::kListRetention) +
    1s;

  std::unique_ptr<FakeUpstreams> mFake;

  /// Another instance that uses the same databases, knows the present
  /// directory, and never gets the promotion lease.
  std::unique_ptr<RelayRouter> MakeOtherInstance()
  {
    auto environment = mFake->MakeEnvironment();
    environment.mLeaseGrant = [] { return std::optional<LeaseGrant>(); };
    environment.mAcquireLease = [](const std::string&) {};
    auto router = std::make_unique<RelayRouter>(std::move(environment));
    router->ApplyConfigurationIfNewer(mFake->Configuration());
    router->SetDirectory(mFake->Entries());
    router->FindGroup("g")->SetPlacement({ true, 2 });
    mFake->mOnStep = [&other = *router, n = 0]() mutable {
      if (++n % 20 == 0) {
        other.Tick();
      }
    };
    mFake->Run(200ms);
    return router;
  }

  /// Writes at another instance, and returns whether that was acknowledged
  /// within aTime.
  bool IsAcknowledged(RelayRouter& aRouter, Milliseconds aTime)
  {
    std::vector<StatementAnswer> answers;
    const auto session = std::make_shared<RelaySession>(
      aRouter, "db", std::string(), [&](const StatementAnswer& aAnswer) {
        answers.push_back(aAnswer);
      });
    session->Handle(platform::ParseStatement("w", "WRITE 1 x").Value());
    mFake->Run(aTime);
    return !answers.empty() && !answers.front().mError;
  }

  void AwaitOrder()
  {
    for (int it = 0; it < 200 && mFake->mOrders.empty(); ++it) {
      mFake->Run(5ms);
    }
    CPPUNIT_ASSERT(!mFake->mOrders.empty());
  }

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

  /// Guards against a write that an instance whose list lacks the newest member
  /// acknowledges by a replica that is not fenced, while the successor receives
  /// nothing.
  void PrimaryLeavingWriteOfAnInstanceWithAShortListIsNotLost()
  {
    const auto other = MakeOtherInstance();
    mFake->mIsPromoting = false;
    mFake->AddMember("0", Role::Replica);
    mFake->Publish();
    mFake->Run(200ms);
    mFake->SetLeaving("a");
    mFake->Publish();
    AwaitOrder();
    auto& successor = mFake->At(mFake->mOrders.front());
    successor.mIsReplicating = false;
    const bool isAcknowledged = IsAcknowledged(*other, 300ms);
    const auto written = mFake->At("a").mReceived;
    CPPUNIT_ASSERT(!isAcknowledged || successor.mReceived >= written);
    mFake->mOnStep = nullptr;
  }

  /// Guards against a failover without the one replica by which an instance
  /// whose list lacks the newest member acknowledged a write.
  void PrimaryDeadWriteOfAnInstanceWithAShortListIsNotLost()
  {
    const auto other = MakeOtherInstance();
    mFake->AddMember("0", Role::Replica);
    mFake->Publish();
    mFake->Run(kSettlingTime);
    mFake->At("b").mIsReplicating = false;
    mFake->At("0").mIsReplicating = false;
    CPPUNIT_ASSERT(IsAcknowledged(*other, 300ms));
    mFake->At("a").mIsReachable = false;
    mFake->At("c").mIsReachable = false;
    mFake->Run(4s);
    CPPUNIT_ASSERT(mFake->mOrders.empty());
    mFake->At("c").mIsReachable = true;
    mFake->Run(3s);
    CPPUNIT_ASSERT(!mFake->mOrders.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), mFake->mOrders.front());
    mFake->mOnStep = nullptr;
  }

  /// Other instances may still acknowledge by the member that is missing here.
  void PrimaryDeadMemberNoLongerListedNothingIsOrderedAtOnce()
  {
    mFake->RemoveMember("c");
    mFake->Publish();
    mFake->At("a").mIsReachable = false;
    mFake->Run(3s);
    CPPUNIT_ASSERT(mFake->mOrders.empty());
    mFake->Run(kSettlingTime);
    CPPUNIT_ASSERT(!mFake->mOrders.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), mFake->mOrders.front());
  }

  void PrimaryDeadNewMemberThatDoesNotAnswerIsNotWaitedFor()
  {
    mFake->AddMember("0", Role::Replica);
    mFake->At("0").mIsReachable = false;
    mFake->Publish();
    mFake->At("a").mIsReachable = false;
    mFake->Run(3s);
    CPPUNIT_ASSERT(!mFake->mOrders.empty());
  }

  /// With a member that votes as the successor, the primary keeps serving.
  void PrimaryLeavingNewMemberIsNotPromoted()
  {
    mFake->mIsPromoting = false;
    mFake->AddMember("0", Role::Replica);
    mFake->At("0").mReceived = { 1, 11 };
    mFake->SetLeaving("a");
    mFake->Publish();
    AwaitOrder();
    CPPUNIT_ASSERT(mFake->mOrders.front() != "0");
    CPPUNIT_ASSERT(mFake->At("a").mRole == Role::Primary);
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(100ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(!caller->LastError());
  }

  void PrimaryLeavingAmongFourVotersStepsDownBeforeTheOrder()
  {
    mFake->mIsPromoting = false;
    mFake->AddMember("0", Role::Replica);
    mFake->Publish();
    mFake->Run(kSettlingTime);
    mFake->SetLeaving("a");
    mFake->Publish();
    AwaitOrder();
    CPPUNIT_ASSERT(mFake->At("a").mRole == Role::Replica);
    CPPUNIT_ASSERT(mFake->At(mFake->mOrders.front()).mReceived >=
                   mFake->At("a").mReceived);
  }

  /// Guards against a group without a primary when no successor received the
  /// last writes before the primary stepped down.
  void PrimaryThatSteppedDownWithTheOnlyFullLogLeadsAgain()
  {
    mFake->AddMember("0", Role::Replica);
    mFake->Publish();
    mFake->Run(kSettlingTime);
    mFake->mOnStep = [this] {
      auto& primary = mFake->At("a");
      const bool isFencing =
        std::ranges::any_of(std::array{ "b", "c", "0" }, [&](const auto* it) {
          return mFake->At(it).mFencedTerm != 0;
        });
      if (isFencing && primary.mRole == Role::Primary) {
        primary.mIsReplicating = false;
        ++primary.mReceived.mOffset;
      }
    };
    mFake->SetLeaving("a");
    mFake->Publish();
    AwaitOrder();
    CPPUNIT_ASSERT_EQUAL(std::string("a"), mFake->mOrders.front());
    mFake->mOnStep = nullptr;
  }

  /// Guards against writes with an unknown outcome that no replica can confirm.
  void WriteWhileAllReplicasAreFencedIsNotSent()
  {
    mFake->mIsLeaseFree = false;
    mFake->At("b").mFencedTerm = 2;
    mFake->At("c").mFencedTerm = 2;
    mFake->Run(1600ms);
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(200ms);
    CPPUNIT_ASSERT(mFake->At("a").mRan.empty());
    mFake->At("b").mFencedTerm = 0;
    mFake->Run(300ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(!caller->LastError());
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
