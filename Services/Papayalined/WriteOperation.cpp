#include "WriteOperation.h"

#include "Clock.h"
#include "GroupEngine.h"
#include "LibDecision/Overloaded.h"
#include "Metrics.h"

namespace papayaline {

namespace {

/// Positions of the results in the write, commit and resolution batches.
constexpr size_t kLedgerIndex = 1;
constexpr size_t kStatementIndex = 2;
constexpr size_t kCommitIndex = 1;
constexpr size_t kLastCommitIndex = 2;
constexpr size_t kResolutionRowIndex = 2;
constexpr size_t kResolutionStatusIndex = 4;

}

std::vector<UpstreamStatement>
MakeResolutionBatch(const QByteArray& aRequestId, const QByteArray& aNonce)
{
  const auto& dialect = UpstreamDialect::Default();
  return { PlainStatement("BEGIN"),
           dialect.InsertTombstone(aRequestId, aNonce, UnixTimeSeconds()),
           dialect.ReadLedger(aRequestId),
           PlainStatement("COMMIT"),
           dialect.Status() };
}

std::vector<UpstreamStatement>
MakeLedgerCreationBatch()
{
  return { PlainStatement("ROLLBACK"),
           UpstreamDialect::Default().CreateLedger() };
}

bool
IsLedgerMissing(const BatchResult& aBatch)
{
  return !aBatch.mIsLost &&
         UpstreamDialect::IsUndefinedTable(aBatch.mResults[kLedgerIndex]);
}

Result<Resolution>
ParseResolution(const std::string& aUpstream, const BatchResult& aBatch)
{
  const Error failure{ ErrorKind::UpstreamLost,
                       "the ledger could not be read on the primary" };
  if (aBatch.mIsLost) {
    return failure;
  }
  const auto& dialect = UpstreamDialect::Default();
  const auto& status = aBatch.mResults[kResolutionStatusIndex];
  const auto report = PL_TRY(dialect.ParseReport(aUpstream, status, Instant()));
  const auto row = dialect.ParseLedger(aBatch.mResults[kResolutionRowIndex]);
  if (report.mRole != Role::Primary || row.mKind == LedgerRow::Kind::Missing) {
    return failure;
  }
  return Resolution{ row, report.mLast };
}

WriteOperation::WriteOperation(GroupEngine& aEngine,
                               Request aRequest,
                               ResponseHandler aHandler)
  : Operation(aEngine, std::move(aRequest), std::move(aHandler))
  , mMachine(RetryPolicy::AfterResolution)
{
  if (mRequest.mRequestId.isEmpty()) {
    mRequest.mRequestId = aEngine.NextRequestId();
  }
}

StartResult
WriteOperation::TryStart(Instant aNow)
{
  auto primary = mEngine.TryAcquirePrimary(aNow);
  if (!primary) {
    return StartResult::Waiting;
  }
  mIsQueued = false;
  mConnection = std::move(primary->mConnection);
  mUpstream = primary->mUpstream;
  mStartedAt = aNow;
  if (mStep == Step::Write) {
    RunWrite();
  } else {
    RunResolution();
  }
  return StartResult::Started;
}

void
WriteOperation::HandleEvent(const WriteEvent& aEvent)
{
  if (IsFinished()) {
    return;
  }
  if (const auto action = mMachine.Handle(aEvent)) {
    PerformAction(*action);
  }
}

void
WriteOperation::PerformAction(const WriteAction& aAction)
{
  std::visit(Overloaded{ [&](const StartWrite& aIt) {
                          mStep = Step::Write;
                          mTombstoneNonce = aIt.mTombstoneNonce;
                          mIsQueued = true;
                          mEngine.Requeue(*this);
                        },
                         [&](const StartResolution&) {
                           Metrics::Instance().Add(Counter::WriteResolutions);
                           mStep = Step::Resolution;
                           mIsQueued = true;
                           mEngine.Requeue(*this);
                         },
                         [&](const FinishWrite& aIt) {
                           FinishWithOutcome(aIt.mOutcome);
                         } },
             aAction);
}

void
WriteOperation::RunWrite()
{
  const auto& dialect = UpstreamDialect::Default();
  const auto& id = mRequest.mRequestId;
  const auto ledger =
    mTombstoneNonce
      ? dialect.ClaimTombstone(
          id, QByteArray::fromStdString(*mTombstoneNonce), UnixTimeSeconds())
      : dialect.InsertLedger(id, UnixTimeSeconds());
  const auto self = shared_from_this();
  mConnection.Run(
    { PlainStatement("BEGIN"), ledger, mRequest.mStatement },
    [this, self](const BatchResult& aBatch) { OnWriteResult(aBatch); });
}

void
WriteOperation::OnWriteResult(const BatchResult& aBatch)
{
  if (aBatch.mIsLost || IsFinished()) {
    mConnection.Discard();
    HandleEvent(WriteConnectionLost{});
    return;
  }
  const auto& ledger = aBatch.mResults[kLedgerIndex];
  const auto& result = aBatch.mResults[kStatementIndex];
  if (ledger.IsError()) {
    OnLedgerError(ledger);
  } else if (mTombstoneNonce && ledger.mRowCount == 0) {
    RollBack([this] { HandleEvent(RequestIdTaken{}); });
  } else if (result.IsError()) {
    OnStatementError(result);
  } else {
    CommitWrite(result);
  }
}

void
WriteOperation::OnLedgerError(const StatementResult& aResult)
{
  if (UpstreamDialect::IsUndefinedTable(aResult)) {
    CreateLedger();
  } else if (UpstreamDialect::IsUniqueViolation(aResult)) {
    RollBack([this] { HandleEvent(RequestIdTaken{}); });
  } else {
    OnStatementError(aResult);
  }
}

void
WriteOperation::OnStatementError(const StatementResult& aResult)
{
  if (UpstreamDialect::IsNotPrimary(aResult)) {
    RollBack([this] { HandleEvent(WriteRolledBack{}); });
    return;
  }
  RollBack([this, aResult] { Finish(MakeResponse(aResult)); });
}

void
WriteOperation::RollBack(std::function<void()> aOnDone)
{
  const auto self = shared_from_this();
  mConnection.Run({ PlainStatement("ROLLBACK") },
                  [this, self, aOnDone](const BatchResult& aBatch) {
                    aBatch.mIsLost ? mConnection.Discard()
                                   : mConnection.ReturnClean();
                    aOnDone();
                  });
}

void
WriteOperation::CreateLedger()
{
  const auto self = shared_from_this();
  mConnection.Run(
    MakeLedgerCreationBatch(), [this, self](const BatchResult& aBatch) {
      aBatch.mIsLost ? mConnection.Discard() : mConnection.ReturnClean();
      HandleEvent(WriteRolledBack{});
    });
}

void
WriteOperation::CommitWrite(const StatementResult& aResult)
{
  mResponse = MakeResponse(aResult);
  const auto& dialect = UpstreamDialect::Default();
  const auto self = shared_from_this();
  HandleEvent(CommitSent{});
  mConnection.Run(
    { dialect.RecordReply(
        mRequest.mRequestId, aResult.mTag, EncodeReply(aResult)),
      PlainStatement("COMMIT"),
      dialect.LastCommit() },
    [this, self](const BatchResult& aBatch) { OnCommitResult(aBatch); });
}

void
WriteOperation::OnCommitResult(const BatchResult& aBatch)
{
  if (aBatch.mIsLost || IsFinished()) {
    mConnection.Discard();
    HandleEvent(WriteConnectionLost{});
    return;
  }
  const auto& commit = aBatch.mResults[kCommitIndex];
  const auto position =
    UpstreamDialect::Default().ParsePosition(aBatch.mResults[kLastCommitIndex]);
  if (commit.mTag == "COMMIT" && !position.IsError()) {
    mConnection.ReturnClean();
    mEngine.ObserveServiceTime(Now() - mStartedAt);
    mPosition = position.Value();
    HandleEvent(WriteCommitted{ mPosition });
    mEngine.RequestEvidence();
    return;
  }
  // Whichever statement failed, a resolution determines from the ledger whether
  // the transaction committed.
  RollBack([this] { HandleEvent(WriteConnectionLost{}); });
}

void
WriteOperation::RunResolution()
{
  const auto self = shared_from_this();
  mConnection.Run(
    MakeResolutionBatch(mRequest.mRequestId, mEngine.NextRequestId()),
    [this, self](const BatchResult& aBatch) { OnResolutionResult(aBatch); });
}

void
WriteOperation::OnResolutionResult(const BatchResult& aBatch)
{
  const auto resolution = ParseResolution(mUpstream, aBatch);
  if (resolution.IsError()) {
    if (IsLedgerMissing(aBatch) && !IsFinished()) {
      const auto self = shared_from_this();
      mConnection.Run(MakeLedgerCreationBatch(),
                      [this, self](const BatchResult&) {
                        mConnection.Discard();
                        HandleEvent(ResolutionConnectionLost{});
                      });
      return;
    }
    mConnection.Discard();
    HandleEvent(ResolutionConnectionLost{});
    return;
  }
  mConnection.ReturnClean();
  mResolvedRow = resolution.Value().mRow;
  mPosition = resolution.Value().mPosition;
  HandleEvent(ResolutionRead{ mResolvedRow.mKind == LedgerRow::Kind::Done,
                              mResolvedRow.mNonce.toStdString(),
                              mPosition });
  mEngine.RequestEvidence();
}

void
WriteOperation::OnEvidence(Instant)
{
  const auto self = shared_from_this();
  HandleEvent(EvidenceChanged{ mEngine.Reports(), mEngine.GroupSize() });
}

bool
WriteOperation::AwaitsEvidence() const
{
  return mIsQueued || mMachine.AwaitsEvidence();
}

void
WriteOperation::OnDeadline()
{
  const auto self = shared_from_this();
  HandleEvent(WriteDeadlinePassed{});
  mConnection.Discard();
}

void
WriteOperation::FinishWithOutcome(WriteOutcome aOutcome)
{
  auto& metrics = Metrics::Instance();
  switch (aOutcome) {
    case WriteOutcome::Done:
      metrics.Add(Counter::WritesDone);
      mEngine.GetRetryBudget().ObserveSuccess();
      mResponse.mWritePosition = mPosition;
      Finish(mResponse);
      return;
    case WriteOutcome::DoneEarlier: {
      metrics.Add(Counter::WritesDone);
      auto response = DecodeReply(mResolvedRow.mTag, mResolvedRow.mReply);
      response.mWritePosition = mPosition;
      Finish(response);
      return;
    }
    case WriteOutcome::NotRun:
      metrics.Add(Counter::WritesNotRun);
      FinishWithError({ ErrorKind::DeadlinePassed,
                        "no primary accepted the write before the deadline" });
      return;
    case WriteOutcome::Unknown:
      metrics.Add(Counter::WritesUnknown);
      FinishWithError({ ErrorKind::OutcomeUnknown,
                        "the write may have committed; retry with the same "
                        "papayaline.request_id" });
      return;
  }
}

}
