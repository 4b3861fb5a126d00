#include "PeerWorld.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Statements of callers at instances that are not home to the group, while
/// instances die, freeze, leave and differ in what they believe.
class TestForwarding : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestForwarding);
  CPPUNIT_TEST(FleetBeforeFewConnectionsOnlyHomesConnect);
  CPPUNIT_TEST(FleetWithAConnectionEachRunsItsStatementsItself);
  CPPUNIT_TEST(WritesRunAtTheHomeBesideThePrimary);
  CPPUNIT_TEST(AgedReadsRunAtTheHomeOfTheirDomain);
  CPPUNIT_TEST(OwnReadAfterForwardedWriteIncludesIt);
  CPPUNIT_TEST(ReadWhoseHomeIsKilledIsServedByAnother);
  CPPUNIT_TEST(ReadWhoseHomeIsFrozenIsServedByAnother);
  CPPUNIT_TEST(WriteWhoseHomeIsKilledIsInDoubtAndNotSentAgain);
  CPPUNIT_TEST(WriteWhoseHomeIsFrozenIsInDoubtAndNotSentAgain);
  CPPUNIT_TEST(WriteToHomeThatIsNotReachedRunsElsewhereOnce);
  CPPUNIT_TEST(WriteToFrozenHomeNotYetConnectedRunsElsewhereOnce);
  CPPUNIT_TEST(HomeCutOffStatementsDoNotWaitForItsReturn);
  CPPUNIT_TEST(HomeBackFromACutIsUsedAgain);
  CPPUNIT_TEST(HomeSlowToAnswerIsNotTakenForLost);
  CPPUNIT_TEST(TransactionStaysAtItsHome);
  CPPUNIT_TEST(TransactionWhoseHomeIsLostIsRolledBack);
  CPPUNIT_TEST(CommitWhoseHomeIsLostIsInDoubt);
  CPPUNIT_TEST(CallerGoneInTransactionLeavesNoneAtTheHome);
  CPPUNIT_TEST(CallerGoneDuringAStatementLeavesNoTransaction);
  CPPUNIT_TEST(ForwarderKilledItsTransactionsAreRolledBack);
  CPPUNIT_TEST(ForwarderFrozenItsTransactionExpiresAtTheHome);
  CPPUNIT_TEST(LeavingHomeEndsItsTransactionAndGetsNothingNew);
  CPPUNIT_TEST(LeavingHomeRollsBackWhatStaysOpen);
  CPPUNIT_TEST(AllHomesLostStatementsRunHere);
  CPPUNIT_TEST(ListsDifferStatementTakesOneHop);
  CPPUNIT_TEST(InstanceCutFromTheGroupPassesStatementsOn);
  CPPUNIT_TEST(PrimaryKilledIsReplacedByAHome);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<PeerWorld> mWorld;

  FakeUpstreams& Databases() { return mWorld->Databases(); }

  static std::string KindOf(const FakeUpstreams::Caller& aCaller)
  {
    const auto kind = aCaller.LastError();
    return kind ? std::string(AnswerFor(*kind).mName) : "none";
  }

  void AssertAnswered(const FakeUpstreams::Caller& aCaller)
  {
    CPPUNIT_ASSERT(aCaller.IsAnswered());
    CPPUNIT_ASSERT_EQUAL(std::string("none"), KindOf(aCaller));
  }

  size_t OpenTransactionsAt(const std::string& aName)
  {
    return mWorld->At(aName).mServer->BusyCount();
  }

