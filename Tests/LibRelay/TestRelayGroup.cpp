#include "FakeUpstreams.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Tests reads, writes and transactions of callers while databases fail.
class TestRelayGroup : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestRelayGroup);
  CPPUNIT_TEST(WriteIsAcknowledgedOnceAReplicaHoldsIt);
  CPPUNIT_TEST(WriteOnReplacedPrimaryEndsWithUnknownOutcome);
  CPPUNIT_TEST(WriteWithoutReplicationIsNotAcknowledged);
  CPPUNIT_TEST(WriteWithoutReplicationIsConfirmedByAllOthers);
  CPPUNIT_TEST(WriteWithoutReplicationAndOneMemberDownEndsWithUnknownOutcome);
  CPPUNIT_TEST(WriteWhoseAnswerIsLostIsNotRetried);
  CPPUNIT_TEST(WriteRefusedForLackOfSlotsIsRetried);
  CPPUNIT_TEST(ReadAtPrimaryWaitsForEvidence);
  CPPUNIT_TEST(ReadAtReplacedPrimaryDoesNotRunThere);
  CPPUNIT_TEST(ReadAtReplacedPrimaryThatLagsDoesNotRunThere);
  CPPUNIT_TEST(InstanceWithoutEvidenceRefusesAtOnce);
  CPPUNIT_TEST(InstancePartitionedFromPrimaryOnlyRefusesAtOnce);
  CPPUNIT_TEST(AgedReadGoesToReplicaOfSameDomain);
  CPPUNIT_TEST(AgedReadAtLaggingReplicasGoesToPrimary);
  CPPUNIT_TEST(AgedReadsAtPrimaryShareEvidenceOfTheirAge);
  CPPUNIT_TEST(EvidenceRefusedForLackOfSlotsIsRequestedRarely);
  CPPUNIT_TEST(ReadWithoutEvidenceForLackOfSlotsIsServedOnceThereAreSome);
  CPPUNIT_TEST(ReadsWhereConnectionsAreScarceOpenThemAtOneReplica);
  CPPUNIT_TEST(ReadWhoseConnectionIsSlowToOpenIsServedElsewhere);
  CPPUNIT_TEST(StaleConnectionsClosedMoreAreOpenedUnderLoad);
  CPPUNIT_TEST(OwnReadAfterWriteIncludesIt);
  CPPUNIT_TEST(ReadWhoseAnswerIsLostIsSentElsewhere);
  CPPUNIT_TEST(ReadsThatAreNeverAnsweredAreRetriedRarely);
  CPPUNIT_TEST(TransactionKeepsItsConnection);
  CPPUNIT_TEST(TransactionWhoseConnectionIsLostFails);
  CPPUNIT_TEST(PrimaryRestartedWhileStatementsWaitTheyEndAtOnce);
  CPPUNIT_TEST(PrimaryRemovedWhileStatementsWaitTheyEndAtOnce);
  CPPUNIT_TEST(ConnectionsResetWhileStatementsWaitTheyEndAtOnce);
  CPPUNIT_TEST(PrimaryRestartedWhileStatementsRunTheyEndAtOnce);
  CPPUNIT_TEST(ReplicaRestartedItsReadsAreServedElsewhere);
  CPPUNIT_TEST(CommitWhoseAnswerIsLostEndsWithUnknownOutcome);
  CPPUNIT_TEST(TransactionThatIdlesIsRolledBack);
  CPPUNIT_TEST(EmptyTransactionCommitsAtADatabase);
  CPPUNIT_TEST(CallerGoneInTransactionLeavesCleanConnection);
  CPPUNIT_TEST(CallerGoneWhileItsWriteWaitsLeavesItUnsent);
  CPPUNIT_TEST(SessionValuesAreSetBeforeTheStatement);
  CPPUNIT_TEST(PreparedStatementIsPreparedOnEachConnection);
  CPPUNIT_TEST(PreparedStatementClosedIsUnknown);
  CPPUNIT_TEST(RouteRemovedIsRefusedFromTheNextTransaction);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<FakeUpstreams> mFake;

  static RelayRoute RouteWith(Freshness aFreshness)
  {
    RelayRoute route;
    route.mDatabase = "db";
    route.mGroup = "g";
    route.mFreshness = aFreshness;
    route.mMaxAge = 1500ms;
    return route;
  }

  /// Opens a transaction and runs one write in it.
  void WriteInTransaction(FakeUpstreams::Caller& aCaller) const
  {
    aCaller.Send("BEGIN");
    aCaller.Send("WRITE 1 x");
    mFake->Run(30ms);
    CPPUNIT_ASSERT(aCaller.IsAnswered());
  }

  size_t CountRuns(const std::string& aText) const
  {
    size_t n = 0;
    for (const auto* it : { "a", "b", "c" }) {
      n += static_cast<size_t>(
        std::ranges::count_if(mFake->At(it).mRan, [&](const auto& ran) {
          return ran.ends_with(aText);
        }));
    }
    return n;
  }

