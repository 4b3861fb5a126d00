#pragma once

#include "LibRelay/RelayRouter.h"

namespace papayaline {

/// One caller's session: transaction, values and prepared statements, free of
/// the caller's wire format. Thread safety: one thread.
class RelaySession : public std::enable_shared_from_this<RelaySession>
{
public:
  using Responder = std::function<void(const StatementAnswer&)>;

  /// aRespond is called once for each statement, possibly within Handle.
  RelaySession(RelayRouter& aRouter, std::string aDatabase, Responder aRespond);
  ~RelaySession();

  /// Precondition: the previous statement has been answered.
  void Handle(const CallerStatement& aStatement);
  /// Answers one request that could not be read.
  void HandleInvalid(const Error& aError);

  bool IsBusy() const { return mIsBusy; }
  /// Between two operations: nothing is lost when the connection ends now.
  bool IsIdle() const { return !mIsBusy && mPhase == Phase::None; }
  /// Rolls a transaction back that waits for its caller; the caller learns it
  /// with its next statement.
  void AbortTransaction(const Error& aReason);
  /// Does so when the transaction has idled longer than the configuration
  /// allows.
  void ExpireTransaction(Instant aNow);

private:
  enum class Phase
  {
    None,
    /// Begun by the caller; no database knows of it yet.
    Begun,
    Open,
    Failed,
  };

  void Begin(const CallerStatement& aStatement);
  void Run(const CallerStatement& aStatement);
  void Commit(const CallerStatement& aStatement);
  void Rollback(const CallerStatement& aStatement);
  void SetValue(const CallerStatement& aStatement);
  void Prepare(const CallerStatement& aStatement);
  void ClosePrepared(const CallerStatement& aStatement);

  bool ResolveRoute();
  RelayRequest MakeRequest(const CallerStatement& aStatement) const;
  void Send(RelayRequest aRequest);
  void OnOutcome(const RelayOutcome& aOutcome, const RelayRequest& aRequest);
  void RespondDone();
  void Fail(const Error& aError);
  void Respond(StatementAnswer aAnswer);
  void EndTransaction();
  TransactionState State() const;

  RelayRouter& mRouter;
  std::string mDatabase;
  Responder mRespond;
  std::shared_ptr<SessionState> mState;
  Phase mPhase = Phase::None;
  TransactionMode mMode = TransactionMode::None;
  RelayRoute mRoute;
  std::shared_ptr<StatementRunner> mGroup;
  std::shared_ptr<TransactionHold> mHold;
  Error mFailure;
  Instant mArrivedAt;
  Instant mLastAnswerAt;
  bool mHasWritten = false;
  bool mIsBusy = false;
};

}
