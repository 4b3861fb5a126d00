#pragma once

#include "LibDecision/WriteMachine.h"
#include "Operation.h"
#include "UpstreamPool.h"
#include "WriteOperation.h"

#include <QObject>

namespace papayaline {

enum class TransactionAccess
{
  ReadWrite,
  ReadOnly,
};

/// A caller's transaction. Holds one upstream connection from its first
/// statement to its end; destroying it earlier closes the connection, which
/// rolls back. Thread safety: the engine's thread.
class CallerTransaction : public std::enable_shared_from_this<CallerTransaction>
{
public:
  CallerTransaction(GroupEngine& aEngine,
                    TransactionAccess aAccess,
                    QByteArray aRequestId);

  /// Runs a statement within the transaction. When the connection is lost, the
  /// transaction has failed without effect and rejects later statements.
  /// Precondition: no other statement is in flight.
  void Run(const Request& aRequest, ResponseHandler aHandler);
  /// Commits and responds once a majority holds the commit. A transaction that
  /// has failed is rolled back instead.
  void Commit(const Request& aRequest, ResponseHandler aHandler);
  void Rollback(ResponseHandler aHandler);

  bool HasFailed() const { return mHasFailed; }
  /// Marks the transaction as failed after a statement was rejected locally.
  void MarkFailed() { mHasFailed = true; }

private:
  friend class TransactionStart;

  void OnAcquired(PooledConnection aConnection,
                  std::string aUpstream,
                  const Request& aRequest,
                  ResponseHandler aHandler);
  void Begin(const Request& aRequest,
             ResponseHandler aHandler,
             std::optional<QByteArray> aTombstoneNonce);
  void OnBegun(const BatchResult& aBatch,
               const Request& aRequest,
               ResponseHandler aHandler,
               bool aIsTombstoneClaim);
  void ResolveRequestId(const Request& aRequest, ResponseHandler aHandler);
  void RunStatement(const Request& aRequest, ResponseHandler aHandler);
  void Restart(const Request& aRequest, ResponseHandler aHandler);
  bool MayRestart(const StatementResult& aResult) const;
  void FailConnectionLost(const ResponseHandler& aHandler);

  GroupEngine& mEngine;
  TransactionAccess mAccess;
  QByteArray mRequestId;
  /// The caller gave no request id, so the instance generated one.
  bool mIsRequestIdGenerated;
  PooledConnection mConnection;
  std::string mUpstream;
  bool mHasBegun = false;
  /// Once the caller has seen a result, the transaction can't restart on
  /// another primary.
  bool mHasSucceededStatement = false;
  bool mHasFailed = false;
};

}
