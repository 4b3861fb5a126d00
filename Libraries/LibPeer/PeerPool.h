#pragma once

#include "LibDecision/ClockOffset.h"
#include "LibDecision/Placement.h"
#include "LibPeer/PeerChannel.h"

#include <map>
#include <set>

namespace papayaline {

struct PeerPoolSettings
{
  /// Several round trips between failure domains. A statement whose instance
  /// has not accepted the connection by then is run at another one.
  Duration mOpenTimeout = std::chrono::milliseconds(300);
  /// A peer is pinged when it has sent nothing for this long while a statement
  /// or transaction is in flight. Nearly all statements take less.
  Duration mPingAfter = std::chrono::milliseconds(250);
  /// The connection is closed when a pinged peer has sent nothing for this
  /// long. Longer than the stalls of a process that shares a core, shorter than
  /// the shortest timeout of a route.
  Duration mLivenessTimeout = std::chrono::milliseconds(700);
  /// A tick after a longer interval is late: this process was stalled, or is
  /// short of processor time. Messages that arrived meanwhile are read before
  /// the next tick, and the excess counts as no silence of a peer.
  Duration mMaxTickInterval = std::chrono::milliseconds(100);
  /// Delay before a failed connection is opened again; doubles up to the
  /// maximum.
  Duration mRetryDelay = std::chrono::milliseconds(100);
  Duration mMaxRetryDelay = std::chrono::seconds(2);
  /// Delay before an instance that announced its shutdown is used again, from
  /// the close of the connection: the time that a restart takes.
  Duration mLeavingRetryDelay = std::chrono::seconds(2);
  /// An unused connection is closed after this time.
  Duration mIdleTimeout = std::chrono::seconds(30);
  /// How long to wait for an answer after the route's timeout. The instance
  /// that runs the statement ends it by that timeout, and its answer still has
  /// to arrive.
  Duration mAnswerMargin = std::chrono::milliseconds(400);
};

/// How a forwarded statement ended.
struct ForwardOutcome
{
  enum class Kind
  {
    Answered,
    /// No part of the statement ran at the peer.
    NotRun,
    /// The statement may have run.
    Unknown,
  };

  Kind mKind = Kind::NotRun;
  /// Valid with Kind::Answered only.
  StatementAnswer mAnswer;
  std::optional<ForwardedTransaction> mTransaction;
  /// The load of the group at the peer, if it told.
  std::optional<GroupLoad> mLoad;
};

/// The connections to other instances, with the calls in flight on each.
/// Sockets and the clock are injected. Thread safety: one thread.
class PeerPool
{
public:
  using Clock = std::function<Instant()>;
  using ForwardHandler = std::function<void(const ForwardOutcome&)>;
  using ObjectsHandler = std::function<void(const Result<ObjectsAnswer>&)>;
  using QuotaHandler = std::function<void(const Result<QuotaAnswer>&)>;
  using LogSink = std::function<void(
    const std::string& aEvent,
    const std::vector<std::pair<std::string, std::string>>&)>;

  PeerPool(std::string aInstance,
           PeerOpener aOpener,
           Clock aClock,
           LogSink aLog,
           PeerPoolSettings aSettings = {});
  ~PeerPool();

  /// Sets the instances that may be called. This instance itself and instances
  /// without an address are ignored.
  void SetPeers(const std::vector<InstanceInfo>& aInstances);

  /// Whether the peer is connected, or is expected to accept a connection.
  bool IsUsable(const std::string& aPeer) const;

  /// Forwards a statement and returns a call id for Cancel. The handler is
  /// called once, after Forward has returned, unless the call is cancelled.
  /// ForwardStatement::mCall is assigned here, and mConfirmedAt, which is on
  /// this instance's clock, is converted to the peer's. Precondition: the peer
  /// is usable.
  uint64_t Forward(const std::string& aPeer,
                   ForwardStatement aStatement,
                   ForwardHandler aHandler);
  /// Whether the connection that the transaction belongs to still exists.
  bool IsTransactionAlive(const ForwardedTransaction& aTransaction) const;
  /// Removes a call and tells the peer to drop the statement if it is still
  /// queued there. A statement that is running is not stopped. Returns whether
  /// the statement had not been sent to the peer.
  bool Cancel(uint64_t aCallId);
  void RollBack(const ForwardedTransaction& aTransaction);
  /// Waits for changes of objects. The answer is marked unavailable when the
  /// peer can't tell. Errors: DeadlinePassed when the peer does not answer in
  /// time, Unreachable when the connection closes. Precondition: the peer is
  /// usable.
  void Watch(const std::string& aPeer,
             WatchObjects aWatch,
             ObjectsHandler aHandler);

