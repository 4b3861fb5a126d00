#pragma once

#include "LibDecision/Placement.h"
#include "LibPeer/PeerChannel.h"

#include <map>
#include <set>

namespace papayaline {

struct PeerPoolSettings
{
  /// Several round trips between failure domains. A statement whose instance
  /// does not accept the connection by then is run elsewhere.
  Duration mOpenTimeout = std::chrono::milliseconds(300);
  /// An instance that owes an answer for so long is asked whether it lives;
  /// longer than nearly all statements take.
  Duration mPingAfter = std::chrono::milliseconds(250);
  /// One that is silent for so long counts as lost. Above the pauses of a
  /// process that shares a core, below the shortest route's timeout.
  Duration mSilence = std::chrono::milliseconds(700);
  /// More than this between two ticks is a pause of this process; what it
  /// missed says nothing of the others.
  Duration mMaxTick = std::chrono::milliseconds(100);
  /// After a connection failed; doubles up to the maximum.
  Duration mRetryDelay = std::chrono::milliseconds(100);
  Duration mMaxRetryDelay = std::chrono::seconds(2);
  /// After an instance said that it leaves: the time of a restart.
  Duration mLeavingDelay = std::chrono::seconds(2);
  /// After which a connection without use is closed.
  Duration mIdleTimeout = std::chrono::seconds(30);
  /// The instance that runs a statement gives it up by the route's timeout; its
  /// answer may take this much longer to arrive.
  Duration mAnswerSlack = std::chrono::milliseconds(400);
};

/// How a statement that was passed to another instance ended.
struct ForwardOutcome
{
  enum class Kind
  {
    Answered,
    /// Nothing of it ran there.
    NotRun,
    /// It may have run.
    Lost,
  };

  Kind mKind = Kind::NotRun;
  /// With Answered.
  StatementAnswer mAnswer;
  std::optional<ForwardedTransaction> mTransaction;
};

/// The connections to other instances, with the calls under way on each. Free
/// of sockets and clocks. Thread safety: one thread.
class PeerPool
{
public:
  using Clock = std::function<Instant()>;
  using ForwardHandler = std::function<void(const ForwardOutcome&)>;
  using ObjectsHandler = std::function<void(const ObjectsAnswer&)>;
  using LogSink = std::function<void(
    const std::string& aEvent,
    const std::vector<std::pair<std::string, std::string>>&)>;

  PeerPool(std::string aInstance,
           PeerOpener aOpener,
           Clock aClock,
           LogSink aLog,
           PeerPoolSettings aSettings = {});
  ~PeerPool();

  /// The other instances that may be called.
  void SetPeers(const std::vector<InstanceInfo>& aInstances);

  /// Whether a call may be answered, as far as is known.
  bool IsUsable(const std::string& aPeer) const;

  /// Passes a statement on; the handler is called once, never within the call,
  /// unless it is cancelled. Returns a key for Cancel. mCall is set here.
  /// Precondition: the peer is usable.
  uint64_t Run(const std::string& aPeer,
               ForwardStatement aStatement,
               ForwardHandler aHandler);
  /// Whether the connection that holds the transaction still stands.
  bool IsHeld(const ForwardedTransaction& aTransaction) const;
  /// Forgets a call; what runs there is not stopped.
  void Cancel(uint64_t aKey);
  void Abandon(const ForwardedTransaction& aTransaction);
  /// Waits for changes of objects. The answer is unknown when the peer does not
  /// answer or does not know. Precondition: the peer is usable.
  void Watch(const std::string& aPeer,
             WatchObjects aWatch,
             ObjectsHandler aHandler);

  /// Must run at least each 20 ms.
  void Tick();

private:
  struct Call
  {
    ForwardHandler mOnForward;
    ObjectsHandler mOnObjects;
    Instant mBegan;
    Instant mDeadline;
    bool mIsSent = false;
  };
  struct Peer
  {
    InstanceInfo mInfo;
    std::unique_ptr<PeerChannel> mChannel;
    /// 0 while there is no channel.
    uint64_t mConnection = 0;
    /// Whether the peer has taken the connection.
    bool mIsOpen = false;
    bool mIsLeaving = false;
    bool mIsListed = true;
    Instant mOpenedAt;
    Instant mLastUsedAt;
    Instant mLastHeardAt;
    std::optional<Instant> mPingedAt;
    Instant mRetryAt;
    unsigned mFailures = 0;
    std::vector<PeerMessage> mQueued;
    std::map<uint64_t, Call> mCalls;
    std::set<uint64_t> mTransactions;
  };

  Peer& Connected(const std::string& aPeer);
  /// Registers a call that was given the key aKey, and sends its message.
  void Begin(Peer& aPeer, uint64_t aKey, Call aCall, PeerMessage aMessage);
  void Open(const std::string& aName, Peer& aPeer);
  void Send(Peer& aPeer, PeerMessage aMessage);
  void OnGreeted(Peer& aPeer);
  void OnMessage(const std::string& aPeer, const PeerMessage& aMessage);
  void OnAnswer(Peer& aPeer, const ForwardAnswer& aAnswer);
  void OnObjects(Peer& aPeer, const ObjectsAnswer& aAnswer);
  void Close(const std::string& aPeer, const std::string& aReason);
  void CheckSilence(const std::string& aName, Peer& aPeer, Instant aNow);
  void ExpireCalls(const std::string& aName, Peer& aPeer, Instant aNow);
  void Reopen(const std::string& aName, Peer& aPeer, Instant aNow);
  bool IsIdle(const Peer& aPeer, Instant aNow) const;
  static void Fail(const Call& aCall);

  std::string mInstance;
  PeerOpener mOpener;
  Clock mClock;
  LogSink mLog;
  PeerPoolSettings mSettings;
  std::map<std::string, Peer> mPeers;
  uint64_t mLastCall = 0;
  uint64_t mLastConnection = 0;
  std::optional<Instant> mLastTick;
  /// The end of the last pause of this process.
  Instant mResumedAt;
};

}
