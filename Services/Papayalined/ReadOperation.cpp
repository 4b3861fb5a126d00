#include "ReadOperation.h"

#include "Clock.h"
#include "GroupEngine.h"
#include "LibUpstream/UpstreamDialect.h"

#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

/// The share of a caller's maximum age that is reserved for the round trip to
/// the replica.
constexpr int kAgeMarginDivisor = 10;
constexpr Duration kMaxAgeMargin = 50ms;
constexpr size_t kPrimaryStatementIndex = 1;
constexpr size_t kPrimaryStatusIndex = 3;
constexpr size_t kReplicaStatusIndex = 1;

bool
IsReadOnlyViolation(const StatementResult& aResult)
{
  return aResult.mSqlState == "25006";
}

}

ReadRequirements
ReadOperation::Requirements() const
{
  ReadRequirements requirements{ mRequest.mToken,
                                 mRequest.mClass.mMaxAge,
                                 mRequest.mArrivedAt };
  const auto routing = mEngine.GetControlState().GetSettings().mReadRouting;
  // A caller without a token may have written through another connection, so
  // the writes of this connection alone don't give it read-your-writes.
  if (routing == ReadRouting::TokenOnly || requirements.mToken ||
      requirements.mMaxAge) {
    requirements.mToken =
      std::max(requirements.mToken, mRequest.mLastWritePosition);
  }
  if (requirements.mMaxAge) {
    *requirements.mMaxAge -=
      std::min(*requirements.mMaxAge / kAgeMarginDivisor, kMaxAgeMargin);
  }
  return requirements;
}

StartResult
ReadOperation::TryStart(Instant aNow)
{
  ReadSettings settings;
  settings.mRouting = mEngine.GetControlState().GetSettings().mReadRouting;
  const auto requirements = Requirements();
  const auto candidates =
    mEngine.Candidates(GroupEngine::UsableWhen::ConnectionFree);
  auto choice =
    ChooseRead(requirements, candidates, mEngine.Frontiers(), settings, aNow);
  if (choice.mVerdict == ReadVerdict::UsePrimary) {
    // Prefers to wait for a replica that is recent enough and only lacks a free
    // connection.
    const auto reachable =
      mEngine.Candidates(GroupEngine::UsableWhen::Reachable);
    const auto preferred =
      ChooseRead(requirements, reachable, mEngine.Frontiers(), settings, aNow);
    if (preferred.mVerdict == ReadVerdict::UseReplica) {
      return StartResult::Waiting;
    }
  }
  if (choice.mVerdict == ReadVerdict::Wait) {
    return StartResult::Waiting;
  }
  mChosenReport = candidates[choice.mIndex].mReport;
  mConnection = mEngine.TryAcquire(mChosenReport.mUpstream);
  if (!mConnection) {
    return StartResult::Waiting;
  }
  mPhase = Phase::Running;
  mStartedAt = aNow;
  if (choice.mVerdict == ReadVerdict::UseReplica) {
    RunAtReplica(choice.mFreshAt);
  } else {
    RunAtPrimary();
  }
  return StartResult::Started;
}

void
ReadOperation::RunAtReplica(std::optional<Instant> aFreshAt)
{
  const auto self = shared_from_this();
  mConnection.Run({ mRequest.mStatement, UpstreamDialect::Default().Status() },
                  [this, self, aFreshAt](const BatchResult& aBatch) {
                    OnReplicaResult(aBatch, aFreshAt);
                  });
}

void
ReadOperation::OnReplicaResult(const BatchResult& aBatch,
                               std::optional<Instant> aFreshAt)
{
  if (aBatch.mIsLost) {
    mConnection.Discard();
    Retry();
    return;
  }
  mConnection.ReturnClean();
  const auto now = Now();
  mEngine.ObserveServiceTime(now - mStartedAt);
  const auto& result = aBatch.mResults.front();
  if (IsReadOnlyViolation(result)) {
    ResubmitAsWrite();
    return;
  }
  // The statement may have waited at the replica before it ran, so its age is
  // measured when the result arrives.
  const auto& maxAge = mRequest.mClass.mMaxAge;
  if (maxAge && aFreshAt && now - *aFreshAt > *maxAge) {
    Retry();
    return;
  }
  if (result.IsError()) {
    Finish(MakeResponse(result));
    return;
  }
  const auto statusAfter = UpstreamDialect::Default().ParseReport(
    mChosenReport.mUpstream, aBatch.mResults[kReplicaStatusIndex], mStartedAt);
  if (statusAfter.IsError() ||
      !MayReturnReplicaRead(mChosenReport, statusAfter.Value())) {
    Retry();
    return;
  }
  CountRead(Counter::ReadsAtReplica, Counter::AgedReadsAtReplica);
  mEngine.GetRetryBudget().ObserveSuccess();
  Finish(MakeResponse(result));
}