  /// Requests tokens. Errors: DeadlinePassed when the peer does not answer in
  /// time, Unreachable when the connection closes or the peer is of an older
  /// version. The handler is called after AskQuota has returned. Precondition:
  /// the peer is usable.
  void AskQuota(const std::string& aPeer,
                QuotaRequest aRequest,
                QuotaHandler aHandler);
  /// The feature level that the peer sent with its hello; unset while it is not
  /// connected.
  std::optional<int> FeatureLevelOf(const std::string& aPeer) const;

  /// Must run at least each 20 ms.
  void Tick();

private:
  /// The message of a call until it is sent.
  struct UnsentMessage
  {
    PeerMessage mMessage;
    Instant mQueuedAt;
  };
  /// A call owns its unsent message, so a call that has ended can't be sent.
  struct Call
  {
    ForwardHandler mOnForward;
    ObjectsHandler mOnObjects;
    QuotaHandler mOnQuota;
    /// In run time.
    Instant mStartedAt;
    Instant mDeadline;
    std::optional<UnsentMessage> mUnsent;
  };
  struct TickTime
  {
    Instant mNow;
    /// A clock that advances by mMaxTickInterval at most from tick to tick.
    Instant mRunTime;
  };
  struct Peer
  {
    InstanceInfo mInfo;
    std::unique_ptr<PeerChannel> mChannel;
    /// 0 while there is no channel.
    uint64_t mConnection = 0;
    /// Whether the peer has sent its hello.
    bool mIsOpen = false;
    /// Valid while mIsOpen.
    int mFeatureLevel = 0;
    bool mIsLeaving = false;
    bool mIsInFleet = true;
    /// In run time.
    Instant mOpenedAt;
    Instant mLastUsedAt;
    /// In run time.
    Instant mLastReceivedAt;
    bool mIsPinged = false;
    Instant mRetryAt;
    unsigned mConsecutiveFailures = 0;
    /// Of the present connection.
    ClockOffset mClockOffset;
    /// By call id, which is the order in which they are sent.
    std::map<uint64_t, Call> mCalls;
    std::set<uint64_t> mTransactions;
  };

  Peer& EnsureConnected(const std::string& aPeer);
  /// Registers a call under aCallId and sends its message, or keeps the message
  /// until the peer has accepted the connection.
  void StartCall(Peer& aPeer,
                 uint64_t aCallId,
                 Call aCall,
                 PeerMessage aMessage);
  void Open(const std::string& aName, Peer& aPeer);
  void Send(Peer& aPeer, PeerMessage aMessage) const;
  void ObserveClock(Peer& aPeer, const std::optional<Instant>& aClock) const;
  void OnHello(Peer& aPeer, const PeerHello& aHello);
  void OnMessage(const std::string& aPeer, const PeerMessage& aMessage);
  void OnAnswer(Peer& aPeer, const ForwardAnswer& aAnswer);
  void OnObjects(Peer& aPeer, const ObjectsAnswer& aAnswer);
  void OnQuota(Peer& aPeer, const QuotaAnswer& aAnswer);
  void Close(const std::string& aPeer, const std::string& aReason);
  void CheckLiveness(const std::string& aName, Peer& aPeer, Instant aRunTime);
  /// Ends the calls whose deadline is not after aDue.
  void ExpireCalls(const std::string& aName, Peer& aPeer, Instant aDue);
  void Reopen(const std::string& aName, Peer& aPeer, Instant aNow);
  bool IsIdle(const Peer& aPeer, Instant aNow) const;
  static void FailCall(const Call& aCall, const Error& aError);

  std::string mInstance;
  PeerOpener mOpener;
  Clock mClock;
  LogSink mLog;
  PeerPoolSettings mSettings;
  std::map<std::string, Peer> mPeers;
  uint64_t mLastCallId = 0;
  uint64_t mLastConnectionId = 0;
  TickTime mLastTick;
};

}
