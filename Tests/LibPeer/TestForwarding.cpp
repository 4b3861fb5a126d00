#include "SimulatedFleet.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Statements of callers at instances that are not home to the group, while
/// instances fail, freeze, shut down, or have different lists of live
/// instances.
class TestForwarding : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestForwarding);
  CPPUNIT_TEST(FleetLargerThanItsConnectionsOnlyHomesConnect);
  CPPUNIT_TEST(FleetWithinConnectionLimitRunsItsStatementsLocally);
  CPPUNIT_TEST(WritesRunAtTheHomeInThePrimarysDomain);
  CPPUNIT_TEST(AgedReadsRunAtTheHomeOfTheirDomain);
  CPPUNIT_TEST(OwnReadAfterForwardedWriteIncludesIt);
  CPPUNIT_TEST(OwnReadAtAHomeThatMissedTheReplacementIncludesTheWrite);
  CPPUNIT_TEST(ReadWhoseHomeIsKilledIsServedByAnother);
  CPPUNIT_TEST(ReadWhoseHomeIsFrozenIsServedByAnother);
  CPPUNIT_TEST(WriteWhoseHomeIsKilledEndsWithUnknownOutcomeAndIsNotRetried);
  CPPUNIT_TEST(WriteWhoseHomeIsFrozenEndsWithUnknownOutcomeAndIsNotRetried);
  CPPUNIT_TEST(WriteToUnreachableHomeRunsElsewhereOnce);
  CPPUNIT_TEST(WriteToFrozenHomeNotYetConnectedRunsElsewhereOnce);
  CPPUNIT_TEST(WriteExpiredBeforeItsHomeConnectsIsNotSentToIt);
  CPPUNIT_TEST(WriteReroutedBeforeItsHomeConnectsRunsOnce);
  CPPUNIT_TEST(WriteSentAfterAStallExpiresAtItsHome);
  CPPUNIT_TEST(HomePartitionedStatementsDoNotWaitForItsReturn);
  CPPUNIT_TEST(HomeIsUsedAgainAfterPartition);
  CPPUNIT_TEST(HomeSlowToAnswerDoesNotCountAsFailed);
  CPPUNIT_TEST(TransactionStaysAtItsHome);
  CPPUNIT_TEST(TransactionWhoseHomeIsLostIsRolledBack);
  CPPUNIT_TEST(CommitWhoseHomeIsLostEndsWithUnknownOutcome);
  CPPUNIT_TEST(CallerDisconnectInTransactionLeavesNoneAtTheHome);
  CPPUNIT_TEST(CallerDisconnectDuringStatementLeavesNoTransaction);
  CPPUNIT_TEST(ForwarderKilledItsTransactionsAreRolledBack);
  CPPUNIT_TEST(ForwarderFrozenItsTransactionExpiresAtTheHome);
  CPPUNIT_TEST(LeavingHomeCompletesItsTransactionAndGetsNothingNew);
  CPPUNIT_TEST(LeavingHomeRollsBackWhatStaysOpen);
  CPPUNIT_TEST(LeavingHomeDeclinesLateStatementsWhichRunElsewhere);
  CPPUNIT_TEST(ForwardedWriteAbandonedIsNotRunOnlyIfItWasUnsent);
  CPPUNIT_TEST(AllHomesFailedStatementsRunLocally);
  CPPUNIT_TEST(InstanceListsDifferStatementIsForwardedOnce);
  CPPUNIT_TEST(InstancePartitionedFromTheGroupForwardsStatements);
  CPPUNIT_TEST(PrimaryKilledIsReplacedByAHome);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<SimulatedFleet> mFleet;

  FakeUpstreams& Databases() { return mFleet->Databases(); }

  static std::string LastErrorName(const FakeUpstreams::Caller& aCaller)
  {
    const auto kind = aCaller.LastError();
    return kind ? std::string(AnswerFor(*kind).mName) : "none";
  }

  void AssertAnswered(const FakeUpstreams::Caller& aCaller)
  {
    CPPUNIT_ASSERT(aCaller.IsAnswered());
    CPPUNIT_ASSERT_EQUAL(std::string("none"), LastErrorName(aCaller));
  }

  size_t InFlightCountAt(const std::string& aName)
  {
    return mFleet->At(aName).mServer->InFlightCount();
  }

