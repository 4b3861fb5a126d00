#pragma once

#include "LibPeer/SharedObjectStore.h"
#include "LibRelay/RelayRouter.h"

#include <set>

namespace papayaline {

/// Answers the requests of other instances for tokens of accounts. Thread
/// safety: one thread.
class QuotaServer
{
public:
  using AnswerHandler = std::function<void(const QuotaAnswer&)>;

  virtual ~QuotaServer() = default;

  /// Calls the handler once, at once or within the time that the tokens are
  /// valid.
  virtual void ServeQuota(const QuotaRequest& aRequest,
                          AnswerHandler aHandler) = 0;
};

/// Runs statements that other instances forward, on this instance's own
/// connections only: a statement is never forwarded again. Sockets and the
/// clock are injected. Thread safety: one thread.
class PeerServer
{
public:
  using Clock = std::function<Instant()>;
  using Sender = std::function<void(const PeerMessage&)>;

  /// A connection from another instance, with its statements and transactions.
  /// The destructor cancels queued statements and rolls back open transactions.
  class Session : public std::enable_shared_from_this<Session>
  {
  public:
    Session(PeerServer& aServer, Sender aSend);
    ~Session();

    /// Errors: ProtocolViolation when a connecting instance may not send this
    /// message now. The owner must then close the connection.
    Result<Done> Handle(const PeerMessage& aMessage);
    /// Number of statements in flight and of transactions between statements.
    size_t InFlightCount() const
    {
      return mCalls.size() + mTransactions.size();
    }

  private:
    friend class PeerServer;

    struct Call
    {
      std::shared_ptr<SessionState> mState;
      std::shared_ptr<RelayGroup> mGroup;
      uint64_t mTransaction = 0;
      QueueKind mKind = QueueKind::AtPrimary;
    };
    struct Transaction
    {
      std::shared_ptr<RelayGroup> mGroup;
      std::shared_ptr<OpenTransaction> mTransaction;
      Instant mLastAnswerAt;
    };

    Result<Done> RunStatement(const ForwardStatement& aStatement);
    void ServeQuota(const QuotaRequest& aRequest);
    void Cancel(uint64_t aCall);
    void RollBack(uint64_t aTransaction);
    void OnOutcome(uint64_t aCall,
                   RelayGroup& aGroup,
                   const RelayOutcome& aOutcome);
    void ExpireTransactions(Instant aNow);

    PeerServer& mServer;
    Sender mSend;
    std::string mPeer;
    std::map<uint64_t, Call> mCalls;
    /// Open transactions that have no statement in flight.
    std::map<uint64_t, Transaction> mTransactions;
    uint64_t mLastTransaction = 0;
  };

  PeerServer(std::string aInstance,
             RelayRouter& aRouter,
             SharedObjectStore& aStore,
             Clock aClock);

  /// Sets who answers requests for tokens; null, and none are given, where
  /// operations are not limited. It must live as long as this object.
  void SetQuotaServer(QuotaServer* aQuota) { mQuota = aQuota; }

  /// Starts a session for a new connection and sends the hello message.
  std::shared_ptr<Session> Accept(Sender aSend);
  /// Announces to all connected instances that this one is shutting down.
  /// Statements that they send afterwards are still run.
  void AnnounceShutdown();
  /// Declines statements from now on, except those of open transactions. The
  /// instances that sent them run them elsewhere.
  void DeclineStatements() { mIsDeclining = true; }
  /// Rolls back all transactions that have no statement in flight. The caller
  /// gets an error with its next statement.
  void RollBackTransactions();
  size_t InFlightCount() const;
  uint64_t ServedCount() const { return mServedCount; }
  void Tick();

private:
  std::string mInstance;
  RelayRouter& mRouter;
  SharedObjectStore& mStore;
  Clock mClock;
  QuotaServer* mQuota = nullptr;
  std::set<Session*> mSessions;
  bool mIsLeaving = false;
  bool mIsDeclining = false;
  uint64_t mServedCount = 0;
};

}
