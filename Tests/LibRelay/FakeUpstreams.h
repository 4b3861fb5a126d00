#pragma once

#include "LibRelay/RelayRouter.h"
#include "LibRelay/RelaySession.h"

#include <deque>
#include <map>
#include <set>

namespace papayaline {

/// In-memory databases of one group with a simulated clock. Commands are
/// answered while the test advances the clock with Run.
class FakeUpstreams
{
public:
  struct Database
  {
    Role mRole = Role::Replica;
    uint64_t mTerm = 1;
    LogPosition mReceived{ 1, 10 };
    LogPosition mApplied{ 1, 10 };
    uint64_t mFencedTerm = 0;
    bool mIsReachable = true;
    /// Runs commands, but all its answers are lost.
    bool mLosesAllAnswers = false;
    /// Runs commands, but its answers to the statements of callers are lost.
    bool mLosesAnswers = false;
    /// The error that the next mRefusals statements of callers are refused
    /// with.
    std::optional<ErrorKind> mRefusal;
    int mRefusals = 0;
    /// Whether a primary sends its log to replicas, or a replica receives it.
    bool mIsReplicating = true;
    /// Whether the database applies the log that it receives.
    bool mIsApplying = true;
    /// Commands whose answers state no log position.
    std::set<CommandType> mWithoutPosition;
    /// Refuses status requests, as a database without a free slot does.
    bool mIsWithoutSlots = false;
    unsigned mConnections = 0;
    /// Number of connections that were opened, including failed ones.
    size_t mOpenings = 0;
    /// The client account of each of them.
    std::vector<std::string> mOpenedFor;
    /// Further connections are refused.
    unsigned mMaxConnections = 100;
    /// Statements of callers that ran, in order.
    std::vector<std::string> mRan;
    /// The client account of the connection of each statement in mRan.
    std::vector<std::string> mRanFor;
    /// All commands that arrived, in order.
    std::vector<UpstreamCommand> mArrived;
  };

  explicit FakeUpstreams(
    Acknowledgement aAcknowledgement = Acknowledgement::Majority,
    QuotaGate* aQuota = nullptr,
    std::optional<Duration> aAuthorityTimeout = std::nullopt);
  ~FakeUpstreams();

  Database& At(const std::string& aName) { return mDatabases.at(aName); }
  void AddMember(const std::string& aName, Role aRole, bool aIsLeaving = false);
  void SetLeaving(const std::string& aName);
  void RemoveMember(const std::string& aName);
  /// Registers the database as started again under its name, with its log.
  void Restart(const std::string& aName);
  /// Closes all connections to a database.
  void ResetConnections(const std::string& aName);
  /// Passes the member list to the router.
  void Publish();

  RelayRouter& Router() { return *mRouter; }
  /// The environment of another instance that uses the same databases.
  RelayEnvironment MakeEnvironment();
  const RelayConfiguration& Configuration() const { return mConfiguration; }
  const std::vector<DirectoryEntry>& Entries() const { return mEntries; }
  /// Called for each simulated millisecond.
  std::function<void()> mOnStep;
  RelayGroup& Group() { return *mRouter->FindGroup("g"); }
  void SetRoute(const RelayRoute& aRoute);
  /// Applies a configuration with these client accounts.
  void SetAccounts(std::vector<ClientAccount> aAccounts);

  Instant Now() const { return mNow; }
  /// Advances the clock in steps of 1 ms, with a tick of the router every 20
  /// ms.
  void Run(Milliseconds aTime);
  /// Advances the clock without running anything, like a suspended machine.
  void Suspend(Milliseconds aTime) { mNow += aTime; }

  /// The connection limit of each database, applied by the next SetRoute.
  unsigned mMaxConnections = 22;
  /// The number of instances that share the connections; 0 when unknown.
  unsigned mInstances = 0;
  /// Whether this instance is home to the group.
  bool mIsHome = true;
  /// Whether the promotion lease is granted when it is requested.
  bool mIsLeaseFree = true;
  std::vector<std::string> mOrders;
  /// Whether a promotion order takes effect.
  bool mIsPromoting = true;
  /// Makes a database the primary of the next term with the log that it has
  /// received.
  void Promote(const std::string& aName);
  std::vector<std::string> mLog;

  /// A caller session that records its responses.
  struct Caller
  {
    std::shared_ptr<RelaySession> mSession;
    std::vector<StatementAnswer> mAnswers;

    /// Sends a statement in the syntax of the line protocol.
    void Send(const std::string& aText);
    const StatementAnswer& Last() const { return mAnswers.back(); }
    bool IsAnswered() const { return !mSession->IsBusy(); }
    std::optional<ErrorKind> LastError() const;
  };
  std::unique_ptr<Caller> Connect(const std::string& aDatabase = "db",
                                  const std::string& aKey = {});

private:
  class Channel;
  struct Pending
  {
    Instant mAt;
    std::weak_ptr<ChannelEvents> mEvents;
    std::function<void(ChannelEvents&)> mDeliver;
  };

  StatementAnswer Execute(Database& aDatabase,
                          const UpstreamCommand& aCommand,
                          TransactionState& aState);
  StatementAnswer StatusAnswer(const Database& aDatabase) const;
  StatementAnswer RunStatement(Database& aDatabase,
                               const UpstreamCommand& aCommand,
                               TransactionState& aState);
  void Replicate();
  void Deliver(const std::shared_ptr<ChannelEvents>& aEvents,
               std::function<void(ChannelEvents&)> aDeliver);

  Acknowledgement mAcknowledgement;
  QuotaGate* mQuota;
  std::optional<Duration> mAuthorityTimeout;
  Instant mNow = Instant(std::chrono::hours(1));
  Instant mNextTick = mNow;
  std::map<std::string, Database> mDatabases;
  std::vector<DirectoryEntry> mEntries;
  std::deque<Pending> mPending;
  std::vector<std::pair<std::string, std::weak_ptr<ChannelEvents>>>
    mOpenedChannels;
  std::optional<LeaseGrant> mGrant;
  std::unique_ptr<RelayRouter> mRouter;
  RelayConfiguration mConfiguration;
};

}