public:
  /// 20 instances in four failure domains; databases stand in two of them and
  /// take 16 connections each.
  void setUp() override
  {
    mWorld = std::make_unique<PeerWorld>(
      20, std::vector<std::string>{ "d1", "d2", "d3", "d4" });
  }

  /// 200 instances, each with callers, and 16 connections a database: what is
  /// opened and asked follows the homes and not the fleet.
  void FleetBeforeFewConnectionsOnlyHomesConnect()
  {
    PeerWorld world(200, { "d1", "d2", "d3", "d4" });
    std::vector<std::unique_ptr<FakeUpstreams::Caller>> callers;
    for (size_t n = 0; n < world.Size(); ++n) {
      callers.push_back(world.Connect(world.At(n), Freshness::BoundedAge));
    }
    const auto probes = [&] {
      uint64_t n = 0;
      for (size_t it = 0; it < world.Size(); ++it) {
        const auto& counts = world.At(it).mRouter->FindGroup("g")->Counts();
        n += counts.mProbes + counts.mEvidenceRequests;
      }
      return n;
    };
    const auto before = probes();
    for (int round = 0; round < 10; ++round) {
      for (const auto& it : callers) {
        it->Say("READ 1");
      }
      world.Run(500ms);
    }
    for (const auto& it : callers) {
      AssertAnswered(*it);
    }
    size_t connected = 0;
    for (size_t it = 0; it < world.Size(); ++it) {
      connected += world.At(it).mOpenings > 0 ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(world.Plan().mHomes, connected);
    // At most one round of all databases each 250 ms and home.
    CPPUNIT_ASSERT(probes() - before <= 3 * world.Plan().mHomes * 20);
  }

  void FleetWithAConnectionEachRunsItsStatementsItself()
  {
    PeerWorld world(8, { "d1", "d2" });
    const auto caller = world.Connect(world.At(5));
    caller->Say("WRITE 1 x");
    world.Run(300ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), world.At(5).mCounts.mForwarded);
  }

  void WritesRunAtTheHomeBesideThePrimary()
  {
    // The primary "a" stands in d2.
    for (const auto* domain : { "d1", "d3", "d4" }) {
      const auto home = mWorld->HomeOf(mWorld->Outsider(domain), "WRITE 1 x");
      CPPUNIT_ASSERT_EQUAL(std::string("d2"),
                           mWorld->At(home).mInfo.mFailureDomain);
    }
  }

  void AgedReadsRunAtTheHomeOfTheirDomain()
  {
    auto& instance = mWorld->Outsider("d1");
    const auto caller = mWorld->Connect(instance, Freshness::BoundedAge);
    caller->Say("READ 1");
    mWorld->Run(300ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Databases().At("b").mRan.size());
  }

  void OwnReadAfterForwardedWriteIncludesIt()
  {
    const auto caller =
      mWorld->Connect(mWorld->Outsider("d1"), Freshness::OwnWrites);
    caller->Say("WRITE 1 x");
    mWorld->Run(300ms);
    AssertAnswered(*caller);
    const auto written = caller->Last().mPosition;
    caller->Say("READ 1");
    mWorld->Run(300ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT(caller->Last().mPosition >= written);
  }

  void ReadWhoseHomeIsKilledIsServedByAnother()
  {
    auto& instance = mWorld->Outsider("d1");
    const auto home = mWorld->HomeOf(instance, "READ 1");
    const auto caller = mWorld->Connect(instance);
    Databases().At("a").mIsMute = true;
    caller->Say("READ 2");
    mWorld->Run(5ms);
    mWorld->Kill(home);
    Databases().At("a").mIsMute = false;
    mWorld->Run(600ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), instance.mCounts.mRerouted);
  }

  void ReadWhoseHomeIsFrozenIsServedByAnother()
  {
    auto& instance = mWorld->Outsider("d1");
    const auto home = mWorld->HomeOf(instance, "READ 1");
    mWorld->Freeze(home, 5s);
    const auto caller = mWorld->Connect(instance);
    caller->Say("READ 2");
    // The silence of a peer and a read elsewhere.
    mWorld->Run(950ms);
    AssertAnswered(*caller);
  }

  void WriteWhoseHomeIsKilledIsInDoubtAndNotSentAgain()
  {
    auto& instance = mWorld->Outsider();
    const auto home = mWorld->HomeOf(instance, "READ 1");
    const auto caller = mWorld->Connect(instance);
    caller->Say("WRITE 1 doubt");
    mWorld->Run(2ms);
    mWorld->Kill(home);
    mWorld->Run(2s);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::OutcomeUnknown);
    CPPUNIT_ASSERT(mWorld->RunsOf("doubt") <= 1);
  }

  void WriteWhoseHomeIsFrozenIsInDoubtAndNotSentAgain()
  {
    auto& instance = mWorld->Outsider();
    const auto home = mWorld->HomeOf(instance, "READ 1");
    mWorld->Freeze(home, 3s);
    const auto caller = mWorld->Connect(instance);
    caller->Say("WRITE 1 doubt");
    mWorld->Run(2s);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::OutcomeUnknown);
    mWorld->Run(3s);
    CPPUNIT_ASSERT(mWorld->RunsOf("doubt") <= 1);
  }

  void WriteToHomeThatIsNotReachedRunsElsewhereOnce()
  {
    auto& instance = mWorld->Outsider();
    const auto home = mWorld->HomeOf(mWorld->Outsider("d4"), "WRITE 1 x");
    mWorld->At(home).mIsCut = true;
    const auto caller = mWorld->Connect(instance);
    caller->Say("WRITE 1 once");
    mWorld->Run(900ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mWorld->RunsOf("once"));
  }

  /// The kernel of a frozen instance still accepts connections.
  void WriteToFrozenHomeNotYetConnectedRunsElsewhereOnce()
  {
    const auto home = mWorld->HomeOf(mWorld->Outsider("d4"), "WRITE 1 x");
    mWorld->Freeze(home, 5s);
    const auto caller = mWorld->Connect(mWorld->Outsider("d3"));
    caller->Say("WRITE 1 once");
    mWorld->Run(900ms);
    AssertAnswered(*caller);
    mWorld->Run(5s);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mWorld->RunsOf("once"));
  }

  /// Many statements while a partition lasts: only those that were under way as
  /// it began wait for an instance on its other side.
  void HomeCutOffStatementsDoNotWaitForItsReturn()
  {
    auto& instance = mWorld->Outsider("d3");
    const auto home = mWorld->HomeOf(instance, "READ 1");
    mWorld->At(home).mIsCut = true;
    const auto caller = mWorld->Connect(instance);
    caller->Say("READ 1");
    mWorld->Run(1500ms);
    AssertAnswered(*caller);
    for (int n = 0; n < 60; ++n) {
      caller->Say("READ 1");
      mWorld->Run(100ms);
      AssertAnswered(*caller);
    }
  }

  void HomeBackFromACutIsUsedAgain()
  {
    auto& instance = mWorld->Outsider("d3");
    const auto home = mWorld->HomeOf(instance, "READ 1");
    mWorld->At(home).mIsCut = true;
    const auto caller = mWorld->Connect(instance);
    for (int n = 0; n < 6; ++n) {
      caller->Say("READ 1");
      mWorld->Run(1s);
    }
    mWorld->At(home).mIsCut = false;
    mWorld->Run(5s);
    CPPUNIT_ASSERT_EQUAL(home, mWorld->HomeOf(instance, "READ 1"));
  }

  /// A database that takes long to answer is no silence of the home.
  void HomeSlowToAnswerIsNotTakenForLost()
  {
    auto& instance = mWorld->Outsider();
    mWorld->HomeOf(instance, "READ 1");
    const auto caller = mWorld->Connect(instance);
    // A write that no replica receives waits for evidence.
    Databases().At("b").mIsReplicating = false;
    Databases().At("c").mIsReplicating = false;
    Databases().At("b").mIsReachable = false;
    Databases().At("c").mIsReachable = false;
    caller->Say("WRITE 1 slow");
    mWorld->Run(900ms);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), instance.mCounts.mRerouted);
    mWorld->Run(600ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(mWorld->RunsOf("slow") <= 1);
  }

  void TransactionStaysAtItsHome()
  {
    auto& instance = mWorld->Outsider();
    const auto caller = mWorld->Connect(instance);
    caller->Say("BEGIN");
    caller->Say("WRITE 1 x");
    mWorld->Run(300ms);
    AssertAnswered(*caller);
    caller->Say("SET name value");
    caller->Say("READ 1");
    mWorld->Run(300ms);
    AssertAnswered(*caller);
    caller->Say("COMMIT");
    mWorld->Run(300ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT(caller->Last().mState == TransactionState::None);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), instance.mCounts.mForwarded);
    CPPUNIT_ASSERT_EQUAL(size_t(3), Databases().At("a").mRan.size());
  }

  void TransactionWhoseHomeIsLostIsRolledBack()
  {
    auto& instance = mWorld->Outsider();
    const auto home = mWorld->HomeOf(instance, "READ 1");
    const auto caller = mWorld->Connect(instance);
    caller->Say("BEGIN");
    caller->Say("WRITE 1 x");
    mWorld->Run(300ms);
    AssertAnswered(*caller);
    mWorld->Kill(home);
    mWorld->Run(50ms);
    caller->Say("COMMIT");
    mWorld->Run(300ms);
    // A promise, and true: the commit was not sent.
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::UpstreamLost);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mWorld->RunsOf("COMMIT"));
  }

  void CommitWhoseHomeIsLostIsInDoubt()
  {
    auto& instance = mWorld->Outsider();
    const auto home = mWorld->HomeOf(instance, "READ 1");
    const auto caller = mWorld->Connect(instance);
    caller->Say("BEGIN");
    caller->Say("WRITE 1 x");
    mWorld->Run(300ms);
    caller->Say("COMMIT");
    mWorld->Run(2ms);
    mWorld->Kill(home);
    mWorld->Run(300ms);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::OutcomeUnknown);
    CPPUNIT_ASSERT(mWorld->RunsOf("COMMIT") <= 1);
  }

  void CallerGoneInTransactionLeavesNoneAtTheHome()
  {
    auto& instance = mWorld->Outsider();
    const auto home = mWorld->HomeOf(instance, "READ 1");
    auto caller = mWorld->Connect(instance);
    caller->Say("BEGIN");
    caller->Say("WRITE 1 x");
    mWorld->Run(300ms);
    CPPUNIT_ASSERT_EQUAL(size_t(1), OpenTransactionsAt(home));
    caller.reset();
    mWorld->Run(50ms);
    CPPUNIT_ASSERT_EQUAL(size_t(0), OpenTransactionsAt(home));
  }

  void CallerGoneDuringAStatementLeavesNoTransaction()
  {
    auto& instance = mWorld->Outsider();
    const auto home = mWorld->HomeOf(instance, "READ 1");
    for (const auto wait : { 1ms, 2ms, 3ms, 4ms, 5ms, 6ms, 8ms, 10ms }) {
      auto caller = mWorld->Connect(instance);
      caller->Say("BEGIN");
      caller->Say("WRITE 1 x");
      mWorld->Run(wait);
      caller.reset();
      mWorld->Run(200ms);
      CPPUNIT_ASSERT_EQUAL(size_t(0), OpenTransactionsAt(home));
    }
  }

  void ForwarderKilledItsTransactionsAreRolledBack()
  {
    auto& instance = mWorld->Outsider();
    const auto home = mWorld->HomeOf(instance, "READ 1");
    const auto caller = mWorld->Connect(instance);
    caller->Say("BEGIN");
    caller->Say("WRITE 1 x");
    mWorld->Run(300ms);
    mWorld->Kill(instance.mInfo.mName);
    mWorld->Run(50ms);
    CPPUNIT_ASSERT_EQUAL(size_t(0), OpenTransactionsAt(home));
  }

  void ForwarderFrozenItsTransactionExpiresAtTheHome()
  {
    auto& instance = mWorld->Outsider();
    const auto home = mWorld->HomeOf(instance, "READ 1");
    const auto caller = mWorld->Connect(instance);
    caller->Say("BEGIN");
    caller->Say("WRITE 1 x");
    mWorld->Run(300ms);
    mWorld->Freeze(instance.mInfo.mName, 7s);
    mWorld->Run(6s);
    CPPUNIT_ASSERT_EQUAL(size_t(0), OpenTransactionsAt(home));
    mWorld->Run(1500ms);
    caller->Say("COMMIT");
    mWorld->Run(300ms);
    CPPUNIT_ASSERT(AnswerFor(*caller->LastError()).mOutcome == Outcome::NotRun);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mWorld->RunsOf("COMMIT"));
  }

  void LeavingHomeEndsItsTransactionAndGetsNothingNew()
  {
    auto& instance = mWorld->Outsider();
    const auto home = mWorld->HomeOf(instance, "READ 1");
    const auto caller = mWorld->Connect(instance);
    caller->Say("BEGIN");
    caller->Say("WRITE 1 x");
    mWorld->Run(300ms);
    mWorld->At(home).mServer->Leave();
    mWorld->Run(10ms);
    const auto served = mWorld->At(home).mServer->ServedCount();
    const auto other = mWorld->Connect(instance);
    other->Say("WRITE 2 y");
    mWorld->Run(300ms);
    AssertAnswered(*other);
    CPPUNIT_ASSERT_EQUAL(served, mWorld->At(home).mServer->ServedCount());
    caller->Say("COMMIT");
    mWorld->Run(300ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mWorld->At(home).mServer->BusyCount());
  }

  void LeavingHomeRollsBackWhatStaysOpen()
  {
    auto& instance = mWorld->Outsider();
    const auto home = mWorld->HomeOf(instance, "READ 1");
    const auto caller = mWorld->Connect(instance);
    caller->Say("BEGIN");
    caller->Say("WRITE 1 x");
    mWorld->Run(300ms);
    mWorld->At(home).mServer->Leave();
    mWorld->At(home).mServer->AbandonTransactions();
    CPPUNIT_ASSERT_EQUAL(size_t(0), OpenTransactionsAt(home));
    caller->Say("COMMIT");
    mWorld->Run(300ms);
    CPPUNIT_ASSERT(AnswerFor(*caller->LastError()).mOutcome == Outcome::NotRun);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mWorld->RunsOf("COMMIT"));
  }

  void AllHomesLostStatementsRunHere()
  {
    auto& instance = mWorld->Outsider();
    const auto ranked = mWorld->Plan().mRanked;
    for (const auto& it : ranked) {
      mWorld->Kill(it.mName);
    }
    const auto caller = mWorld->Connect(instance);
    caller->Say("WRITE 1 here");
    mWorld->Run(900ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mWorld->RunsOf("here"));
    CPPUNIT_ASSERT(instance.mOpenings > 0);
  }

  /// Two instances that each take the other for the only home.
  void ListsDifferStatementTakesOneHop()
  {
    auto& one = mWorld->At(2);
    auto& two = mWorld->At(3);
    auto seenByOne = mWorld->Fleet();
    auto seenByTwo = seenByOne;
    const auto keep = [](auto& aFleet, const std::string& aName) {
      for (auto& it : aFleet) {
        it.mIsLeaving = it.mName != aName;
      }
    };
    keep(seenByOne, two.mInfo.mName);
    keep(seenByTwo, one.mInfo.mName);
    mWorld->SetFleet(one, seenByOne);
    mWorld->SetFleet(two, seenByTwo);
    const auto caller = mWorld->Connect(one);
    caller->Say("WRITE 1 hop");
    mWorld->Run(900ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), one.mCounts.mForwarded);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), two.mCounts.mForwarded);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mWorld->RunsOf("hop"));
  }

  /// A small fleet, where each instance has connections of its own.
  void InstanceCutFromTheGroupPassesStatementsOn()
  {
    PeerWorld world(8, { "d1", "d2" });
    auto& instance = world.At(0);
    const auto before = world.Connect(instance);
    before->Say("READ 1");
    world.Run(300ms);
    AssertAnswered(*before);
    // It reaches the primary, but none of the replicas.
    instance.mUnreached = { "b", "c" };
    const auto caller = world.Connect(instance);
    for (int n = 0; n < 4; ++n) {
      caller->Say("READ 2");
      world.Run(1s);
    }
    AssertAnswered(*caller);
  }

  void PrimaryKilledIsReplacedByAHome()
  {
    auto& instance = mWorld->Outsider();
    const auto caller = mWorld->Connect(instance);
    Databases().At("a").mIsReachable = false;
    Databases().At("a").mIsReplicating = false;
    for (int n = 0; n < 4; ++n) {
      caller->Say("WRITE 1 x");
      mWorld->Run(1200ms);
    }
    AssertAnswered(*caller);
    CPPUNIT_ASSERT(!Databases().mOrders.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestForwarding);