public:
  /// 20 instances in four failure domains. Databases are in two of them and
  /// accept 16 connections each.
  void setUp() override
  {
    mFleet = std::make_unique<SimulatedFleet>(
      20, std::vector<std::string>{ "d1", "d2", "d3", "d4" });
  }

  /// 200 instances, each with a caller, and 16 connections per database: the
  /// numbers of connections and status requests depend on the number of homes
  /// and not on the size of the fleet.
  void FleetLargerThanItsConnectionsOnlyHomesConnect()
  {
    SimulatedFleet fleet(200, { "d1", "d2", "d3", "d4" });
    std::vector<std::unique_ptr<FakeUpstreams::Caller>> callers;
    for (size_t n = 0; n < fleet.Size(); ++n) {
      callers.push_back(
        fleet.Connect(fleet.At(n), Freshness::BoundedStaleness));
    }
    const auto probes = [&] {
      uint64_t n = 0;
      for (size_t it = 0; it < fleet.Size(); ++it) {
        const auto& counts = fleet.At(it).mRouter->FindGroup("g")->Counts();
        n += counts.mProbes + counts.mEvidenceRequests;
      }
      return n;
    };
    const auto before = probes();
    for (int round = 0; round < 10; ++round) {
      for (const auto& it : callers) {
        it->Send("READ 1");
      }
      fleet.Run(500ms);
    }
    for (const auto& it : callers) {
      AssertAnswered(*it);
    }
    size_t connected = 0;
    for (size_t it = 0; it < fleet.Size(); ++it) {
      connected += fleet.At(it).mOpenedConnections > 0 ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(fleet.Plan().mHomes, connected);
    // At most one round of requests to all databases per home and 250 ms.
    CPPUNIT_ASSERT(probes() - before <= 3 * fleet.Plan().mHomes * 20);
  }

  void FleetWithinConnectionLimitRunsItsStatementsLocally()
  {
    SimulatedFleet fleet(8, { "d1", "d2" });
    const auto caller = fleet.Connect(fleet.At(5));
    caller->Send("WRITE 1 x");
    fleet.Run(300ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), fleet.At(5).mCounts.mForwarded);
  }

  void WritesRunAtTheHomeInThePrimarysDomain()
  {
    // The primary "a" is in d2.
    for (const auto* domain : { "d1", "d3", "d4" }) {
      const auto home =
        mFleet->FindServingHome(mFleet->NonHome(domain), "WRITE 1 x");
      CPPUNIT_ASSERT_EQUAL(std::string("d2"),
                           mFleet->At(home).mInfo.mFailureDomain);
    }
  }

  void AgedReadsRunAtTheHomeOfTheirDomain()
  {
    auto& instance = mFleet->NonHome("d1");
    const auto caller = mFleet->Connect(instance, Freshness::BoundedStaleness);
    caller->Send("READ 1");
    mFleet->Run(300ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Databases().At("b").mRan.size());
  }

  void OwnReadAfterForwardedWriteIncludesIt()
  {
    const auto caller =
      mFleet->Connect(mFleet->NonHome("d1"), Freshness::ReadYourWrites);
    caller->Send("WRITE 1 x");
    mFleet->Run(300ms);
    AssertAnswered(*caller);
    const auto written = caller->Last().mPosition;
    caller->Send("READ 1");
    mFleet->Run(300ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT(caller->Last().mPosition >= written);
  }

  /// Guards against reads at a replaced primary that lacks the session's write:
  /// another home, which knows the next primary, acknowledged it.
  void OwnReadAtAHomeThatMissedTheReplacementIncludesTheWrite()
  {
    for (const auto mode : { TransactionMode::None,
                             TransactionMode::ReadOnly,
                             TransactionMode::ReadWrite }) {
      setUp();
      auto& home = mFleet->At(mFleet->Plan().mRanked.front().mName);
      Databases().Promote("b");
      Databases().At("b").mReceived = { 2, 11 };
      Databases().At("b").mApplied = { 2, 11 };
      Databases().At("a").mIsApplying = false;
      mFleet->Run(2ms);
      std::vector<ForwardAnswer> answers;
      const auto session = home.mServer->Accept([&](const PeerMessage& it) {
        if (const auto* answer = std::get_if<ForwardAnswer>(&it)) {
          answers.push_back(*answer);
        }
      });
      ForwardStatement read;
      read.mCall = 1;
      read.mStatement.mText = "READ own";
      read.mRoute.mGroup = "g";
      read.mRoute.mFreshness = Freshness::ReadYourWrites;
      read.mRoute.mMaxAge = 1500ms;
      read.mMode = mode;
      read.mLastWritePosition = LogPosition{ 2, 11 };
      CPPUNIT_ASSERT(
        !session->Handle(PeerHello{ PeerHello::kVersion, "entry" }).IsError());
      CPPUNIT_ASSERT(!session->Handle(read).IsError());
      mFleet->Run(100ms);
      CPPUNIT_ASSERT_EQUAL(size_t(1), answers.size());
      CPPUNIT_ASSERT(!answers.front().mAnswer.mError);
      CPPUNIT_ASSERT(Databases().At("a").mRan.empty());
    }
  }

  void ReadWhoseHomeIsKilledIsServedByAnother()
  {
    auto& instance = mFleet->NonHome("d1");
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    const auto caller = mFleet->Connect(instance);
    Databases().At("a").mLosesAllAnswers = true;
    caller->Send("READ 2");
    mFleet->Run(5ms);
    mFleet->Kill(home);
    Databases().At("a").mLosesAllAnswers = false;
    mFleet->Run(600ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), instance.mCounts.mRerouted);
  }

  void ReadWhoseHomeIsFrozenIsServedByAnother()
  {
    auto& instance = mFleet->NonHome("d1");
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    mFleet->Freeze(home, 5s);
    const auto caller = mFleet->Connect(instance);
    caller->Send("READ 2");
    // Enough for the liveness timeout of a peer and a read at another instance.
    mFleet->Run(950ms);
    AssertAnswered(*caller);
  }

  void WriteWhoseHomeIsKilledEndsWithUnknownOutcomeAndIsNotRetried()
  {
    auto& instance = mFleet->NonHome();
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    const auto caller = mFleet->Connect(instance);
    caller->Send("WRITE 1 doubt");
    mFleet->Run(2ms);
    mFleet->Kill(home);
    mFleet->Run(2s);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::OutcomeUnknown);
    CPPUNIT_ASSERT(mFleet->CountRuns("doubt") <= 1);
  }

  void WriteWhoseHomeIsFrozenEndsWithUnknownOutcomeAndIsNotRetried()
  {
    auto& instance = mFleet->NonHome();
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    mFleet->Freeze(home, 3s);
    const auto caller = mFleet->Connect(instance);
    caller->Send("WRITE 1 doubt");
    mFleet->Run(2s);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::OutcomeUnknown);
    mFleet->Run(3s);
    CPPUNIT_ASSERT(mFleet->CountRuns("doubt") <= 1);
  }

  void WriteToUnreachableHomeRunsElsewhereOnce()
  {
    auto& instance = mFleet->NonHome();
    const auto home =
      mFleet->FindServingHome(mFleet->NonHome("d4"), "WRITE 1 x");
    mFleet->At(home).mIsPartitioned = true;
    const auto caller = mFleet->Connect(instance);
    caller->Send("WRITE 1 once");
    mFleet->Run(900ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFleet->CountRuns("once"));
  }

  /// The kernel of a frozen instance still accepts connections, so the hello
  /// message is what tells that the instance runs.
  void WriteToFrozenHomeNotYetConnectedRunsElsewhereOnce()
  {
    const auto home =
      mFleet->FindServingHome(mFleet->NonHome("d4"), "WRITE 1 x");
    mFleet->Freeze(home, 5s);
    const auto caller = mFleet->Connect(mFleet->NonHome("d3"));
    caller->Send("WRITE 1 once");
    mFleet->Run(900ms);
    AssertAnswered(*caller);
    mFleet->Run(5s);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFleet->CountRuns("once"));
  }

  /// Guards against a write that is answered as not run, or runs elsewhere, and
  /// is sent to its first home later: both instances freeze while the
  /// connection between them is being opened, for various times.
  void WriteExpiredBeforeItsHomeConnectsIsNotSentToIt()
  {
    const auto home =
      mFleet->FindServingHome(mFleet->NonHome("d4"), "WRITE 1 x");
    size_t expired = 0;
    for (const auto frozen : { 900ms, 1300ms, 2500ms }) {
      for (const auto longer : { -100ms, 100ms, 400ms }) {
        SimulatedFleet fleet(20, { "d1", "d2", "d3", "d4" });
        auto& entry = fleet.NonHome("d3");
        const auto caller = fleet.Connect(entry);
        fleet.Freeze(home, 100ms + frozen + longer);
        caller->Send("WRITE 1 once");
        fleet.Run(100ms);
        fleet.Freeze(entry.mInfo.mName, frozen);
        fleet.Run(frozen + 6s);
        CPPUNIT_ASSERT(caller->IsAnswered());
        const auto runs = fleet.CountRuns("once");
        CPPUNIT_ASSERT(runs <= 1);
        if (const auto error = caller->LastError()) {
          const bool isNotRun = AnswerFor(*error).mOutcome == Outcome::NotRun;
          CPPUNIT_ASSERT(!isNotRun || runs == 0);
          expired += error == ErrorKind::DeadlinePassed ? 1 : 0;
        }
      }
    }
    CPPUNIT_ASSERT(expired > 0);
  }

  /// Guards against the same with a list of instances in which the home has
  /// another address.
  void WriteReroutedBeforeItsHomeConnectsRunsOnce()
  {
    const auto home =
      mFleet->FindServingHome(mFleet->NonHome("d4"), "WRITE 1 x");
    auto& entry = mFleet->NonHome("d3");
    mFleet->Freeze(home, 200ms);
    const auto caller = mFleet->Connect(entry);
    caller->Send("WRITE 1 once");
    mFleet->Run(50ms);
    auto instances = mFleet->ListInstances();
    const auto moved = std::ranges::find(instances, home, &InstanceInfo::mName);
    moved->mAddress = mFleet->Plan().mRanked.back().mName;
    entry.mPeers->SetPeers(instances);
    mFleet->Run(2s);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFleet->CountRuns("once"));
  }

  /// Guards against a home that gives a statement more time than the caller's
  /// instance does: the time before a connection opened counts too.
  void WriteSentAfterAStallExpiresAtItsHome()
  {
    const auto home =
      mFleet->FindServingHome(mFleet->NonHome("d4"), "WRITE 1 x");
    auto& entry = mFleet->NonHome("d3");
    mFleet->Freeze(home, 150ms);
    const auto caller = mFleet->Connect(entry);
    // The home does not know a primary, so the statement waits there.
    for (const auto* it : { "a", "b", "c" }) {
      mFleet->At(home).mUnreachableDatabases.insert(it);
      Databases().At(it).mIsReachable = false;
    }
    caller->Send("WRITE 1 late");
    mFleet->Run(100ms);
    mFleet->Freeze(entry.mInfo.mName, 700ms);
    mFleet->Run(1150ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(caller->LastError() != ErrorKind::OutcomeUnknown);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mFleet->CountRuns("late"));
  }

  /// Sends many statements during a partition. Only statements in flight at its
  /// start may wait for an instance on the other side.
  void HomePartitionedStatementsDoNotWaitForItsReturn()
  {
    auto& instance = mFleet->NonHome("d3");
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    mFleet->At(home).mIsPartitioned = true;
    const auto caller = mFleet->Connect(instance);
    caller->Send("READ 1");
    mFleet->Run(1500ms);
    AssertAnswered(*caller);
    for (int n = 0; n < 60; ++n) {
      caller->Send("READ 1");
      mFleet->Run(100ms);
      AssertAnswered(*caller);
    }
  }

  void HomeIsUsedAgainAfterPartition()
  {
    auto& instance = mFleet->NonHome("d3");
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    mFleet->At(home).mIsPartitioned = true;
    const auto caller = mFleet->Connect(instance);
    for (int n = 0; n < 6; ++n) {
      caller->Send("READ 1");
      mFleet->Run(1s);
    }
    mFleet->At(home).mIsPartitioned = false;
    mFleet->Run(5s);
    CPPUNIT_ASSERT_EQUAL(home, mFleet->FindServingHome(instance, "READ 1"));
  }

  /// A home that waits for a slow database answers pings and does not count as
  /// failed.
  void HomeSlowToAnswerDoesNotCountAsFailed()
  {
    auto& instance = mFleet->NonHome();
    mFleet->FindServingHome(instance, "READ 1");
    const auto caller = mFleet->Connect(instance);
    // A write that no replica receives waits for replication evidence.
    Databases().At("b").mIsReplicating = false;
    Databases().At("c").mIsReplicating = false;
    Databases().At("b").mIsReachable = false;
    Databases().At("c").mIsReachable = false;
    caller->Send("WRITE 1 slow");
    mFleet->Run(900ms);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), instance.mCounts.mRerouted);
    mFleet->Run(600ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(mFleet->CountRuns("slow") <= 1);
  }

  void TransactionStaysAtItsHome()
  {
    auto& instance = mFleet->NonHome();
    const auto caller = mFleet->Connect(instance);
    caller->Send("BEGIN");
    caller->Send("WRITE 1 x");
    mFleet->Run(300ms);
    AssertAnswered(*caller);
    caller->Send("SET name value");
    caller->Send("READ 1");
    mFleet->Run(300ms);
    AssertAnswered(*caller);
    caller->Send("COMMIT");
    mFleet->Run(300ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT(caller->Last().mTransactionState == TransactionState::None);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), instance.mCounts.mForwarded);
    CPPUNIT_ASSERT_EQUAL(size_t(3), Databases().At("a").mRan.size());
  }

  void TransactionWhoseHomeIsLostIsRolledBack()
  {
    auto& instance = mFleet->NonHome();
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    const auto caller = mFleet->Connect(instance);
    caller->Send("BEGIN");
    caller->Send("WRITE 1 x");
    mFleet->Run(300ms);
    AssertAnswered(*caller);
    mFleet->Kill(home);
    mFleet->Run(50ms);
    caller->Send("COMMIT");
    mFleet->Run(300ms);
    // UpstreamLost guarantees that the commit did not run, and it was not sent.
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::UpstreamLost);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mFleet->CountRuns("COMMIT"));
  }

  void CommitWhoseHomeIsLostEndsWithUnknownOutcome()
  {
    auto& instance = mFleet->NonHome();
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    const auto caller = mFleet->Connect(instance);
    caller->Send("BEGIN");
    caller->Send("WRITE 1 x");
    mFleet->Run(300ms);
    caller->Send("COMMIT");
    mFleet->Run(2ms);
    mFleet->Kill(home);
    mFleet->Run(300ms);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::OutcomeUnknown);
    CPPUNIT_ASSERT(mFleet->CountRuns("COMMIT") <= 1);
  }

  void CallerDisconnectInTransactionLeavesNoneAtTheHome()
  {
    auto& instance = mFleet->NonHome();
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    auto caller = mFleet->Connect(instance);
    caller->Send("BEGIN");
    caller->Send("WRITE 1 x");
    mFleet->Run(300ms);
    CPPUNIT_ASSERT_EQUAL(size_t(1), InFlightCountAt(home));
    caller.reset();
    mFleet->Run(50ms);
    CPPUNIT_ASSERT_EQUAL(size_t(0), InFlightCountAt(home));
  }

  void CallerDisconnectDuringStatementLeavesNoTransaction()
  {
    auto& instance = mFleet->NonHome();
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    for (const auto wait : { 1ms, 2ms, 3ms, 4ms, 5ms, 6ms, 8ms, 10ms }) {
      auto caller = mFleet->Connect(instance);
      caller->Send("BEGIN");
      caller->Send("WRITE 1 x");
      mFleet->Run(wait);
      caller.reset();
      mFleet->Run(200ms);
      CPPUNIT_ASSERT_EQUAL(size_t(0), InFlightCountAt(home));
    }
  }

  void ForwarderKilledItsTransactionsAreRolledBack()
  {
    auto& instance = mFleet->NonHome();
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    const auto caller = mFleet->Connect(instance);
    caller->Send("BEGIN");
    caller->Send("WRITE 1 x");
    mFleet->Run(300ms);
    mFleet->Kill(instance.mInfo.mName);
    mFleet->Run(50ms);
    CPPUNIT_ASSERT_EQUAL(size_t(0), InFlightCountAt(home));
  }

  void ForwarderFrozenItsTransactionExpiresAtTheHome()
  {
    auto& instance = mFleet->NonHome();
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    const auto caller = mFleet->Connect(instance);
    caller->Send("BEGIN");
    caller->Send("WRITE 1 x");
    mFleet->Run(300ms);
    mFleet->Freeze(instance.mInfo.mName, 7s);
    mFleet->Run(6s);
    CPPUNIT_ASSERT_EQUAL(size_t(0), InFlightCountAt(home));
    mFleet->Run(1500ms);
    caller->Send("COMMIT");
    mFleet->Run(300ms);
    CPPUNIT_ASSERT(AnswerFor(*caller->LastError()).mOutcome == Outcome::NotRun);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mFleet->CountRuns("COMMIT"));
  }

  /// The announcement of the shutdown may arrive after the statement was sent.
  void LeavingHomeDeclinesLateStatementsWhichRunElsewhere()
  {
    auto& instance = mFleet->NonHome();
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    mFleet->At(home).mServer->DeclineStatements();
    const auto caller = mFleet->Connect(instance);
    caller->Send("WRITE 1 once");
    mFleet->Run(300ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), instance.mCounts.mRerouted);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFleet->CountRuns("once"));
  }

  void ForwardedWriteAbandonedIsNotRunOnlyIfItWasUnsent()
  {
    auto& instance = mFleet->NonHome("d3");
    const auto home =
      mFleet->FindServingHome(mFleet->NonHome("d4"), "WRITE 1 x");
    const auto sent = mFleet->Connect(instance);
    mFleet->FindServingHome(instance, "READ 1");
    mFleet->Freeze(home, 400ms);
    sent->Send("WRITE 1 doubt");
    mFleet->Run(5ms);
    CPPUNIT_ASSERT(sent->mSession->Abandon());
    CPPUNIT_ASSERT(sent->LastError() == ErrorKind::OutcomeUnknown);
    const auto unsent = mFleet->Connect(mFleet->NonHome("d1"));
    unsent->Send("WRITE 1 never");
    mFleet->Run(5ms);
    CPPUNIT_ASSERT(unsent->mSession->Abandon());
    CPPUNIT_ASSERT(unsent->LastError() == ErrorKind::ShuttingDown);
    mFleet->Run(2s);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mFleet->CountRuns("never"));
  }

  void LeavingHomeCompletesItsTransactionAndGetsNothingNew()
  {
    auto& instance = mFleet->NonHome();
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    const auto caller = mFleet->Connect(instance);
    caller->Send("BEGIN");
    caller->Send("WRITE 1 x");
    mFleet->Run(300ms);
    mFleet->At(home).mServer->AnnounceShutdown();
    mFleet->Run(10ms);
    const auto served = mFleet->At(home).mServer->ServedCount();
    const auto other = mFleet->Connect(instance);
    other->Send("WRITE 2 y");
    mFleet->Run(300ms);
    AssertAnswered(*other);
    CPPUNIT_ASSERT_EQUAL(served, mFleet->At(home).mServer->ServedCount());
    caller->Send("COMMIT");
    mFleet->Run(300ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mFleet->At(home).mServer->InFlightCount());
  }

  void LeavingHomeRollsBackWhatStaysOpen()
  {
    auto& instance = mFleet->NonHome();
    const auto home = mFleet->FindServingHome(instance, "READ 1");
    const auto caller = mFleet->Connect(instance);
    caller->Send("BEGIN");
    caller->Send("WRITE 1 x");
    mFleet->Run(300ms);
    mFleet->At(home).mServer->AnnounceShutdown();
    mFleet->At(home).mServer->RollBackTransactions();
    CPPUNIT_ASSERT_EQUAL(size_t(0), InFlightCountAt(home));
    caller->Send("COMMIT");
    mFleet->Run(300ms);
    CPPUNIT_ASSERT(AnswerFor(*caller->LastError()).mOutcome == Outcome::NotRun);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mFleet->CountRuns("COMMIT"));
  }

  void AllHomesFailedStatementsRunLocally()
  {
    auto& instance = mFleet->NonHome();
    const auto ranked = mFleet->Plan().mRanked;
    for (const auto& it : ranked) {
      mFleet->Kill(it.mName);
    }
    const auto caller = mFleet->Connect(instance);
    caller->Send("WRITE 1 here");
    mFleet->Run(900ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFleet->CountRuns("here"));
    CPPUNIT_ASSERT(instance.mOpenedConnections > 0);
  }

  /// Two instances of which each believes that the other is the only home.
  void InstanceListsDifferStatementIsForwardedOnce()
  {
    auto& first = mFleet->At(2);
    auto& second = mFleet->At(3);
    auto listOfFirst = mFleet->ListInstances();
    auto listOfSecond = listOfFirst;
    const auto keepOnly = [](auto& aFleet, const std::string& aName) {
      for (auto& it : aFleet) {
        it.mIsLeaving = it.mName != aName;
      }
    };
    keepOnly(listOfFirst, second.mInfo.mName);
    keepOnly(listOfSecond, first.mInfo.mName);
    mFleet->SetFleet(first, listOfFirst);
    mFleet->SetFleet(second, listOfSecond);
    const auto caller = mFleet->Connect(first);
    caller->Send("WRITE 1 hop");
    mFleet->Run(900ms);
    AssertAnswered(*caller);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), first.mCounts.mForwarded);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), second.mCounts.mForwarded);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFleet->CountRuns("hop"));
  }

  /// In a small fleet, where each instance has its own connections.
  void InstancePartitionedFromTheGroupForwardsStatements()
  {
    SimulatedFleet fleet(8, { "d1", "d2" });
    auto& instance = fleet.At(0);
    const auto before = fleet.Connect(instance);
    before->Send("READ 1");
    fleet.Run(300ms);
    AssertAnswered(*before);
    // The instance can connect to the primary, but to none of the replicas.
    instance.mUnreachableDatabases = { "b", "c" };
    const auto caller = fleet.Connect(instance);
    for (int n = 0; n < 4; ++n) {
      caller->Send("READ 2");
      fleet.Run(1s);
    }
    AssertAnswered(*caller);
  }

  void PrimaryKilledIsReplacedByAHome()
  {
    auto& instance = mFleet->NonHome();
    const auto caller = mFleet->Connect(instance);
    Databases().At("a").mIsReachable = false;
    Databases().At("a").mIsReplicating = false;
    for (int n = 0; n < 4; ++n) {
      caller->Send("WRITE 1 x");
      mFleet->Run(1200ms);
    }
    AssertAnswered(*caller);
    CPPUNIT_ASSERT(!Databases().mOrders.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestForwarding);
