#include "FakeUpstreams.h"
#include "LibRelay/DrainPlan.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// What an instance that shuts down accepts, refuses and waits for.
class TestDrain : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestDrain);
  CPPUNIT_TEST(PlanEntersAllPhasesInOrderBeforeTheGraceTimeEnds);
  CPPUNIT_TEST(PlanRefusesStatementsLongBeforeTheExit);
  CPPUNIT_TEST(PlanLetsTransactionsEndDuringTheFirstHalf);
  CPPUNIT_TEST(BeginWhileOnlyStatementsAreAdmittedIsRefused);
  CPPUNIT_TEST(StatementWhileNothingIsAdmittedIsRefusedAtOnce);
  CPPUNIT_TEST(TransactionOpenWhileNothingIsAdmittedGoesOn);
  CPPUNIT_TEST(ReadInFlightAbandonedIsAnsweredAsNotRun);
  CPPUNIT_TEST(WriteInFlightAbandonedHasUnknownOutcome);
  CPPUNIT_TEST(WriteWaitingAbandonedIsNotRunAndNeverRuns);
  CPPUNIT_TEST(CommitInFlightAbandonedHasUnknownOutcome);
  CPPUNIT_TEST(StatementOfTransactionAbandonedRollsItBack);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<FakeUpstreams> mFake;
  std::unique_ptr<FakeUpstreams::Caller> mCaller;

  /// Opens a transaction with a write in it.
  void WriteInTransaction()
  {
    mCaller->Send("BEGIN");
    mCaller->Send("WRITE 1 x");
    mFake->Run(30ms);
    CPPUNIT_ASSERT(mCaller->IsAnswered());
    CPPUNIT_ASSERT(!mCaller->LastError());
  }

  /// Sends a statement and abandons it after the time that it takes to reach
  /// the database, whose answers are lost.
  void SendAndAbandon(const std::string& aText)
  {
    mFake->At("a").mLosesAllAnswers = true;
    mCaller->Send(aText);
    mFake->Run(20ms);
    CPPUNIT_ASSERT(!mCaller->IsAnswered());
    CPPUNIT_ASSERT(mCaller->mSession->Abandon());
    CPPUNIT_ASSERT(mCaller->IsAnswered());
  }

  size_t RunsAtPrimary() { return mFake->At("a").mRan.size(); }

