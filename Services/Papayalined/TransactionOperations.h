#pragma once

#include "CallerTransaction.h"

namespace papayaline {

/// Waits for a connection on which a transaction can begin.
class TransactionStart : public Operation
{
public:
  using Acquired =
    std::function<void(PooledConnection, const std::string& aUpstream)>;

  TransactionStart(GroupEngine& aEngine,
                   Request aRequest,
                   TransactionAccess aAccess,
                   Acquired aOnAcquired,
                   AnswerHandler aOnRefused);

  StartResult TryStart(Instant aNow) override;
  void OnEvidence(Instant) override {}
  void OnDeadline() override;
  bool AwaitsEvidence() const override { return true; }

private:
  std::optional<std::string> Choose(Instant aNow) const;

  TransactionAccess mAccess;
  Acquired mOnAcquired;
};

/// Commits a caller's transaction and follows the WriteMachine to a true
/// answer.
class TransactionCommit : public Operation
{
public:
  TransactionCommit(GroupEngine& aEngine,
                    Request aRequest,
                    AnswerHandler aHandler,
                    PooledConnection aConnection,
                    std::string aUpstream,
                    bool aNeedsLedgerRow);

  /// Sends the commit; call once after Submit.
  void Start();

  StartResult TryStart(Instant aNow) override;
  void OnEvidence(Instant aNow) override;
  void OnDeadline() override;
  bool AwaitsEvidence() const override;

private:
  void Feed(const WriteEvent& aEvent);
  void OnCommitAnswer(const BatchResult& aBatch);
  void OnResolutionAnswer(const BatchResult& aBatch);
  void FinishWith(WriteVerdict aVerdict);

  WriteMachine mMachine;
  PooledConnection mConnection;
  std::string mUpstream;
  bool mNeedsLedgerRow;
  bool mIsQueued = false;
  LogPosition mPosition;
};

}
