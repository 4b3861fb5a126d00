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
      [&](const WriteLost&) -> Next { return OnLost(); },
      [&](const WriteCommitted& aIt) -> Next {
        mPhase = Phase::Confirming;
        mPosition = aIt.mPosition;
        return std::nullopt;
      },
      [&](const RequestIdTaken&) -> Next {
        mIsForeign = true;
        return Resolve();
      },
      [&](const ResolutionRead& aIt) -> Next {
        mPhase = Phase::ConfirmingResolution;
        mResolution = aIt;
        mPosition = aIt.mPosition;
        return std::nullopt;
      },
      [&](const ResolutionLost&) -> Next { return Resolve(); },
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
WriteMachine::Finish(WriteVerdict aVerdict)
{
  mPhase = Phase::Finished;
  return FinishWrite{ aVerdict };
}

std::optional<WriteAction>
WriteMachine::Retry(std::optional<std::string> aClaim)
{
  if (mRetry == RetryPolicy::Never && !mIsForeign) {
    return Finish(WriteVerdict::NotRun);
  }
  mPhase = Phase::Running;
  mIsForeign = false;
  return StartWrite{ std::move(aClaim) };
}

std::optional<WriteAction>
WriteMachine::OnLost()
{
  // Before the commit was sent the database rolls back on its own.
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
    return mPhase == Phase::Confirming ? Finish(WriteVerdict::Done)
                                       : ConcludeResolution();
  }
  // Copies made in a later term prove nothing for an entry of an older one.
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
    return Finish(WriteVerdict::DoneEarlier);
  }
  return Retry(mResolution.mNonce);
}

std::optional<WriteAction>
WriteMachine::OnDeadline()
{
  return Finish(mPhase == Phase::Running ? WriteVerdict::NotRun
                                         : WriteVerdict::Unknown);
}

}
