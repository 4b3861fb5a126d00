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

/// A caller's transaction: holds one upstream connection from its first
/// statement to its end. Destroying it before the end rolls back.
/// Thread safety: the engine's thread.
class CallerTransaction : public std::enable_shared_from_this<CallerTransaction>
{
public:
  CallerTransaction(GroupEngine& aEngine,
                    TransactionAccess aAccess,
                    QByteArray aRequestId);

  /// Runs a statement within the transaction. A lost connection ends the
  /// transaction as not run; later statements are then refused.
  /// Precondition: no other statement is under way.
  void Run(const Request& aRequest, AnswerHandler aHandler);
  /// Commits and answers once a majority holds the commit.
  void Commit(const Request& aRequest, AnswerHandler aHandler);
  void Rollback(AnswerHandler aHandler);

  bool HasFailed() const { return mHasFailed; }
  /// A statement was refused before it reached the database.
  void MarkFailed() { mHasFailed = true; }

private:
  friend class TransactionStart;

  void OnAcquired(PooledConnection aConnection,
                  std::string aUpstream,
                  const Request& aRequest,
                  AnswerHandler aHandler);
  void Begin(const Request& aRequest,
             AnswerHandler aHandler,
             std::optional<QByteArray> aClaim);
  void OnBegun(const BatchResult& aBatch,
               const Request& aRequest,
               AnswerHandler aHandler,
               bool aIsClaim);
  void ResolveRequestId(const Request& aRequest, AnswerHandler aHandler);
  void RunStatement(const Request& aRequest, AnswerHandler aHandler);
  void StartAgain(const Request& aRequest, AnswerHandler aHandler);
  bool MayStartAgain(const StatementResult& aResult) const;
  void FailLost(const AnswerHandler& aHandler);

  GroupEngine& mEngine;
  TransactionAccess mAccess;
  QByteArray mRequestId;
  bool mIsOwnRequestId;
  PooledConnection mConnection;
  std::string mUpstream;
  bool mHasBegun = false;
  /// A statement has succeeded, so the transaction can't move any more.
  bool mHasRun = false;
  bool mHasFailed = false;
};

}
