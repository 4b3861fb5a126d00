#pragma once

#include "LibDecision/WriteMachine.h"
#include "LibUpstream/UpstreamDialect.h"
#include "Operation.h"
#include "UpstreamPool.h"

namespace papayaline {

/// What the ledger holds for a request id after a resolution, which writes a
/// tombstone unless the request has committed.
struct Resolution
{
  LedgerRow mRow;
  /// The end of the primary's log when the resolution ran.
  LogPosition mPosition;
};

/// Returns the statements that resolve a request id. A tombstone that they
/// write or find gets the nonce.
std::vector<UpstreamStatement>
MakeResolutionBatch(const QByteArray& aRequestId, const QByteArray& aNonce);
/// Returns the statements that roll back a transaction that failed because the
/// ledger table is missing, and create the table.
std::vector<UpstreamStatement>
MakeLedgerCreationBatch();
/// Whether a resolution failed because the ledger table is missing.
bool
IsLedgerMissing(const BatchResult& aBatch);
/// Parses the result of MakeResolutionBatch. Errors: UpstreamLost when the
/// connection was lost, the database is not the primary or a statement failed.
Result<Resolution>
ParseResolution(const std::string& aUpstream, const BatchResult& aBatch);

/// A write outside a transaction. Commits the statement together with its
/// ledger row, and responds with the outcome that the WriteMachine determines.
class WriteOperation : public Operation
{
public:
  WriteOperation(GroupEngine& aEngine,
                 Request aRequest,
                 ResponseHandler aHandler);

  StartResult TryStart(Instant aNow) override;
  void OnEvidence(Instant aNow) override;
  void OnDeadline() override;
  bool AwaitsEvidence() const override;

private:
  enum class Step
  {
    Write,
    Resolution,
  };

  /// Passes an event to the WriteMachine and performs the resulting action.
  void HandleEvent(const WriteEvent& aEvent);
  void PerformAction(const WriteAction& aAction);
  void RunWrite();
  void OnWriteResult(const BatchResult& aBatch);
  void OnLedgerError(const StatementResult& aResult);
  void OnStatementError(const StatementResult& aResult);
  void CommitWrite(const StatementResult& aResult);
  void OnCommitResult(const BatchResult& aBatch);
  void RollBack(std::function<void()> aOnDone);
  void CreateLedger();
  void RunResolution();
  void OnResolutionResult(const BatchResult& aBatch);
  void FinishWithOutcome(WriteOutcome aOutcome);

  WriteMachine mMachine;
  Step mStep = Step::Write;
  /// The tombstone that the write claims; none inserts a new ledger row.
  std::optional<std::string> mTombstoneNonce;
  PooledConnection mConnection;
  std::string mUpstream;
  bool mIsQueued = true;
  Instant mStartedAt;
  Response mResponse;
  LogPosition mPosition;
  /// The ledger row of this request id that the last resolution read.
  LedgerRow mResolvedRow;
};

}
