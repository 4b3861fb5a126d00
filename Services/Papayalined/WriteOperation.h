#pragma once

#include "LibDecision/WriteMachine.h"
#include "LibUpstream/UpstreamDialect.h"
#include "Operation.h"
#include "UpstreamPool.h"

namespace papayaline {

/// Finds out through the ledger whether a request id took effect, by writing a
/// tombstone unless it did.
struct Resolution
{
  LedgerRow mRow;
  LogPosition mPosition;
};

/// Statements that resolve a request id in one batch.
std::vector<UpstreamStatement>
ResolutionBatch(const QByteArray& aRequestId, const QByteArray& aNonce);
/// Ends a transaction that failed for want of the ledger and creates it.
std::vector<UpstreamStatement>
LedgerCreationBatch();
/// Whether a resolution failed because the ledger does not exist yet.
bool
LacksLedger(const BatchResult& aBatch);
/// Reads the answer of ResolutionBatch. Errors: UpstreamLost when the database
/// was not the primary or refused.
Result<Resolution>
ParseResolution(const std::string& aUpstream, const BatchResult& aBatch);

/// One write outside a transaction: runs it with its ledger row in one
/// transaction and follows the WriteMachine to a true answer.
class WriteOperation : public Operation
{
public:
  WriteOperation(GroupEngine& aEngine,
                 Request aRequest,
                 AnswerHandler aHandler);

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

  void Feed(const WriteEvent& aEvent);
  void Perform(const WriteAction& aAction);
  void RunWrite();
  void OnWriteAnswer(const BatchResult& aBatch);
  void OnLedgerRefused(const StatementResult& aResult);
  void OnStatementRefused(const StatementResult& aResult);
  void CommitWrite(const StatementResult& aResult);
  void OnCommitAnswer(const BatchResult& aBatch);
  void RollBack(std::function<void()> aThen);
  void CreateLedger();
  void RunResolution();
  void OnResolutionAnswer(const BatchResult& aBatch);
  void FinishWith(WriteVerdict aVerdict);

  WriteMachine mMachine;
  Step mStep = Step::Write;
  std::optional<std::string> mClaim;
  PooledConnection mConnection;
  std::string mUpstream;
  bool mIsQueued = true;
  Instant mStartedAt;
  Answer mAnswer;
  LogPosition mPosition;
  LedgerRow mResolved;
};

}
