#pragma once

#include "CallerTransaction.h"

namespace papayaline {

/// Waits for a connection to an upstream on which a transaction can begin.
class TransactionStart : public Operation
{
public:
  using AcquiredHandler =
    std::function<void(PooledConnection, const std::string& aUpstream)>;

  TransactionStart(GroupEngine& aEngine,
                   Request aRequest,
                   TransactionAccess aAccess,
                   AcquiredHandler aOnAcquired,
                   ResponseHandler aOnError);

  StartResult TryStart(Instant aNow) override;
  void OnEvidence(Instant) override {}
  void OnDeadline() override;
  bool AwaitsEvidence() const override { return true; }

private:
  std::optional<std::string> ChooseUpstream(Instant aNow) const;

  TransactionAccess mAccess;
  AcquiredHandler mOnAcquired;
};

/// Commits a caller's transaction and responds with the outcome that the
/// WriteMachine determines.
class TransactionCommit : public Operation
{
public:
  TransactionCommit(GroupEngine& aEngine,
                    Request aRequest,
                    ResponseHandler aHandler,
                    PooledConnection aConnection,
                    std::string aUpstream,
                    bool aInsertsLedgerRow);

  /// Adds the operation to the engine and sends the commit. Call once, instead
  /// of GroupEngine::Submit.
  void Start();

  StartResult TryStart(Instant aNow) override;
  void OnEvidence(Instant aNow) override;
  void OnDeadline() override;
  bool AwaitsEvidence() const override;

private:
  void HandleEvent(const WriteEvent& aEvent);
  void OnCommitResult(const BatchResult& aBatch);
  void OnResolutionResult(const BatchResult& aBatch);
  void FinishWithOutcome(WriteOutcome aOutcome);

  WriteMachine mMachine;
  PooledConnection mConnection;
  std::string mUpstream;
  /// Whether the commit must insert the ledger row of the request id first.
  bool mInsertsLedgerRow;
  bool mIsQueued = false;
  LogPosition mPosition;
};

}
