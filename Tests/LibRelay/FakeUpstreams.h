#pragma once

#include "LibRelay/RelayRouter.h"
#include "LibRelay/RelaySession.h"

#include <deque>
#include <map>

namespace papayaline {

/// Databases of one group in memory, with a clock that the test moves. A
/// command is answered when the test lets time pass.
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
    /// Runs what it gets, and its answers are lost.
    bool mIsMute = false;
    /// The same for the statements of callers only.
    bool mLosesAnswers = false;
    /// Answers the next statements of callers with this error.
    std::optional<ErrorKind> mRefusal;
    int mRefusals = 0;
    /// Whether replicas receive from it, or it from the primary.
    bool mIsReplicating = true;
    /// Whether it applies what it receives.
    bool mIsApplying = true;
    /// Refuses status requests, as a database with a full queue does.
    bool mIsWithoutSlots = false;
    unsigned mConnections = 0;
    /// Connections that were begun.
    size_t mOpenings = 0;
    /// Refuses connections beyond this.
    unsigned mMaxConnections = 100;
    /// The statements of callers that ran, in order.
    std::vector<std::string> mRan;
    /// Every command that arrived.
    std::vector<UpstreamCommand> mArrived;
  };

  explicit FakeUpstreams(
    Acknowledgement aAcknowledgement = Acknowledgement::Majority);
  ~FakeUpstreams();

  Database& At(const std::string& aName) { return mDatabases.at(aName); }
  void AddMember(const std::string& aName, Role aRole, bool aIsLeaving = false);
  void SetLeaving(const std::string& aName);
  void RemoveMember(const std::string& aName);
  /// Passes the members to the group.
  void Publish();

  RelayRouter& Router() { return *mRouter; }
  /// What a further instance before the same databases needs.
  RelayEnvironment MakeEnvironment();
  const RelayConfiguration& Configuration() const { return mConfiguration; }
  const std::vector<DirectoryEntry>& Entries() const { return mEntries; }
  /// Runs at each millisecond that passes.
  std::function<void()> mOnStep;
  RelayGroup& Group() { return *mRouter->FindGroup("g"); }
  void SetRoute(const RelayRoute& aRoute);

  Instant Now() const { return mNow; }
  /// Lets time pass in steps of a millisecond, with a tick each 20.
  void Run(Milliseconds aTime);
  /// Jumps ahead without running anything, as a suspended machine does.
  void Suspend(Milliseconds aTime) { mNow += aTime; }

  /// What the configuration says of each database, from the next SetRoute.
  unsigned mMaxConnections = 22;
  /// How many instances the group believes in.
  unsigned mInstances = 0;
  /// Whether this instance is home to the group.
  bool mIsHome = true;
  /// The promotion duty: granted at once while this holds.
  bool mIsDutyFree = true;
  std::vector<std::string> mOrders;
  /// Whether an order takes effect.
  bool mIsPromoting = true;
  /// Makes a database lead the next term with what it had received.
  void Promote(const std::string& aName);
  std::vector<std::string> mLog;

  /// A session whose answers are collected.
  struct Caller
  {
    std::shared_ptr<RelaySession> mSession;
    std::vector<StatementAnswer> mAnswers;

    /// Sends a statement in the wire's words.
    void Say(const std::string& aText);
    const StatementAnswer& Last() const { return mAnswers.back(); }
    bool IsAnswered() const { return !mSession->IsBusy(); }
    std::optional<ErrorKind> LastError() const;
  };
  std::unique_ptr<Caller> Connect(const std::string& aDatabase = "db");

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
  Instant mNow = Instant(std::chrono::hours(1));
  Instant mNextTick = mNow;
  std::map<std::string, Database> mDatabases;
  std::vector<DirectoryEntry> mEntries;
  std::deque<Pending> mPending;
  std::optional<DutyGrant> mGrant;
  std::unique_ptr<RelayRouter> mRouter;
  RelayConfiguration mConfiguration;
};

}
