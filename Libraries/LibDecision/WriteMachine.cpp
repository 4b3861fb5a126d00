#include "LibDecision/WriteMachine.h"

#include "LibDecision/Overloaded.h"

namespace papayaline {

std::optional<WriteAction>
WriteMachine::Handle(const WriteEvent& aEvent)
{
  using Next = std::optional<WriteAction>;
  if (mPhase == Phase::Finished) {
    return std::nullopt;
  }
  return std::visit(
    Overloaded{
      [&](const CommitSent&) -> Next {
        mPhase = Phase::Committing;
        return std::nullopt;
      },
      [&](const WriteRolledBack&) -> Next { return Retry(std::nullopt); },
      [&](const WriteConnectionLost&) -> Next { return OnLost(); },
      [&](const WriteCommitted& aIt) -> Next {
        mPhase = Phase::Confirming;
        mPosition = aIt.mPosition;
        return std::nullopt;
      },
      [&](const RequestIdTaken&) -> Next {
        mHasOtherAttempt = true;
        return Resolve();
      },
      [&](const ResolutionRead& aIt) -> Next {
        mPhase = Phase::ConfirmingResolution;
        mResolution = aIt;
        mPosition = aIt.mPosition;
        return std::nullopt;
      },
      [&](const ResolutionConnectionLost&) -> Next { return Resolve(); },
      [&](const EvidenceChanged& aIt) -> Next { return OnEvidence(aIt); },
      [&](const WriteDeadlinePassed&) -> Next { return OnDeadline(); } },
    aEvent);
}

std::optional<WriteAction>
WriteMachine::Resolve()
{
  mPhase = Phase::Resolving;
  return StartResolution{};
}

std::optional<WriteAction>
WriteMachine::Finish(WriteOutcome aOutcome)
{
  mPhase = Phase::Finished;
  return FinishWrite{ aOutcome };
}

std::optional<WriteAction>
WriteMachine::Retry(std::optional<std::string> aTombstoneNonce)
{
  if (mRetry == RetryPolicy::Never && !mHasOtherAttempt) {
    return Finish(WriteOutcome::NotRun);
  }
  mPhase = Phase::Running;
  mHasOtherAttempt = false;
  return StartWrite{ std::move(aTombstoneNonce) };
}

std::optional<WriteAction>
WriteMachine::OnLost()
{
  // If the connection is lost before the commit is sent, the database rolls the
  // write back.
  return mPhase == Phase::Running ? Retry(std::nullopt) : Resolve();
}

std::optional<WriteAction>
WriteMachine::OnEvidence(const EvidenceChanged& aEvidence)
{
  if (!AwaitsEvidence()) {
    return std::nullopt;
  }
  if (IsAcknowledged(
        aEvidence.mReports, aEvidence.mGroupSize, mPosition, mRules)) {
    return mPhase == Phase::Confirming ? Finish(WriteOutcome::Done)
                                       : ConcludeResolution();
  }
  // Copies that are held in a later term are no evidence for an entry of an
  // earlier term.
  const auto* primary = FindPrimary(aEvidence.mReports);
  if (primary && primary->mFencedTerm > mPosition.mTerm) {
    return Resolve();
  }
  return std::nullopt;
}

std::optional<WriteAction>
WriteMachine::ConcludeResolution()
{
  if (mResolution.mIsDone) {
    return Finish(WriteOutcome::DoneEarlier);
  }
  return Retry(mResolution.mNonce);
}

std::optional<WriteAction>
WriteMachine::OnDeadline()
{
  return Finish(mPhase == Phase::Running ? WriteOutcome::NotRun
                                         : WriteOutcome::Unknown);
}

}
