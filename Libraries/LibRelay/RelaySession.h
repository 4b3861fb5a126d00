#pragma once

#include "LibRelay/RelayRouter.h"

namespace papayaline {

/// A caller's session: its transaction, session variables and prepared
/// statements, independent of the caller's wire protocol.
/// Thread safety: one thread.
class RelaySession : public std::enable_shared_from_this<RelaySession>
{
public:
  using Responder = std::function<void(const StatementAnswer&)>;

  /// aKey identifies the caller. aRespond is called once for each statement,
  /// possibly before Handle returns.
  RelaySession(RelayRouter& aRouter,
               std::string aDatabase,
               std::string aKey,
               Responder aRespond);
  ~RelaySession();

  /// Precondition: the previous statement has been answered.
  void Handle(const CallerStatement& aStatement);
  /// Responds to a request that could not be parsed.
  void HandleInvalid(const Error& aError);

  bool IsBusy() const { return mIsBusy; }
  /// Whether no statement and no transaction is in progress, so that the
  /// connection can be closed without loss.
  bool IsIdle() const { return !mIsBusy && mPhase == Phase::None; }
  /// Answers the statement in progress, if any, because the instance ends: as
  /// not run if that is certain, else with an unknown outcome. The session must
  /// not be used afterwards. Returns whether there was one.
  bool Abandon();
  /// Rolls back a transaction that waits for the caller's next statement, whose
  /// response is then aReason. No effect while a statement runs.
  void RollBackTransaction(const Error& aReason);
  /// Rolls back the transaction when it has been idle for longer than the
  /// configuration allows.
  void ExpireTransaction(Instant aNow);

private:
  enum class Phase
  {
    None,
    /// Begun by the caller, but not yet at a database: its first statement
    /// chooses the database.
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

  /// Whether the router's admission allows a statement. One that belongs to a
  /// transaction is always allowed.
  bool IsAdmitted(const CallerStatement& aStatement) const;
  bool ResolveRoute();
  bool Identify();
  /// Why the open transaction must not go on, if so: keys are taken away and
  /// moved while transactions are open.
  std::optional<Error> FindDenial() const;
  RelayRequest MakeRequest(const CallerStatement& aStatement) const;
  void Send(RelayRequest aRequest);
  void OnOutcome(const RelayOutcome& aOutcome, const RelayRequest& aRequest);
  void RespondSuccess();
  void Fail(const Error& aError);
  void Respond(StatementAnswer aAnswer);
  void EndTransaction();
  TransactionState State() const;

  RelayRouter& mRouter;
  std::string mDatabase;
  std::string mKey;
  Responder mRespond;
  std::shared_ptr<SessionState> mState;
  Phase mPhase = Phase::None;
  TransactionMode mMode = TransactionMode::None;
  RelayRoute mRoute;
  StatementAuthority mAuthority;
  std::shared_ptr<StatementRunner> mRunner;
  std::shared_ptr<OpenTransaction> mTransaction;
  Error mFailure;
  Instant mTransactionStartedAt;
  Instant mLastResponseAt;
  bool mHasWritten = false;
  bool mIsBusy = false;
  /// Whether the statement in progress may have a lasting effect once sent.
  bool mMayHaveEffect = false;
};

}