public:
  void setUp() override { mFake = std::make_unique<FakeUpstreams>(); }
  void tearDown() override { mFake.reset(); }

  void WriteIsAcknowledgedOnceAReplicaHoldsIt()
  {
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(20ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(!caller->LastError());
    CPPUNIT_ASSERT_EQUAL(std::string("signed"), caller->Last().mSignature);
  }

  void WriteOnReplacedPrimaryEndsWithUnknownOutcome()
  {
    mFake->At("a").mIsReplicating = false;
    mFake->Promote("b");
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(1200ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    const bool isTrue = caller->LastError() == ErrorKind::OutcomeUnknown ||
                        mFake->At("a").mRan.empty();
    CPPUNIT_ASSERT(isTrue);
  }

  /// Guards against losing an acknowledged write when the primary crashes
  /// before a replica has received it.
  void WriteWithoutReplicationIsNotAcknowledged()
  {
    mFake->At("a").mIsReplicating = false;
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(1200ms);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::OutcomeUnknown);
  }

  void WriteWithoutReplicationIsConfirmedByAllOthers()
  {
    mFake = std::make_unique<FakeUpstreams>(Acknowledgement::Leader);
    mFake->At("a").mIsReplicating = false;
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(50ms);
    CPPUNIT_ASSERT(!caller->IsAnswered());
    mFake->Run(200ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(!caller->LastError());
  }

  void WriteWithoutReplicationAndOneMemberDownEndsWithUnknownOutcome()
  {
    mFake = std::make_unique<FakeUpstreams>(Acknowledgement::Leader);
    mFake->At("a").mIsReplicating = false;
    mFake->At("c").mIsReachable = false;
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(1200ms);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::OutcomeUnknown);
  }

  void WriteWhoseAnswerIsLostIsNotRetried()
  {
    auto caller = mFake->Connect();
    mFake->At("a").mLosesAllAnswers = true;
    caller->Send("WRITE 1 x");
    mFake->Run(30ms);
    mFake->At("a").mLosesAllAnswers = false;
    mFake->Run(1500ms);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::OutcomeUnknown);
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountRuns("WRITE 1 x"));
  }

  void WriteRefusedForLackOfSlotsIsRetried()
  {
    mFake->At("a").mRefusal = ErrorKind::QueueFull;
    mFake->At("a").mRefusals = 3;
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(200ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(!caller->LastError());
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountRuns("WRITE 1 x"));
  }

  void ReadAtPrimaryWaitsForEvidence()
  {
    mFake->At("b").mLosesAllAnswers = true;
    mFake->At("c").mLosesAllAnswers = true;
    auto caller = mFake->Connect();
    caller->Send("READ 1");
    mFake->Run(40ms);
    CPPUNIT_ASSERT_EQUAL(size_t(0), CountRuns("READ 1"));
    mFake->Run(1200ms);
    CPPUNIT_ASSERT(caller->LastError());
    CPPUNIT_ASSERT(AnswerFor(*caller->LastError()).mOutcome == Outcome::NotRun);
  }

  void ReadAtReplacedPrimaryDoesNotRunThere()
  {
    mFake->At("a").mIsReplicating = false;
    mFake->Promote("b");
    mFake->Run(5ms);
    auto caller = mFake->Connect();
    caller->Send("READ 1");
    mFake->Run(300ms);
    CPPUNIT_ASSERT(mFake->At("a").mRan.empty());
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountRuns("READ 1"));
    CPPUNIT_ASSERT(!caller->LastError());
  }

  /// Guards against stale reads, single and in read-only transactions, at a
  /// primary that stepped down and follows the next one: the only other member
  /// that this instance reaches receives nothing and stays in its term.
  void ReadAtReplacedPrimaryThatLagsDoesNotRunThere()
  {
    mFake->At("c").mIsReplicating = false;
    mFake->At("b").mIsReachable = false;
    mFake->mIsPromoting = false;
    mFake->Promote("b");
    mFake->At("a").mRole = Role::Replica;
    mFake->At("a").mIsApplying = false;
    auto first = mFake->Connect();
    auto second = mFake->Connect();
    first->Send("READ 1");
    second->Send("BEGIN READ");
    second->Send("READ 2");
    mFake->Run(1200ms);
    for (const auto* it : { first.get(), second.get() }) {
      CPPUNIT_ASSERT(it->LastError());
      CPPUNIT_ASSERT(AnswerFor(*it->LastError()).mOutcome == Outcome::NotRun);
    }
    CPPUNIT_ASSERT(mFake->At("a").mRan.empty());
  }

  /// An instance that shares a minority partition with the primary has to
  /// refuse statements early, so that callers retry at an instance of the
  /// majority.
  void InstanceWithoutEvidenceRefusesAtOnce()
  {
    mFake->At("b").mIsReachable = false;
    mFake->At("c").mIsReachable = false;
    auto first = mFake->Connect();
    first->Send("READ 1");
    mFake->Run(450ms);
    CPPUNIT_ASSERT(first->IsAnswered());
    auto second = mFake->Connect();
    second->Send("READ 2");
    mFake->Run(40ms);
    CPPUNIT_ASSERT(second->LastError());
    CPPUNIT_ASSERT(AnswerFor(*second->LastError()).mOutcome == Outcome::NotRun);
  }

  void InstancePartitionedFromPrimaryOnlyRefusesAtOnce()
  {
    mFake->At("a").mIsReachable = false;
    auto first = mFake->Connect();
    first->Send("WRITE 1 x");
    const auto writeElsewhere = [this](Milliseconds aTime) {
      for (auto it = 0ms; it < aTime; it += 20ms) {
        ++mFake->At("a").mReceived.mOffset;
        mFake->Run(20ms);
      }
    };
    writeElsewhere(600ms);
    auto second = mFake->Connect();
    second->Send("WRITE 2 y");
    writeElsewhere(60ms);
    CPPUNIT_ASSERT(second->LastError());
    CPPUNIT_ASSERT(AnswerFor(*second->LastError()).mOutcome == Outcome::NotRun);
  }

  void AgedReadGoesToReplicaOfSameDomain()
  {
    mFake->SetRoute(RouteWith(Freshness::BoundedStaleness));
    auto caller = mFake->Connect();
    caller->Send("READ 1");
    mFake->Run(50ms);
    CPPUNIT_ASSERT(!caller->LastError());
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFake->At("b").mRan.size());
  }

  void AgedReadAtLaggingReplicasGoesToPrimary()
  {
    mFake->SetRoute(RouteWith(Freshness::BoundedStaleness));
    for (const auto* it : { "b", "c" }) {
      mFake->At(it).mIsReplicating = false;
    }
    auto writer = mFake->Connect();
    writer->Send("WRITE 1 x");
    mFake->Run(3000ms);
    auto caller = mFake->Connect();
    caller->Send("READ 1");
    mFake->Run(100ms);
    CPPUNIT_ASSERT(!caller->LastError());
    CPPUNIT_ASSERT_EQUAL(size_t(2), mFake->At("a").mRan.size());
  }

  size_t StatusRequestsAt(const std::string& aName) const
  {
    return static_cast<size_t>(std::ranges::count(
      mFake->At(aName).mArrived, CommandType::Status, &UpstreamCommand::mType));
  }

  /// When replicas apply the log late, all reads run at the primary. Requests
  /// for evidence for each read would take the slots of the replicas.
  void AgedReadsAtPrimaryShareEvidenceOfTheirAge()
  {
    mFake->SetRoute(RouteWith(Freshness::BoundedStaleness));
    for (const auto* it : { "b", "c" }) {
      mFake->At(it).mIsApplying = false;
    }
    mFake->At("a").mReceived = mFake->At("a").mApplied = { 1, 50 };
    mFake->Run(1600ms);
    auto caller = mFake->Connect();
    const auto before = StatusRequestsAt("b") + StatusRequestsAt("c");
    constexpr int kReads = 100;
    for (int n = 0; n < kReads; ++n) {
      caller->Send("READ 1");
      mFake->Run(10ms);
      CPPUNIT_ASSERT(caller->IsAnswered());
      CPPUNIT_ASSERT(!caller->LastError());
    }
    const auto asked = StatusRequestsAt("b") + StatusRequestsAt("c") - before;
    CPPUNIT_ASSERT(asked < kReads / 10);
  }

  /// After a stall, many instances request evidence of databases that have no
  /// free slot. Frequent requests would overload them, since each refusal takes
  /// time too.
  void EvidenceRefusedForLackOfSlotsIsRequestedRarely()
  {
    for (const auto* it : { "b", "c" }) {
      mFake->At(it).mIsWithoutSlots = true;
    }
    auto caller = mFake->Connect();
    const auto before = StatusRequestsAt("b") + StatusRequestsAt("c");
    for (int n = 0; n < 5; ++n) {
      caller->Send("READ 1");
      mFake->Run(400ms);
      CPPUNIT_ASSERT(caller->IsAnswered());
      CPPUNIT_ASSERT(caller->LastError() == ErrorKind::QueueFull);
    }
    const auto asked = StatusRequestsAt("b") + StatusRequestsAt("c") - before;
    // At most one request every 64 ms during 2 s at each of two replicas, and 8
    // at shorter intervals at the start.
    CPPUNIT_ASSERT(asked <= 2 * (2000 / 64 + 8));
  }

  void ReadWithoutEvidenceForLackOfSlotsIsServedOnceThereAreSome()
  {
    for (const auto* it : { "b", "c" }) {
      mFake->At(it).mIsWithoutSlots = true;
    }
    auto caller = mFake->Connect();
    caller->Send("READ 1");
    mFake->Run(60ms);
    CPPUNIT_ASSERT(!caller->IsAnswered());
    for (const auto* it : { "b", "c" }) {
      mFake->At(it).mIsWithoutSlots = false;
    }
    mFake->Run(140ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(!caller->LastError());
  }

  /// Other instances take all connections but the reserve, so that the plan
  /// keeps no idle connection.
  void OccupyConnections()
  {
    mFake->mMaxConnections = 46;
    mFake->mInstances = 61;
    mFake->SetRoute(RouteWith(Freshness::BoundedStaleness));
    for (const auto* it : { "a", "b", "c" }) {
      mFake->At(it).mConnections += 45;
    }
    mFake->Run(3000ms);
  }

  /// With more instances than connections, an instance must not open
  /// connections to several replicas for one read: opening a connection takes a
  /// slot for longer than most statements.
  void ReadsWhereConnectionsAreScarceOpenThemAtOneReplica()
  {
    OccupyConnections();
    auto caller = mFake->Connect();
    const auto before = mFake->At("c").mOpenings;
    for (int n = 0; n < 10; ++n) {
      caller->Send("READ 1");
      mFake->Run(200ms);
      CPPUNIT_ASSERT(caller->IsAnswered());
      CPPUNIT_ASSERT(!caller->LastError());
    }
    CPPUNIT_ASSERT(mFake->At("c").mOpenings <= before + 1);
  }

  void ReadWhoseConnectionIsSlowToOpenIsServedElsewhere()
  {
    OccupyConnections();
    mFake->At("b").mIsReachable = false;
    auto caller = mFake->Connect();
    caller->Send("READ 1");
    mFake->Run(300ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(!caller->LastError());
  }

  /// After a restart of all instances, a database counts the connections of the
  /// previous processes for some seconds. The connection plan based on that
  /// count has to be renewed while statements keep the only connection busy.
  void StaleConnectionsClosedMoreAreOpenedUnderLoad()
  {
    auto& primary = mFake->At("a");
    primary.mConnections += 30;
    mFake->Run(1s);
    primary.mConnections -= 30;
    std::vector<std::unique_ptr<FakeUpstreams::Caller>> callers;
    for (int n = 0; n < 8; ++n) {
      callers.push_back(mFake->Connect());
    }
    for (int n = 0; n < 1000; ++n) {
      for (const auto& it : callers) {
        if (it->IsAnswered()) {
          it->Send("READ 1");
        }
      }
      mFake->Run(1ms);
    }
    CPPUNIT_ASSERT(primary.mConnections > 1);
  }

  void OwnReadAfterWriteIncludesIt()
  {
    mFake->SetRoute(RouteWith(Freshness::ReadYourWrites));
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(30ms);
    CPPUNIT_ASSERT(!caller->LastError());
    const auto written = mFake->At("a").mApplied;
    for (const auto* it : { "b", "c" }) {
      mFake->At(it).mApplied = { 1, 10 };
      mFake->At(it).mIsReplicating = false;
    }
    caller->Send("READ 1");
    mFake->Run(100ms);
    CPPUNIT_ASSERT(!caller->LastError());
    CPPUNIT_ASSERT(caller->Last().mPosition >= written);
  }

  void ReadWhoseAnswerIsLostIsSentElsewhere()
  {
    mFake->SetRoute(RouteWith(Freshness::BoundedStaleness));
    auto caller = mFake->Connect();
    mFake->At("b").mLosesAllAnswers = true;
    caller->Send("READ 1");
    mFake->Run(400ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(!caller->LastError());
    CPPUNIT_ASSERT_EQUAL(size_t(2), CountRuns("READ 1"));
  }

  void ReadsThatAreNeverAnsweredAreRetriedRarely()
  {
    mFake->mMaxConnections = 600;
    mFake->SetRoute(RouteWith(Freshness::BoundedStaleness));
    mFake->Run(2s);
    for (const auto* it : { "a", "b", "c" }) {
      mFake->At(it).mLosesAnswers = true;
    }
    std::vector<std::unique_ptr<FakeUpstreams::Caller>> callers;
    for (int it = 0; it < 200; ++it) {
      callers.push_back(mFake->Connect());
      callers.back()->Send("READ 1");
      mFake->Run(10ms);
    }
    CPPUNIT_ASSERT(mFake->Group().Counts().mHedgedReads <=
                   RetryBudget::kMaxSavedRetries);
  }

  void TransactionKeepsItsConnection()
  {
    auto caller = mFake->Connect();
    auto other = mFake->Connect();
    WriteInTransaction(*caller);
    other->Send("WRITE 2 y");
    mFake->Run(60ms);
    caller->Send("COMMIT");
    mFake->Run(30ms);
    CPPUNIT_ASSERT(!caller->LastError());
    CPPUNIT_ASSERT(!other->LastError());
    CPPUNIT_ASSERT(caller->Last().mTransactionState == TransactionState::None);
    // The write of the other session did not run in the transaction.
    CPPUNIT_ASSERT_EQUAL(uint64_t(12), mFake->At("a").mApplied.mOffset);
  }

  void TransactionWhoseConnectionIsLostFails()
  {
    auto caller = mFake->Connect();
    WriteInTransaction(*caller);
    mFake->At("a").mLosesAllAnswers = true;
    caller->Send("WRITE 2 y");
    mFake->Run(1200ms);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::UpstreamLost);
    CPPUNIT_ASSERT(caller->Last().mTransactionState ==
                   TransactionState::Failed);
    caller->Send("ROLLBACK");
    CPPUNIT_ASSERT(caller->Last().mTransactionState == TransactionState::None);
  }

  using Callers = std::vector<std::unique_ptr<FakeUpstreams::Caller>>;

  /// Opens transactions, lets the primary become silent, and sends a read in
  /// each of them once the primary is suspected, so that it is not sent.
  Callers SuspendStatementsAtSilentPrimary()
  {
    Callers callers;
    for (int n = 0; n < 3; ++n) {
      callers.push_back(mFake->Connect());
      WriteInTransaction(*callers.back());
    }
    mFake->At("a").mIsReachable = false;
    auto probing = mFake->Connect();
    probing->Send("WRITE 2 probe");
    mFake->Run(400ms);
    for (const auto& it : callers) {
      it->Send("READ 1");
    }
    mFake->Run(20ms);
    for (const auto& it : callers) {
      CPPUNIT_ASSERT(!it->IsAnswered());
    }
    return callers;
  }

  void AssertAborted(const Callers& aCallers)
  {
    mFake->Run(40ms);
    for (const auto& it : aCallers) {
      CPPUNIT_ASSERT(it->LastError() == ErrorKind::UpstreamLost);
    }
    CPPUNIT_ASSERT_EQUAL(size_t(0), CountRuns("READ 1"));
  }

  /// Guards against the end of the process: statements that waited for evidence
  /// were sent on connections that the restart of their database had closed.
  void PrimaryRestartedWhileStatementsWaitTheyEndAtOnce()
  {
    const auto callers = SuspendStatementsAtSilentPrimary();
    mFake->At("a").mIsReachable = true;
    mFake->Restart("a");
    AssertAborted(callers);
    auto next = mFake->Connect();
    next->Send("WRITE 3 z");
    mFake->Run(300ms);
    CPPUNIT_ASSERT(next->IsAnswered());
    CPPUNIT_ASSERT(!next->LastError());
  }

  /// The same where the directory no longer lists the database, with or without
  /// another one in its place.
  void PrimaryRemovedWhileStatementsWaitTheyEndAtOnce()
  {
    for (const bool isReplaced : { false, true }) {
      setUp();
      const auto callers = SuspendStatementsAtSilentPrimary();
      mFake->RemoveMember("a");
      if (isReplaced) {
        mFake->AddMember("d", Role::Replica);
      }
      mFake->Publish();
      AssertAborted(callers);
    }
  }

  void ConnectionsResetWhileStatementsWaitTheyEndAtOnce()
  {
    const auto callers = SuspendStatementsAtSilentPrimary();
    mFake->ResetConnections("a");
    AssertAborted(callers);
  }

  /// Guards against statements that keep their callers waiting until the
  /// route's timeout although their connections are gone.
  void PrimaryRestartedWhileStatementsRunTheyEndAtOnce()
  {
    auto committing = mFake->Connect();
    auto reading = mFake->Connect();
    auto writing = mFake->Connect();
    WriteInTransaction(*committing);
    WriteInTransaction(*reading);
    mFake->At("a").mLosesAllAnswers = true;
    committing->Send("COMMIT");
    reading->Send("READ 1");
    writing->Send("WRITE 2 y");
    mFake->Run(50ms);
    mFake->At("a").mLosesAllAnswers = false;
    mFake->Restart("a");
    mFake->Run(40ms);
    CPPUNIT_ASSERT(committing->LastError() == ErrorKind::OutcomeUnknown);
    CPPUNIT_ASSERT(writing->LastError() == ErrorKind::OutcomeUnknown);
    CPPUNIT_ASSERT(reading->LastError() == ErrorKind::UpstreamLost);
    mFake->Run(1500ms);
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountRuns("WRITE 2 y"));
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountRuns("COMMIT"));
  }

  void ReplicaRestartedItsReadsAreServedElsewhere()
  {
    mFake->SetRoute(RouteWith(Freshness::BoundedStaleness));
    mFake->At("b").mLosesAllAnswers = true;
    auto caller = mFake->Connect();
    caller->Send("READ 1");
    mFake->Run(10ms);
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountRuns("READ 1"));
    mFake->Restart("b");
    mFake->Run(60ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(!caller->LastError());
  }

  void CommitWhoseAnswerIsLostEndsWithUnknownOutcome()
  {
    auto caller = mFake->Connect();
    WriteInTransaction(*caller);
    mFake->At("a").mLosesAllAnswers = true;
    caller->Send("COMMIT");
    mFake->Run(1200ms);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::OutcomeUnknown);
    CPPUNIT_ASSERT(caller->Last().mTransactionState == TransactionState::None);
  }

  void TransactionThatIdlesIsRolledBack()
  {
    auto caller = mFake->Connect();
    WriteInTransaction(*caller);
    caller->mSession->ExpireTransaction(mFake->Now() + 4s);
    caller->Send("COMMIT");
    mFake->Run(20ms);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::WriteNotRun);
    CPPUNIT_ASSERT_EQUAL(uint64_t(10), mFake->At("a").mApplied.mOffset);
  }

  void EmptyTransactionCommitsAtADatabase()
  {
    auto caller = mFake->Connect();
    caller->Send("BEGIN");
    caller->Send("COMMIT");
    mFake->Run(30ms);
    CPPUNIT_ASSERT(!caller->LastError());
    CPPUNIT_ASSERT_EQUAL(std::string("signed"), caller->Last().mSignature);
  }

  void CallerGoneInTransactionLeavesCleanConnection()
  {
    auto caller = mFake->Connect();
    WriteInTransaction(*caller);
    caller.reset();
    mFake->Run(20ms);
    auto other = mFake->Connect();
    other->Send("WRITE 2 y");
    mFake->Run(30ms);
    CPPUNIT_ASSERT(!other->LastError());
    CPPUNIT_ASSERT_EQUAL(uint64_t(11), mFake->At("a").mApplied.mOffset);
  }

  void CallerGoneWhileItsWriteWaitsLeavesItUnsent()
  {
    mFake->At("a").mRefusal = ErrorKind::QueueFull;
    mFake->At("a").mRefusals = 2;
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(4ms);
    caller.reset();
    mFake->Run(300ms);
    CPPUNIT_ASSERT_EQUAL(size_t(0), CountRuns("WRITE 1 x"));
  }

  void SessionValuesAreSetBeforeTheStatement()
  {
    auto caller = mFake->Connect();
    caller->Send("SET zone 5");
    caller->Send("WRITE 1 x");
    mFake->Run(30ms);
    auto other = mFake->Connect();
    other->Send("WRITE 2 y");
    mFake->Run(30ms);
    std::vector<CommandType> types;
    for (const auto& it : mFake->At("a").mArrived) {
      if (it.mType != CommandType::Status) {
        types.push_back(it.mType);
      }
    }
    const std::vector<CommandType> expected = { CommandType::SetValue,
                                                CommandType::Forward,
                                                CommandType::Reset,
                                                CommandType::Forward };
    CPPUNIT_ASSERT(expected == types);
  }

  void PreparedStatementIsPreparedOnEachConnection()
  {
    auto caller = mFake->Connect();
    caller->Send("PARSE s1 WRITE q2c");
    caller->Send("EXECUTE s1 1 x");
    mFake->Run(30ms);
    CPPUNIT_ASSERT(!caller->LastError());
    const auto& arrived = mFake->At("a").mArrived;
    const auto prepare =
      std::ranges::find(arrived, CommandType::Prepare, &UpstreamCommand::mType);
    const auto execute = std::ranges::find(
      arrived, CommandType::ForwardPrepared, &UpstreamCommand::mType);
    CPPUNIT_ASSERT(prepare != arrived.end() && execute != arrived.end());
    CPPUNIT_ASSERT(prepare < execute);
    CPPUNIT_ASSERT_EQUAL(prepare->mName, execute->mName);
    CPPUNIT_ASSERT_EQUAL(std::string("q2c"), prepare->mValue);
  }

  void PreparedStatementClosedIsUnknown()
  {
    auto caller = mFake->Connect();
    caller->Send("PARSE s1 READ q2c");
    caller->Send("CLOSE s1");
    caller->Send("EXECUTE s1 1");
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::NotFound);
  }

  void RouteRemovedIsRefusedFromTheNextTransaction()
  {
    auto caller = mFake->Connect();
    WriteInTransaction(*caller);
    auto route = RouteWith(Freshness::Latest);
    route.mDatabase = "another";
    mFake->SetRoute(route);
    caller->Send("COMMIT");
    mFake->Run(30ms);
    CPPUNIT_ASSERT(!caller->LastError());
    caller->Send("READ 1");
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::UnknownGroup);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRelayGroup);
