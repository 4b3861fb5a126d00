#pragma once

#include "LibPeer/SharedObjectStore.h"
#include "LibRelay/RelayRouter.h"

#include <set>

namespace papayaline {

/// Runs what other instances pass on, each statement at this instance's own
/// connections; it is never passed on again. Free of sockets and clocks.
/// Thread safety: one thread.
class PeerServer
{
public:
  using Clock = std::function<Instant()>;
  using Sender = std::function<void(const PeerMessage&)>;

  /// What one connection from another instance has under way. When it ends,
  /// what waits is forgotten and open transactions are rolled back.
  class Session : public std::enable_shared_from_this<Session>
  {
  public:
    Session(PeerServer& aServer, Sender aSend);
    ~Session();

    /// Errors: ProtocolViolation when the message can't be what a calling
    /// instance sends now; the connection is then to be closed.
    Result<Done> Handle(const PeerMessage& aMessage);
    /// Statements and transactions under way.
    size_t BusyCount() const { return mCalls.size() + mTransactions.size(); }

  private:
    friend class PeerServer;

    struct Call
    {
      std::shared_ptr<SessionState> mState;
      std::shared_ptr<RelayGroup> mGroup;
      uint64_t mTransaction = 0;
    };
    struct Transaction
    {
      std::shared_ptr<RelayGroup> mGroup;
      std::shared_ptr<TransactionHold> mHold;
      Instant mLastAnswerAt;
    };

    Result<Done> Run(const ForwardStatement& aStatement);
    void Cancel(uint64_t aCall);
    void Abandon(uint64_t aTransaction);
    void OnOutcome(uint64_t aCall,
                   RelayGroup& aGroup,
                   const RelayOutcome& aOutcome);
    void ExpireTransactions(Instant aNow);

    PeerServer& mServer;
    Sender mSend;
    std::string mPeer;
    std::map<uint64_t, Call> mCalls;
    /// Transactions between two statements.
    std::map<uint64_t, Transaction> mTransactions;
    uint64_t mLastTransaction = 0;
  };

  PeerServer(std::string aInstance,
             RelayRouter& aRouter,
             SharedObjectStore& aStore,
             Clock aClock);

  /// Takes a connection of another instance and greets it.
  std::shared_ptr<Session> Accept(Sender aSend);
  /// Tells the other instances that this one is shutting down. What they send
  /// is still served.
  void Leave();
  /// Rolls back what waits for its caller; the caller learns it with its next
  /// statement.
  void AbandonTransactions();
  size_t BusyCount() const;
  uint64_t ServedCount() const { return mServed; }
  void Tick();

private:
  std::string mInstance;
  RelayRouter& mRouter;
  SharedObjectStore& mStore;
  Clock mClock;
  std::set<Session*> mSessions;
  bool mIsLeaving = false;
  uint64_t mServed = 0;
};

}
