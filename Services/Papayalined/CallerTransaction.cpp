#include "CallerTransaction.h"

#include "Clock.h"
#include "GroupEngine.h"
#include "TransactionOperations.h"

namespace papayaline {

namespace {

constexpr size_t kLedgerIndex = 1;

Response
CommandTagResponse(const QByteArray& aTag)
{
  Response response;
  response.mTag = aTag;
  return response;
}

Response
AbortedResponse()
{
  Response response;
  response.mError = ResponseError{
    "25P02", "current transaction is aborted, commands ignored until ROLLBACK"
  };
  return response;
}

}

CallerTransaction::CallerTransaction(GroupEngine& aEngine,
                                     TransactionAccess aAccess,
                                     QByteArray aRequestId)
  : mEngine(aEngine)
  , mAccess(aAccess)
  , mRequestId(std::move(aRequestId))
  , mIsRequestIdGenerated(mRequestId.isEmpty())
{
  if (mIsRequestIdGenerated) {
    mRequestId = mEngine.NextRequestId();
  }
}

void
CallerTransaction::Run(const Request& aRequest, ResponseHandler aHandler)
{
  if (mHasFailed) {
    aHandler(AbortedResponse());
    return;
  }
  if (mHasBegun) {
    RunStatement(aRequest, std::move(aHandler));
    return;
  }
  const auto self = shared_from_this();
  auto onError = [self, aHandler](const Response& aResponse) {
    self->mHasFailed = true;
    aHandler(aResponse);
  };
  auto onAcquired = [self, aRequest, aHandler](PooledConnection aConnection,
                                               const std::string& aUpstream) {
    self->OnAcquired(std::move(aConnection), aUpstream, aRequest, aHandler);
  };
  mEngine.Submit(std::make_shared<TransactionStart>(
    mEngine, aRequest, mAccess, std::move(onAcquired), std::move(onError)));
}

void
CallerTransaction::OnAcquired(PooledConnection aConnection,
                              std::string aUpstream,
                              const Request& aRequest,
                              ResponseHandler aHandler)
{
  mConnection = std::move(aConnection);
  mUpstream = std::move(aUpstream);
  Begin(aRequest, std::move(aHandler), std::nullopt);
}

/// Begins the transaction at the database. A request id from the caller is
/// inserted into the ledger here, so that a retry is detected before any of its
/// statements run.
void
CallerTransaction::Begin(const Request& aRequest,
                         ResponseHandler aHandler,
                         std::optional<QByteArray> aTombstoneNonce)
{
  const auto& dialect = UpstreamDialect::Default();
  const bool isReadOnly = mAccess == TransactionAccess::ReadOnly;
  std::vector<UpstreamStatement> batch = { PlainStatement(
    isReadOnly ? "BEGIN READ ONLY" : "BEGIN") };
  if (aTombstoneNonce) {
    batch.push_back(
      dialect.ClaimTombstone(mRequestId, *aTombstoneNonce, UnixTimeSeconds()));
  } else if (!mIsRequestIdGenerated && !isReadOnly) {
    batch.push_back(dialect.InsertLedger(mRequestId, UnixTimeSeconds()));
  }
  const auto self = shared_from_this();
  mConnection.Run(batch,
                  [=, this, isTombstoneClaim = aTombstoneNonce.has_value()](
                    const BatchResult& aBatch) {
                    const auto keepAlive = self;
                    OnBegun(aBatch, aRequest, aHandler, isTombstoneClaim);
                  });
}

void
CallerTransaction::OnBegun(const BatchResult& aBatch,
                           const Request& aRequest,
                           ResponseHandler aHandler,
                           bool aIsTombstoneClaim)
{
  if (aBatch.mIsLost) {
    FailConnectionLost(aHandler);
    return;
  }
  if (aBatch.mResults.size() > kLedgerIndex) {
    const auto& ledger = aBatch.mResults[kLedgerIndex];
    const bool isTaken =
      UpstreamDialect::IsUniqueViolation(ledger) ||
      (aIsTombstoneClaim && !ledger.IsError() && ledger.mRowCount == 0);
    const auto self = shared_from_this();
    if (UpstreamDialect::IsUndefinedTable(ledger)) {
      mConnection.Run(MakeLedgerCreationBatch(),
                      [=, this](const BatchResult& aIt) {
                        const auto keepAlive = self;
                        aIt.mIsLost ? FailConnectionLost(aHandler)
                                    : Begin(aRequest, aHandler, std::nullopt);
                      });
      return;
    }
    if (isTaken) {
      ResolveRequestId(aRequest, aHandler);
      return;
    }
    if (UpstreamDialect::IsNotPrimary(ledger)) {
      Restart(aRequest, aHandler);
      return;
    }
    if (ledger.IsError()) {
      FailConnectionLost(aHandler);
      return;
    }
  }
  mHasBegun = true;
  RunStatement(aRequest, std::move(aHandler));
}

/// Determines whether an earlier transaction with this request id committed.
void
CallerTransaction::ResolveRequestId(const Request& aRequest,
                                    ResponseHandler aHandler)
{
  auto batch = MakeResolutionBatch(mRequestId, mEngine.NextRequestId());
  batch.insert(batch.begin(), PlainStatement("ROLLBACK"));
  const auto self = shared_from_this();
  mConnection.Run(batch, [=, this](const BatchResult& aBatch) {
    const auto keepAlive = self;
    auto results = aBatch;
    if (!results.mIsLost) {
      results.mResults.erase(results.mResults.begin());
    }
    const auto resolution = ParseResolution(mUpstream, results);
    if (resolution.IsError()) {
      FailConnectionLost(aHandler);
      return;
    }
    const auto& row = resolution.Value().mRow;
    if (row.mKind == LedgerRow::Kind::Tombstone) {
      Begin(aRequest, aHandler, row.mNonce);
      return;
    }
    mHasFailed = true;
    mConnection.ReturnClean();
    aHandler(MakeErrorResponse({ ErrorKind::RequestIdReused,
                                 "a transaction with this request id has "
                                 "committed" }));
  });
}

/// Restarts the transaction on the new primary. Nothing of it took effect on
/// the previous one.
void
CallerTransaction::Restart(const Request& aRequest, ResponseHandler aHandler)
{
  mHasBegun = false;
  mConnection.Discard();
  mEngine.RequestEvidence();
  Run(aRequest, std::move(aHandler));
}

bool
CallerTransaction::MayRestart(const StatementResult& aResult) const
{
  return !mHasSucceededStatement && mAccess == TransactionAccess::ReadWrite &&
         UpstreamDialect::IsNotPrimary(aResult);
}

void
CallerTransaction::FailConnectionLost(const ResponseHandler& aHandler)
{
  mHasFailed = true;
  mConnection.Discard();
  aHandler(MakeErrorResponse(
    { ErrorKind::UpstreamLost,
      "the upstream connection of the transaction was lost" }));
}

void
CallerTransaction::RunStatement(const Request& aRequest,
                                ResponseHandler aHandler)
{
  const auto self = shared_from_this();
  mConnection.Run(
    { aRequest.mStatement }, [=, this](const BatchResult& aBatch) {
      const auto keepAlive = self;
      if (aBatch.mIsLost) {
        FailConnectionLost(aHandler);
        return;
      }
      const auto& result = aBatch.mResults.front();
      if (MayRestart(result)) {
        Restart(aRequest, aHandler);
        return;
      }
      mHasFailed = result.IsError();
      mHasSucceededStatement = mHasSucceededStatement || !mHasFailed;
      aHandler(MakeResponse(result));
    });
}

void
CallerTransaction::Commit(const Request& aRequest, ResponseHandler aHandler)
{
  if (mHasFailed || !mHasBegun) {
    const auto tag = mHasFailed ? "ROLLBACK" : "COMMIT";
    Rollback(
      [aHandler, tag](const Response&) { aHandler(CommandTagResponse(tag)); });
    return;
  }
  if (mAccess == TransactionAccess::ReadOnly) {
    const auto self = shared_from_this();
    mConnection.Run({ PlainStatement("COMMIT") },
                    [self, this, aHandler](const BatchResult& aBatch) {
                      aBatch.mIsLost ? mConnection.Discard()
                                     : mConnection.ReturnClean();
                      aHandler(CommandTagResponse("COMMIT"));
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
                                        mIsRequestIdGenerated);
  commit->Start();
}

void
CallerTransaction::Rollback(ResponseHandler aHandler)
{
  mHasFailed = true;
  if (!mConnection) {
    aHandler(CommandTagResponse("ROLLBACK"));
    return;
  }
  const auto self = shared_from_this();
  mConnection.Run({ PlainStatement("ROLLBACK") },
                  [self, this, aHandler](const BatchResult& aBatch) {
                    aBatch.mIsLost ? mConnection.Discard()
                                   : mConnection.ReturnClean();
                    aHandler(CommandTagResponse("ROLLBACK"));
                  });
}

}
