#include "WriteOperation.h"

#include "Clock.h"
#include "GroupEngine.h"
#include "LibDecision/Overloaded.h"
#include "Metrics.h"

namespace papayaline {

namespace {

constexpr size_t kLedgerIndex = 1;
constexpr size_t kStatementIndex = 2;
constexpr size_t kCommitIndex = 1;
constexpr size_t kLastCommitIndex = 2;
constexpr size_t kResolutionRowIndex = 2;
constexpr size_t kResolutionStatusIndex = 4;

}

std::vector<UpstreamStatement>
ResolutionBatch(const QByteArray& aRequestId, const QByteArray& aNonce)
{
  const auto& dialect = UpstreamDialect::Default();
  return { PlainStatement("BEGIN"),
           dialect.InsertTombstone(aRequestId, aNonce, WallSeconds()),
           dialect.ReadLedger(aRequestId),
           PlainStatement("COMMIT"),
           dialect.Status() };
}

std::vector<UpstreamStatement>
LedgerCreationBatch()
{
  return { PlainStatement("ROLLBACK"),
           UpstreamDialect::Default().CreateLedger() };
}

bool
LacksLedger(const BatchResult& aBatch)
{
  return !aBatch.mIsLost &&
         UpstreamDialect::IsUndefinedTable(aBatch.mResults[kLedgerIndex]);
}

Result<Resolution>
ParseResolution(const std::string& aUpstream, const BatchResult& aBatch)
{
  const Error failure{ ErrorKind::UpstreamLost, "resolution failed" };
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
                               AnswerHandler aHandler)
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
WriteOperation::Feed(const WriteEvent& aEvent)
{
  if (IsFinished()) {
    return;
  }
  if (const auto action = mMachine.Handle(aEvent)) {
    Perform(*action);
  }
}

void
WriteOperation::Perform(const WriteAction& aAction)
{
  std::visit(
    Overloaded{ [&](const StartWrite& aIt) {
                 mStep = Step::Write;
                 mClaim = aIt.mClaim;
                 mIsQueued = true;
                 mEngine.Requeue(*this);
               },
                [&](const StartResolution&) {
                  Metrics::Instance().Add(Counter::WriteResolutions);
                  mStep = Step::Resolution;
                  mIsQueued = true;
                  mEngine.Requeue(*this);
                },
                [&](const FinishWrite& aIt) { FinishWith(aIt.mVerdict); } },
    aAction);
}

void
WriteOperation::RunWrite()
{
  const auto& dialect = UpstreamDialect::Default();
  const auto& id = mRequest.mRequestId;
  const auto ledger =
    mClaim ? dialect.ClaimTombstone(
               id, QByteArray::fromStdString(*mClaim), WallSeconds())
           : dialect.InsertLedger(id, WallSeconds());
  const auto self = shared_from_this();
  mConnection.Run(
    { PlainStatement("BEGIN"), ledger, mRequest.mStatement },
    [this, self](const BatchResult& aBatch) { OnWriteAnswer(aBatch); });
}

void
WriteOperation::OnWriteAnswer(const BatchResult& aBatch)
{
  if (aBatch.mIsLost || IsFinished()) {
    mConnection.Discard();
    Feed(WriteLost{});
    return;
  }
  const auto& ledger = aBatch.mResults[kLedgerIndex];
  const auto& result = aBatch.mResults[kStatementIndex];
  if (ledger.IsError()) {
    OnLedgerRefused(ledger);
  } else if (mClaim && ledger.mRowCount == 0) {
    RollBack([this] { Feed(RequestIdTaken{}); });
  } else if (result.IsError()) {
    OnStatementRefused(result);
  } else {
    CommitWrite(result);
  }
}

void
WriteOperation::OnLedgerRefused(const StatementResult& aResult)
{
  if (UpstreamDialect::IsUndefinedTable(aResult)) {
    CreateLedger();
  } else if (UpstreamDialect::IsUniqueViolation(aResult)) {
    RollBack([this] { Feed(RequestIdTaken{}); });
  } else {
    OnStatementRefused(aResult);
  }
}

void
WriteOperation::OnStatementRefused(const StatementResult& aResult)
{
  if (UpstreamDialect::IsNotPrimary(aResult)) {
    RollBack([this] { Feed(WriteRolledBack{}); });
    return;
  }
  RollBack([this, aResult] { Finish(AnswerOf(aResult)); });
}

void
WriteOperation::RollBack(std::function<void()> aThen)
{
  const auto self = shared_from_this();
  mConnection.Run({ PlainStatement("ROLLBACK") },
                  [this, self, aThen](const BatchResult& aBatch) {
                    aBatch.mIsLost ? mConnection.Discard()
                                   : mConnection.ReturnClean();
                    aThen();
                  });
}

void
WriteOperation::CreateLedger()
{
  const auto self = shared_from_this();
  mConnection.Run(
    LedgerCreationBatch(), [this, self](const BatchResult& aBatch) {
      aBatch.mIsLost ? mConnection.Discard() : mConnection.ReturnClean();
      Feed(WriteRolledBack{});
    });
}

void
WriteOperation::CommitWrite(const StatementResult& aResult)
{
  mAnswer = AnswerOf(aResult);
  const auto& dialect = UpstreamDialect::Default();
  const auto self = shared_from_this();
  Feed(CommitSent{});
  mConnection.Run(
    { dialect.RecordReply(
        mRequest.mRequestId, aResult.mTag, EncodeReply(aResult)),
      PlainStatement("COMMIT"),
      dialect.LastCommit() },
    [this, self](const BatchResult& aBatch) { OnCommitAnswer(aBatch); });
}

void
WriteOperation::OnCommitAnswer(const BatchResult& aBatch)
{
  if (aBatch.mIsLost || IsFinished()) {
    mConnection.Discard();
    Feed(WriteLost{});
    return;
  }
  const auto& commit = aBatch.mResults[kCommitIndex];
  const auto position =
    UpstreamDialect::Default().ParsePosition(aBatch.mResults[kLastCommitIndex]);
  if (commit.mTag == "COMMIT" && !position.IsError()) {
    mConnection.ReturnClean();
    mEngine.ObserveService(Now() - mStartedAt);
    mPosition = position.Value();
    Feed(WriteCommitted{ mPosition });
    mEngine.RequestEvidence();
    return;
  }
  // Whatever was refused, the ledger tells whether the transaction took effect.
  RollBack([this] { Feed(WriteLost{}); });
}

void
WriteOperation::RunResolution()
{
  const auto self = shared_from_this();
  mConnection.Run(
    ResolutionBatch(mRequest.mRequestId, mEngine.NextRequestId()),
    [this, self](const BatchResult& aBatch) { OnResolutionAnswer(aBatch); });
}

void
WriteOperation::OnResolutionAnswer(const BatchResult& aBatch)
{
  const auto resolution = ParseResolution(mUpstream, aBatch);
  if (resolution.IsError()) {
    if (LacksLedger(aBatch) && !IsFinished()) {
      const auto self = shared_from_this();
      mConnection.Run(LedgerCreationBatch(), [this, self](const BatchResult&) {
        mConnection.Discard();
        Feed(ResolutionLost{});
      });
      return;
    }
    mConnection.Discard();
    Feed(ResolutionLost{});
    return;
  }
  mConnection.ReturnClean();
  mResolved = resolution.Value().mRow;
  mPosition = resolution.Value().mPosition;
  Feed(ResolutionRead{ mResolved.mKind == LedgerRow::Kind::Done,
                       mResolved.mNonce.toStdString(),
                       mPosition });
  mEngine.RequestEvidence();
}

void
WriteOperation::OnEvidence(Instant)
{
  const auto self = shared_from_this();
  Feed(EvidenceChanged{ mEngine.Reports(), mEngine.GroupSize() });
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
  Feed(WriteDeadlinePassed{});
  mConnection.Discard();
}

void
WriteOperation::FinishWith(WriteVerdict aVerdict)
{
  auto& metrics = Metrics::Instance();
  switch (aVerdict) {
    case WriteVerdict::Done:
      metrics.Add(Counter::WritesDone);
      mEngine.Retries().ObserveSuccess();
      mAnswer.mWritten = mPosition;
      Finish(mAnswer);
      return;
    case WriteVerdict::DoneEarlier: {
      metrics.Add(Counter::WritesDone);
      auto answer = DecodeReply(mResolved.mTag, mResolved.mReply);
      answer.mWritten = mPosition;
      Finish(answer);
      return;
    }
    case WriteVerdict::NotRun:
      metrics.Add(Counter::WritesNotRun);
      Refuse({ ErrorKind::DeadlinePassed,
               "no primary could take the write in time" });
      return;
    case WriteVerdict::Unknown:
      metrics.Add(Counter::WritesUnknown);
      Refuse({ ErrorKind::OutcomeUnknown,
               "the write may have taken effect; ask again with the same "
               "papayaline.request_id" });
      return;
  }
}

}
