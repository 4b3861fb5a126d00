#include "LibDecision/WriteMachine.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;

class TestWriteMachine : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestWriteMachine);
  CPPUNIT_TEST(LostBeforeCommitIsRetried);
  CPPUNIT_TEST(LostAfterCommitIsResolved);
  CPPUNIT_TEST(TombstoneUnconfirmedAtDeadlineIsUnknown);
  CPPUNIT_TEST(TombstoneConfirmedIsClaimedByRetry);
  CPPUNIT_TEST(CommitInReplacedTermIsResolvedNotAcknowledged);
  CPPUNIT_TEST(DeadlineBeforeCommitIsNotRun);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<UpstreamReport> Majority(uint64_t aTerm, LogPosition aLast)
  {
    UpstreamReport primary;
    primary.mUpstream = "p";
    primary.mFencedTerm = aTerm;
    primary.mRole = Role::Primary;
    primary.mLast = aLast;
    auto replica = primary;
    replica.mUpstream = "r";
    replica.mRole = Role::Replica;
    return { primary, replica };
  }

  static std::optional<WriteOutcome> VerdictOf(
    const std::optional<WriteAction>& aAction)
  {
    const auto* finish =
      aAction ? std::get_if<FinishWrite>(&*aAction) : nullptr;
    return finish ? std::optional(finish->mOutcome) : std::nullopt;
  }

public:
  void LostBeforeCommitIsRetried()
  {
    WriteMachine machine(RetryPolicy::AfterResolution);
    const auto action = machine.Handle(WriteConnectionLost{});
    CPPUNIT_ASSERT(std::holds_alternative<StartWrite>(*action));
  }

  void LostAfterCommitIsResolved()
  {
    WriteMachine machine(RetryPolicy::AfterResolution);
    machine.Handle(CommitSent{});
    const auto action = machine.Handle(WriteConnectionLost{});
    CPPUNIT_ASSERT(std::holds_alternative<StartResolution>(*action));
  }

  void TombstoneUnconfirmedAtDeadlineIsUnknown()
  {
    WriteMachine machine(RetryPolicy::Never);
    machine.Handle(CommitSent{});
    machine.Handle(WriteConnectionLost{});
    machine.Handle(ResolutionRead{ false, "n", { 2, 7 } });
    CPPUNIT_ASSERT(VerdictOf(machine.Handle(WriteDeadlinePassed{})) ==
                   WriteOutcome::Unknown);
  }

  void TombstoneConfirmedIsClaimedByRetry()
  {
    WriteMachine machine(RetryPolicy::AfterResolution);
    machine.Handle(CommitSent{});
    machine.Handle(WriteConnectionLost{});
    machine.Handle(ResolutionRead{ false, "n", { 2, 7 } });
    const auto reports = Majority(2, { 2, 7 });
    const auto action = machine.Handle(EvidenceChanged{ reports, 3 });
    CPPUNIT_ASSERT(std::get<StartWrite>(*action).mTombstoneNonce == "n");
  }

  void CommitInReplacedTermIsResolvedNotAcknowledged()
  {
    WriteMachine machine(RetryPolicy::AfterResolution);
    machine.Handle(CommitSent{});
    machine.Handle(WriteCommitted{ { 1, 7 } });
    const auto reports = Majority(2, { 2, 9 });
    const auto action = machine.Handle(EvidenceChanged{ reports, 3 });
    CPPUNIT_ASSERT(std::holds_alternative<StartResolution>(*action));
  }

  void DeadlineBeforeCommitIsNotRun()
  {
    WriteMachine machine(RetryPolicy::AfterResolution);
    CPPUNIT_ASSERT(VerdictOf(machine.Handle(WriteDeadlinePassed{})) ==
                   WriteOutcome::NotRun);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestWriteMachine);
