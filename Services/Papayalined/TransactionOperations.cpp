#include "TransactionOperations.h"

#include "Clock.h"
#include "GroupEngine.h"
#include "LibDecision/Overloaded.h"
#include "LibDecision/ReadPolicy.h"
#include "Metrics.h"

namespace papayaline {

TransactionStart::TransactionStart(GroupEngine& aEngine,
                                   Request aRequest,
                                   TransactionAccess aAccess,
                                   AcquiredHandler aOnAcquired,
                                   ResponseHandler aOnError)
  : Operation(aEngine, std::move(aRequest), std::move(aOnError))
  , mAccess(aAccess)
  , mOnAcquired(std::move(aOnAcquired))
{
}

std::optional<std::string>
TransactionStart::ChooseUpstream(Instant aNow) const
{
  if (mAccess == TransactionAccess::ReadWrite) {
    return mEngine.WritablePrimary(aNow);
  }
  const auto candidates =
    mEngine.Candidates(GroupEngine::UsableWhen::ConnectionFree);
  const ReadRequirements requirements{ mRequest.mToken,
                                       mRequest.mClass.mMaxAge,
                                       mRequest.mArrivedAt };
  const auto choice =
    ChooseRead(requirements, candidates, mEngine.Frontiers(), {}, aNow);
  // A read at the primary has to wait until a majority holds what it read. A
  // transaction can't wait for that after each statement, so only replicas
  // serve read-only transactions.
  if (choice.mVerdict != ReadVerdict::UseReplica) {
    return std::nullopt;
  }
  return candidates[choice.mIndex].mReport.mUpstream;
}

StartResult
TransactionStart::TryStart(Instant aNow)
{
  const auto upstream = ChooseUpstream(aNow);
  if (!upstream) {
    return StartResult::Waiting;
  }
  auto connection = mEngine.TryAcquire(*upstream, ConnectionUse::Transaction);
  if (!connection) {
    return StartResult::Waiting;
  }
  const auto self = shared_from_this();
  TakeHandler();
  mOnAcquired(std::move(connection), *upstream);
  return StartResult::Started;
}

void
TransactionStart::OnDeadline()
{
  FinishWithError(
    { ErrorKind::NoUpstream,
      "no upstream connection was available before the deadline" });
}

TransactionCommit::TransactionCommit(GroupEngine& aEngine,
                                     Request aRequest,
                                     ResponseHandler aHandler,
                                     PooledConnection aConnection,
                                     std::string aUpstream,
                                     bool aInsertsLedgerRow)
  : Operation(aEngine, std::move(aRequest), std::move(aHandler))
  , mMachine(RetryPolicy::Never)
  , mConnection(std::move(aConnection))
  , mUpstream(std::move(aUpstream))
  , mInsertsLedgerRow(aInsertsLedgerRow)
{
}

void
TransactionCommit::Start()
{
  mEngine.Track(shared_from_this());
  const auto& dialect = UpstreamDialect::Default();
  std::vector<UpstreamStatement> batch;
  if (mInsertsLedgerRow) {
    batch.push_back(
      dialect.InsertLedger(mRequest.mRequestId, UnixTimeSeconds()));
  }
  batch.push_back(PlainStatement("COMMIT"));
  batch.push_back(dialect.LastCommit());
  HandleEvent(CommitSent{});
  const auto self = shared_from_this();
  mConnection.Run(
    batch, [this, self](const BatchResult& aBatch) { OnCommitResult(aBatch); });
}

void
TransactionCommit::OnCommitResult(const BatchResult& aBatch)
{
  if (aBatch.mIsLost || IsFinished()) {
    mConnection.Discard();
    HandleEvent(WriteConnectionLost{});
    return;
  }
  const auto n = aBatch.mResults.size();
  const auto& commit = aBatch.mResults[n - 2];
  const auto position =
    UpstreamDialect::Default().ParsePosition(aBatch.mResults[n - 1]);
  if (commit.mTag == "COMMIT" && !position.IsError()) {
    mConnection.ReturnClean();
    mPosition = position.Value();
    HandleEvent(WriteCommitted{ mPosition });
    mEngine.RequestEvidence();
    return;
  }
  // Whichever statement failed, a resolution determines from the ledger whether
  // the transaction committed.
  mConnection.Discard();
  HandleEvent(WriteConnectionLost{});
}

StartResult
TransactionCommit::TryStart(Instant aNow)
{
  auto primary = mEngine.TryAcquirePrimary(aNow);
  if (!primary) {
    return StartResult::Waiting;
  }
  mIsQueued = false;
  mConnection = std::move(primary->mConnection);
  mUpstream = primary->mUpstream;
  const auto self = shared_from_this();
  auto batch =
    MakeResolutionBatch(mRequest.mRequestId, mEngine.NextRequestId());
  mConnection.Run(batch, [this, self](const BatchResult& aBatch) {
    OnResolutionResult(aBatch);
  });
  return StartResult::Started;
}

void
TransactionCommit::OnResolutionResult(const BatchResult& aBatch)
{
  const auto resolution = ParseResolution(mUpstream, aBatch);
  if (resolution.IsError() && IsLedgerMissing(aBatch) && !IsFinished()) {
    const auto self = shared_from_this();
    mConnection.Run(MakeLedgerCreationBatch(),
                    [this, self](const BatchResult&) {
                      mConnection.Discard();
                      HandleEvent(ResolutionConnectionLost{});
                    });
    return;
  }
  if (resolution.IsError()) {
    mConnection.Discard();
    HandleEvent(ResolutionConnectionLost{});
    return;
  }
  mConnection.ReturnClean();
  const auto& row = resolution.Value().mRow;
  mPosition = resolution.Value().mPosition;
  HandleEvent(ResolutionRead{
    row.mKind == LedgerRow::Kind::Done, row.mNonce.toStdString(), mPosition });
  mEngine.RequestEvidence();
}

void
TransactionCommit::HandleEvent(const WriteEvent& aEvent)
{
  if (IsFinished()) {
    return;
  }
  const auto action = mMachine.Handle(aEvent);
  if (!action) {
    return;
  }
  std::visit(Overloaded{ [&](const StartWrite&) {
                          // Only the caller can repeat the statements of its
                          // transaction.
                          FinishWithOutcome(WriteOutcome::NotRun);
                        },
                         [&](const StartResolution&) {
                           Metrics::Instance().Add(Counter::WriteResolutions);
                           mIsQueued = true;
                           mEngine.Requeue(*this);
                         },
                         [&](const FinishWrite& aIt) {
                           FinishWithOutcome(aIt.mOutcome);
                         } },
             *action);
}

void
TransactionCommit::OnEvidence(Instant)
{
  const auto self = shared_from_this();
  HandleEvent(EvidenceChanged{ mEngine.Reports(), mEngine.GroupSize() });
}

void
TransactionCommit::OnDeadline()
{
  const auto self = shared_from_this();
  HandleEvent(WriteDeadlinePassed{});
  mConnection.Discard();
}

bool
TransactionCommit::AwaitsEvidence() const
{
  return mIsQueued || mMachine.AwaitsEvidence();
}

void
TransactionCommit::FinishWithOutcome(WriteOutcome aOutcome)
{
  auto& metrics = Metrics::Instance();
  switch (aOutcome) {
    case WriteOutcome::Done:
    case WriteOutcome::DoneEarlier: {
      metrics.Add(Counter::WritesDone);
      Response response;
      response.mTag = "COMMIT";
      response.mWritePosition = mPosition;
      Finish(response);
      return;
    }
    case WriteOutcome::NotRun:
      metrics.Add(Counter::WritesNotRun);
      FinishWithError(
        { ErrorKind::WriteNotRun, "the transaction was rolled back" });
      return;
    case WriteOutcome::Unknown:
      metrics.Add(Counter::WritesUnknown);
      FinishWithError(
        { ErrorKind::OutcomeUnknown, "the transaction may have committed" });
      return;
  }
}

}
