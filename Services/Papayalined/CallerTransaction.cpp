#include "CallerTransaction.h"

#include "Clock.h"
#include "GroupEngine.h"
#include "TransactionOperations.h"

namespace papayaline {

namespace {

constexpr size_t kLedgerIndex = 1;

Answer
Tagged(const QByteArray& aTag)
{
  Answer answer;
  answer.mTag = aTag;
  return answer;
}

Answer
AbortedAnswer()
{
  Answer answer;
  answer.mError = AnswerError{
    "25P02", "current transaction is aborted, commands ignored until ROLLBACK"
  };
  return answer;
}

}

CallerTransaction::CallerTransaction(GroupEngine& aEngine,
                                     TransactionAccess aAccess,
                                     QByteArray aRequestId)
  : mEngine(aEngine)
  , mAccess(aAccess)
  , mRequestId(std::move(aRequestId))
  , mIsOwnRequestId(mRequestId.isEmpty())
{
  if (mIsOwnRequestId) {
    mRequestId = mEngine.NextRequestId();
  }
}

void
CallerTransaction::Run(const Request& aRequest, AnswerHandler aHandler)
{
  if (mHasFailed) {
    aHandler(AbortedAnswer());
    return;
  }
  if (mHasBegun) {
    RunStatement(aRequest, std::move(aHandler));
    return;
  }
  const auto self = shared_from_this();
  auto refused = [self, aHandler](const Answer& aAnswer) {
    self->mHasFailed = true;
    aHandler(aAnswer);
  };
  auto acquired = [self, aRequest, aHandler](PooledConnection aConnection,
                                             const std::string& aUpstream) {
    self->OnAcquired(std::move(aConnection), aUpstream, aRequest, aHandler);
  };
  mEngine.Submit(std::make_shared<TransactionStart>(
    mEngine, aRequest, mAccess, std::move(acquired), std::move(refused)));
}

void
CallerTransaction::OnAcquired(PooledConnection aConnection,
                              std::string aUpstream,
                              const Request& aRequest,
                              AnswerHandler aHandler)
{
  mConnection = std::move(aConnection);
  mUpstream = std::move(aUpstream);
  Begin(aRequest, std::move(aHandler), std::nullopt);
}

/// A caller's own request id is taken at the start, so that a repetition is
/// noticed before any of its statements run.
void
CallerTransaction::Begin(const Request& aRequest,
                         AnswerHandler aHandler,
                         std::optional<QByteArray> aClaim)
{
  const auto& dialect = UpstreamDialect::Default();
  const bool isReadOnly = mAccess == TransactionAccess::ReadOnly;
  std::vector<UpstreamStatement> batch = { PlainStatement(
    isReadOnly ? "BEGIN READ ONLY" : "BEGIN") };
  if (aClaim) {
    batch.push_back(dialect.ClaimTombstone(mRequestId, *aClaim, WallSeconds()));
  } else if (!mIsOwnRequestId && !isReadOnly) {
    batch.push_back(dialect.InsertLedger(mRequestId, WallSeconds()));
  }
  const auto self = shared_from_this();
  mConnection.Run(
    batch, [=, this, isClaim = aClaim.has_value()](const BatchResult& aBatch) {
      const auto keep = self;
      OnBegun(aBatch, aRequest, aHandler, isClaim);
    });
}

void
CallerTransaction::OnBegun(const BatchResult& aBatch,
                           const Request& aRequest,
                           AnswerHandler aHandler,
                           bool aIsClaim)
{
  if (aBatch.mIsLost) {
    FailLost(aHandler);
    return;
  }
  if (aBatch.mResults.size() > kLedgerIndex) {
    const auto& ledger = aBatch.mResults[kLedgerIndex];
    const bool isTaken =
      UpstreamDialect::IsUniqueViolation(ledger) ||
      (aIsClaim && !ledger.IsError() && ledger.mRowCount == 0);
    const auto self = shared_from_this();
    if (UpstreamDialect::IsUndefinedTable(ledger)) {
      mConnection.Run(LedgerCreationBatch(), [=, this](const BatchResult& aIt) {
        const auto keep = self;
        aIt.mIsLost ? FailLost(aHandler)
                    : Begin(aRequest, aHandler, std::nullopt);
      });
      return;
    }
    if (isTaken) {
      ResolveRequestId(aRequest, aHandler);
      return;
    }
    if (UpstreamDialect::IsNotPrimary(ledger)) {
      StartAgain(aRequest, aHandler);
      return;
    }
    if (ledger.IsError()) {
      FailLost(aHandler);
      return;
    }
  }
  mHasBegun = true;
  RunStatement(aRequest, std::move(aHandler));
}

/// Finds out whether an earlier transaction with this request id took effect.
void
CallerTransaction::ResolveRequestId(const Request& aRequest,
                                    AnswerHandler aHandler)
{
  auto batch = ResolutionBatch(mRequestId, mEngine.NextRequestId());
  batch.insert(batch.begin(), PlainStatement("ROLLBACK"));
  const auto self = shared_from_this();
  mConnection.Run(batch, [=, this](const BatchResult& aBatch) {
    const auto keep = self;
    auto results = aBatch;
    if (!results.mIsLost) {
      results.mResults.erase(results.mResults.begin());
    }
    const auto resolution = ParseResolution(mUpstream, results);
    if (resolution.IsError()) {
      FailLost(aHandler);
      return;
    }
    const auto& row = resolution.Value().mRow;
    if (row.mKind == LedgerRow::Kind::Tombstone) {
      Begin(aRequest, aHandler, row.mNonce);
      return;
    }
    mHasFailed = true;
    mConnection.ReturnClean();
    aHandler(ErrorAnswerOf({ ErrorKind::RequestIdReused,
                             "a transaction with this request id has "
                             "committed" }));
  });
}

/// Nothing of the transaction was kept, so it may begin at the next primary.
void
CallerTransaction::StartAgain(const Request& aRequest, AnswerHandler aHandler)
{
  mHasBegun = false;
  mConnection.Discard();
  mEngine.RequestEvidence();
  Run(aRequest, std::move(aHandler));
}

bool
CallerTransaction::MayStartAgain(const StatementResult& aResult) const
{
  return !mHasRun && mAccess == TransactionAccess::ReadWrite &&
         UpstreamDialect::IsNotPrimary(aResult);
}

void
CallerTransaction::FailLost(const AnswerHandler& aHandler)
{
  mHasFailed = true;
  mConnection.Discard();
  aHandler(ErrorAnswerOf(
    { ErrorKind::UpstreamLost, "the transaction's connection was lost" }));
}

void
CallerTransaction::RunStatement(const Request& aRequest, AnswerHandler aHandler)
{
  const auto self = shared_from_this();
  mConnection.Run({ aRequest.mStatement },
                  [=, this](const BatchResult& aBatch) {
                    const auto keep = self;
                    if (aBatch.mIsLost) {
                      FailLost(aHandler);
                      return;
                    }
                    const auto& result = aBatch.mResults.front();
                    if (MayStartAgain(result)) {
                      StartAgain(aRequest, aHandler);
                      return;
                    }
                    mHasFailed = result.IsError();
                    mHasRun = mHasRun || !mHasFailed;
                    aHandler(AnswerOf(result));
                  });
}

void
CallerTransaction::Commit(const Request& aRequest, AnswerHandler aHandler)
{
  if (mHasFailed || !mHasBegun) {
    const auto tag = mHasFailed ? "ROLLBACK" : "COMMIT";
    Rollback([aHandler, tag](const Answer&) { aHandler(Tagged(tag)); });
    return;
  }
  if (mAccess == TransactionAccess::ReadOnly) {
    const auto self = shared_from_this();
    mConnection.Run({ PlainStatement("COMMIT") },
                    [self, this, aHandler](const BatchResult& aBatch) {
                      aBatch.mIsLost ? mConnection.Discard()
                                     : mConnection.ReturnClean();
                      aHandler(Tagged("COMMIT"));
                    });
    return;
  }
  auto request = aRequest;
  request.mRequestId = mRequestId;
  const auto commit =
    std::make_shared<TransactionCommit>(mEngine,
                                        request,
                                        std::move(aHandler),
                                        std::move(mConnection),
                                        mUpstream,
                                        mIsOwnRequestId);
  commit->Start();
}

void
CallerTransaction::Rollback(AnswerHandler aHandler)
{
  mHasFailed = true;
  if (!mConnection) {
    aHandler(Tagged("ROLLBACK"));
    return;
  }
  const auto self = shared_from_this();
  mConnection.Run({ PlainStatement("ROLLBACK") },
                  [self, this, aHandler](const BatchResult& aBatch) {
                    aBatch.mIsLost ? mConnection.Discard()
                                   : mConnection.ReturnClean();
                    aHandler(Tagged("ROLLBACK"));
                  });
}

}