public:
  void setUp() override
  {
    mFake = std::make_unique<FakeUpstreams>();
    mCaller = mFake->Connect();
  }
  void tearDown() override
  {
    mCaller.reset();
    mFake.reset();
  }

  void PlanEntersAllPhasesInOrderBeforeTheGraceTimeEnds()
  {
    for (const auto grace : { 0ms, 500ms, 1000ms, 3000ms, 6000ms, 60000ms }) {
      const DrainPlan plan(grace);
      auto last = DrainPhase::Announced;
      for (auto it = 0ms; it <= grace; it += 10ms) {
        const auto phase = plan.PhaseAt(it);
        CPPUNIT_ASSERT(phase >= last);
        last = phase;
      }
      CPPUNIT_ASSERT(last == DrainPhase::Over);
    }
  }

  /// Guards against statements that are accepted until the exit and cut by it.
  void PlanRefusesStatementsLongBeforeTheExit()
  {
    const DrainPlan plan(6s);
    CPPUNIT_ASSERT(plan.PhaseAt(4200ms) < DrainPhase::Refusing);
    CPPUNIT_ASSERT(plan.PhaseAt(4300ms) == DrainPhase::Refusing);
    CPPUNIT_ASSERT(plan.PhaseAt(5290ms) == DrainPhase::Refusing);
    CPPUNIT_ASSERT(plan.PhaseAt(5300ms) == DrainPhase::Ending);
    CPPUNIT_ASSERT(plan.PhaseAt(5500ms) == DrainPhase::Over);
  }

  void PlanLetsTransactionsEndDuringTheFirstHalf()
  {
    const DrainPlan plan(6s);
    CPPUNIT_ASSERT(plan.PhaseAt(2200ms) == DrainPhase::Announced);
    CPPUNIT_ASSERT(plan.PhaseAt(2990ms) == DrainPhase::ClosingIdle);
    CPPUNIT_ASSERT(plan.PhaseAt(3000ms) == DrainPhase::RollingBack);
  }

  void BeginWhileOnlyStatementsAreAdmittedIsRefused()
  {
    mFake->Router().SetAdmission(Admission::SingleStatements);
    for (const auto* it : { "BEGIN", "BEGIN READ" }) {
      mCaller->Send(it);
      CPPUNIT_ASSERT(mCaller->LastError() == ErrorKind::ShuttingDown);
      CPPUNIT_ASSERT(mCaller->Last().mTransactionState ==
                     TransactionState::None);
    }
    mCaller->Send("WRITE 1 x");
    mFake->Run(30ms);
    CPPUNIT_ASSERT(!mCaller->LastError());
  }

  void StatementWhileNothingIsAdmittedIsRefusedAtOnce()
  {
    mFake->Router().SetAdmission(Admission::Nothing);
    for (const auto* it : { "READ 1", "WRITE 1 x", "BEGIN" }) {
      mCaller->Send(it);
      CPPUNIT_ASSERT(mCaller->IsAnswered());
      CPPUNIT_ASSERT(mCaller->LastError() == ErrorKind::ShuttingDown);
    }
    mFake->Run(1s);
    CPPUNIT_ASSERT_EQUAL(size_t(0), RunsAtPrimary());
  }

  void TransactionOpenWhileNothingIsAdmittedGoesOn()
  {
    WriteInTransaction();
    mFake->Router().SetAdmission(Admission::Nothing);
    mCaller->Send("READ 1");
    mFake->Run(30ms);
    CPPUNIT_ASSERT(!mCaller->LastError());
    mCaller->Send("COMMIT");
    mFake->Run(30ms);
    CPPUNIT_ASSERT(mCaller->IsAnswered());
    CPPUNIT_ASSERT(!mCaller->LastError());
  }

  void ReadInFlightAbandonedIsAnsweredAsNotRun()
  {
    mFake->Run(100ms);
    mCaller->Send("READ 1");
    mFake->Run(1ms);
    CPPUNIT_ASSERT(mCaller->mSession->Abandon());
    CPPUNIT_ASSERT(mCaller->LastError() == ErrorKind::ShuttingDown);
    mFake->Run(100ms);
    CPPUNIT_ASSERT(!mCaller->mSession->Abandon());
  }

  /// Guards against calling a write not run that its database may have run.
  void WriteInFlightAbandonedHasUnknownOutcome()
  {
    SendAndAbandon("WRITE 1 x");
    CPPUNIT_ASSERT_EQUAL(size_t(1), RunsAtPrimary());
    CPPUNIT_ASSERT(mCaller->LastError() == ErrorKind::OutcomeUnknown);
  }

  void WriteWaitingAbandonedIsNotRunAndNeverRuns()
  {
    for (const auto* it : { "a", "b", "c" }) {
      mFake->At(it).mIsReachable = false;
    }
    auto probing = mFake->Connect();
    probing->Send("WRITE 2 y");
    mFake->Run(400ms);
    mCaller->Send("WRITE 1 x");
    mFake->Run(10ms);
    CPPUNIT_ASSERT(!mCaller->IsAnswered());
    CPPUNIT_ASSERT(mCaller->mSession->Abandon());
    CPPUNIT_ASSERT(mCaller->LastError() == ErrorKind::ShuttingDown);
    for (const auto* it : { "a", "b", "c" }) {
      mFake->At(it).mIsReachable = true;
    }
    mFake->Run(2s);
    CPPUNIT_ASSERT_EQUAL(size_t(0), RunsAtPrimary());
  }

  void CommitInFlightAbandonedHasUnknownOutcome()
  {
    WriteInTransaction();
    SendAndAbandon("COMMIT");
    CPPUNIT_ASSERT(mCaller->LastError() == ErrorKind::OutcomeUnknown);
  }

  void StatementOfTransactionAbandonedRollsItBack()
  {
    WriteInTransaction();
    SendAndAbandon("READ 1");
    CPPUNIT_ASSERT(mCaller->LastError() == ErrorKind::WriteNotRun);
    CPPUNIT_ASSERT_EQUAL(uint64_t(10), mFake->At("a").mApplied.mOffset);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDrain);