void
ReadOperation::RunAtPrimary()
{
  const auto self = shared_from_this();
  mConnection.Run(
    { PlainStatement("BEGIN READ ONLY"),
      mRequest.mStatement,
      PlainStatement("COMMIT"),
      UpstreamDialect::Default().Status() },
    [this, self](const BatchResult& aBatch) { OnPrimaryResult(aBatch); });
}

void
ReadOperation::OnPrimaryResult(const BatchResult& aBatch)
{
  if (aBatch.mIsLost) {
    mConnection.Discard();
    Retry();
    return;
  }
  mEngine.ObserveServiceTime(Now() - mStartedAt);
  const auto& result = aBatch.mResults[kPrimaryStatementIndex];
  if (result.IsError()) {
    // The failed transaction is still open and must be rolled back.
    const auto self = shared_from_this();
    const auto connection =
      std::make_shared<PooledConnection>(std::move(mConnection));
    connection->Run(
      { PlainStatement("ROLLBACK") }, [connection](const BatchResult& aIt) {
        aIt.mIsLost ? connection->Discard() : connection->ReturnClean();
      });
    if (IsReadOnlyViolation(result)) {
      ResubmitAsWrite();
    } else {
      Finish(MakeResponse(result));
    }
    return;
  }
  mConnection.ReturnClean();
  const auto report = UpstreamDialect::Default().ParseReport(
    mChosenReport.mUpstream, aBatch.mResults[kPrimaryStatusIndex], mStartedAt);
  if (report.IsError() || report.Value().mRole != Role::Primary) {
    Retry();
    return;
  }
  mResponse = MakeResponse(result);
  mReadPosition = report.Value().mLast;
  mPhase = Phase::Confirming;
  mEngine.RequestEvidence();
}

void
ReadOperation::OnEvidence(Instant aNow)
{
  if (mPhase != Phase::Confirming) {
    return;
  }
  const auto& maxAge = mRequest.mClass.mMaxAge;
  const auto notBefore = maxAge ? aNow - *maxAge : mRequest.mArrivedAt;
  if (MayReturnPrimaryRead(
        mEngine.Reports(), mEngine.GroupSize(), mReadPosition, notBefore)) {
    CountRead(Counter::ReadsAtPrimary, Counter::AgedReadsAtPrimary);
    mEngine.GetRetryBudget().ObserveSuccess();
    Finish(mResponse);
    return;
  }
  const auto* primary = FindPrimary(mEngine.Reports());
  if (primary && primary->mFencedTerm > mReadPosition.mTerm) {
    Retry();
  }
}

void
ReadOperation::Retry()
{
  Metrics::Instance().Add(Counter::ReadRetries);
  if (!mEngine.GetRetryBudget().TrySpend()) {
    FinishWithError(
      { ErrorKind::UpstreamLost, "the retry budget is exhausted" });
    return;
  }
  mPhase = Phase::Queued;
  mResponse = {};
  mEngine.Requeue(*this);
}

/// Resubmits the statement as a write, which responds to the caller in place of
/// this operation.
void
ReadOperation::ResubmitAsWrite()
{
  const auto self = shared_from_this();
  mEngine.SubmitWrite(mRequest, TakeHandler());
}

void
ReadOperation::CountRead(Counter aFreshCounter, Counter aAgedCounter) const
{
  Metrics::Instance().Add(mRequest.mClass.mMaxAge ? aAgedCounter
                                                  : aFreshCounter);
}

bool
ReadOperation::AwaitsEvidence() const
{
  return mPhase != Phase::Running;
}

void
ReadOperation::OnDeadline()
{
  const auto self = shared_from_this();
  mConnection.Discard();
  const bool hasPrimary = FindPrimary(mEngine.Reports()) != nullptr;
  FinishWithError(
    { hasPrimary ? ErrorKind::TooStale : ErrorKind::NoUpstream,
      "no upstream was proven fresh enough before the deadline" });
}

}
