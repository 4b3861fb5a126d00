#pragma once

#include "LibDecision/Backoff.h"
#include "LibDecision/ConcurrencyLimit.h"
#include "LibDecision/FairOrder.h"
#include "LibDecision/LoadNews.h"
#include "LibDecision/RetryBudget.h"
#include "LibDecision/TakeoverMachine.h"
#include "LibDecision/Topology.h"
#include "LibRelay/LinkPool.h"
#include "LibRelay/Protocols.h"
#include "LibRelay/QuotaGate.h"
#include "LibRelay/SharePolicy.h"
#include "LibRelay/StatementRunner.h"

#include <list>
#include <map>

namespace papayaline {

struct RelayGroupSettings
{
  /// Maximum number of pending requests of one group on one instance.
  size_t mQueueLimit = 400;
  /// How long a commit waits for a replica to receive it where it may be
  /// acknowledged without replication. Evidence that the primary still leads is
  /// required in either case.
  Duration mReplicationWait = std::chrono::milliseconds(100);
  /// When a request for evidence takes longer, another replica is requested to
  /// send evidence too.
  Duration mEvidenceTimeout = std::chrono::milliseconds(60);
  /// When evidence is missing for longer while the primary answers, this
  /// instance is partitioned from the majority of the group.
  Duration mMissingEvidenceTimeout = std::chrono::milliseconds(300);
  /// Maximum age of the newest frontier while reads that allow an age arrive;
  /// half of the smallest age that a route allows.
  Duration mMaxFrontierAge = std::chrono::milliseconds(750);
  /// A write is sent to a primary only when the last evidence that it leads is
  /// at most this old, so that few writes have an unknown outcome when it has
  /// been replaced.
  Duration mMaxLeadershipAge = std::chrono::milliseconds(1200);
  /// How long a leaving primary receives statements while no other database is
  /// promoted; shorter than the time that the platform gives a leaving
  /// database.
  Duration mLeavingPrimaryTimeout = std::chrono::milliseconds(5500);
  /// A primary that has left a request unanswered for longer is suspected to be
  /// down and is sent no more statements, since their outcome would be unknown.
  Duration mSuspicionTimeout = std::chrono::milliseconds(300);
  /// Time without an answer from the primary, or without a status from another
  /// member, after which its status is requested.
  Duration mPrimaryProbeInterval = std::chrono::milliseconds(900);
  Duration mMemberProbeInterval = std::chrono::milliseconds(1500);
  /// The same while the status of the member or the primary is unknown.
  Duration mUnknownProbeInterval = std::chrono::milliseconds(150);
  /// The same for members without an idle connection, since each request opens
  /// one. Shorter than the time after which an instance that starts counts as
  /// recovered.
  Duration mUnconnectedProbeInterval = std::chrono::seconds(6);
  /// When a connection takes longer to open, connections to other databases are
  /// opened too. Several times the opening time on the platform.
  Duration mTypicalOpenTime = std::chrono::milliseconds(60);
  /// When a connection plan makes a statement wait, it is renewed if it is
  /// older than this, times the number of instances that share the connections.
  /// The number of connections of a database changes within 1 s when instances
  /// fail or recover.
  Duration mPlanRefreshInterval = std::chrono::milliseconds(100);
  /// When a control command is unanswered for this long, its connection is
  /// closed.
  Duration mControlTimeout = std::chrono::milliseconds(500);
  /// A read is hedged, that is sent to another database too, after this many
  /// times the usual service time of its database, but not before the minimum.
  unsigned mHedgeFactor = 4;
  Duration mMinHedgeDelay = std::chrono::milliseconds(120);
  /// Delay after a database refused a statement for lack of a slot.
  Duration mBusyRetryDelay = std::chrono::milliseconds(8);
  unsigned mMaxAttempts = 12;
  /// How long an instance that is not home to the group keeps monitoring it
  /// after a statement that it had to run itself.
  Duration mStandbyDelay = std::chrono::seconds(10);
};

/// The part that an instance has in serving a group.
struct GroupPlacement
{
  /// Whether the instance keeps connections, monitors the databases and
  /// replaces a failed primary. Other instances do so only while they run
  /// statements.
  bool mIsHome = true;
  /// Number of instances that share the connections; 0 when unknown.
  unsigned mSharingInstances = 0;

  bool operator==(const GroupPlacement&) const = default;
};

/// The classes of statements whose latencies are measured separately.
enum class RelayLatency
{
  LatestRead,
  OwnRead,
  AgedRead,
  Write,
  Refusal,
};

/// The dependencies of a group.
struct RelayEnvironment
{
  ChannelOpener mOpenChannel;
  UpstreamLink::Clock mNow;
  UpstreamProtocolFactory mMakeProtocol = nullptr;
  std::string mFailureDomain;
  Topology mTopology;
  /// How long after the store last confirmed a configuration statements run by
  /// its authority; unset where the age of the configuration is not limited.
  std::optional<Duration> mAuthorityTimeout;
  /// Checks, right before a statement is sent to a database, whether it is
  /// still allowed to run, and returns the reason if it is not; may be null.
  std::function<std::optional<Error>(const RelayRequest&)> mCheckAuthority;
  /// Null where operations are not limited.
  QuotaGate* mQuota = nullptr;
  Acknowledgement mAcknowledgement = Acknowledgement::Majority;
  RelayRuleSet mRules = RelayRuleSet::All();
  /// The promotion lease that this instance holds, if any; see TakeoverMachine.
  std::function<std::optional<LeaseGrant>()> mLeaseGrant;
  std::function<void(const std::string& aGroup)> mAcquireLease;
  std::function<void(const std::string& aGroup, const std::string& aUpstream)>
    mOrderPromotion;
  /// Records the time from a statement's arrival to its response; may be null.
  std::function<void(RelayLatency, Duration)> mObserveLatency;
  /// Writes an entry of the decision log.
  std::function<void(const std::string& aEvent,
                     const std::vector<std::pair<std::string, std::string>>&)>
    mLog;
};

/// Counters of statements and control commands, for the metrics.
struct RelayCounts
{
  uint64_t mReadsAtReplica = 0;
  uint64_t mReadsAtPrimary = 0;
  uint64_t mWrites = 0;
  uint64_t mRefused = 0;
  /// Of these, by cause: the expected wait is too long, no connection was free
  /// in time, the queue is full.
  uint64_t mRefusedForWait = 0;
  uint64_t mRefusedWithoutConnection = 0;
  uint64_t mRefusedAtFullQueue = 0;
  uint64_t mOutcomesUnknown = 0;
  uint64_t mHedgedReads = 0;
  /// Status requests, by purpose.
  uint64_t mProbes = 0;
  uint64_t mEvidenceRequests = 0;
  uint64_t mTakeoverCommands = 0;
  /// Commands that set the session state of a connection.
  uint64_t mPreparations = 0;
  /// Connections opened, and those closed for another account.
  uint64_t mConnectionsOpened = 0;
  uint64_t mConnectionsReplaced = 0;
  /// Statements that waited for a connection of their account, by cause; see
  /// ConnectionVerdict.
  uint64_t mWaitsForOwnConnection = 0;
  uint64_t mWaitsForOpening = 0;
  uint64_t mWaitsForOpeningSlot = 0;
  uint64_t mWaitsForOtherAccounts = 0;
};

/// Runs the statements for one group on one instance: manages connections,
/// collects evidence, chooses databases, retries, and replaces a failed
/// primary. Uses neither sockets nor a clock of its own. Thread safety: one
/// thread.
class RelayGroup
  : public LinkObserver
  , public StatementRunner
{
public:
  RelayGroup(const RelayEnvironment& aEnvironment,
             RelayGroupConfiguration aConfiguration,
             RelayGroupSettings aSettings = {});
  ~RelayGroup() override;

  void Configure(const RelayGroupConfiguration& aConfiguration);
  /// How callers share the slots from now on.
  void SetSharePolicy(const SharePolicy& aPolicy) { mSharePolicy = aPolicy; }
  /// Replaces the member list. The connections to members that have left or
  /// restarted are closed, and the statements that ran or waited on them end at
  /// once or are retried.
  void SetMembers(const std::vector<GroupMember>& aMembers);

  void SetPlacement(const GroupPlacement& aPlacement);
  /// The client accounts of the configuration; null when it has none.
  void SetAccounts(std::shared_ptr<const ClientAccounts> aAccounts);

  void Submit(RelayRequest aRequest, OutcomeHandler aHandler) override;
  void Continue(const std::shared_ptr<OpenTransaction>& aTransaction,
                RelayRequest aRequest,
                OutcomeHandler aHandler) override;
  bool Cancel(const SessionState& aSession) override;
  void RollBack(const std::shared_ptr<OpenTransaction>& aTransaction) override;

  /// Call at least every 20 ms while requests are pending.
  void Tick();

  void OnLeaseRefused(Instant aRetryAt) { mTakeover.OnLeaseRefused(aRetryAt); }
  void OnPromotionAnswer(const std::string& aUpstream, PromotionAnswer aAnswer);

  const GroupView& View() const { return mView; }
  const std::string& Name() const { return mConfiguration.mName; }
  unsigned MaxConnections() const { return mConfiguration.mMaxConnections; }
  const RelayCounts& Counts() const { return mCounts; }
  bool IsIdle() const { return mPendingRequests.empty(); }
  /// How long a statement of a kind is expected to wait here at least, by rank:
  /// until those of the ranks above that wait have been sent. Unset where
  /// callers don't share slots by account.
  std::optional<GroupLoad> LoadOf(QueueKind aKind) const;
  /// The longest time for which a waiting statement is expected to wait on.
  Duration LongestExpectedWait() const;
  /// Whether this instance does not monitor the databases, since other
  /// instances are home to the group.
  bool IsOnStandby() const { return mIsStandingBy; }
  /// The known state of each member, as fields of a log entry.
  std::vector<std::pair<std::string, std::string>> DescribeMembers() const;

  void OnRequestSent(const std::string& aUpstream, Instant aNow) override;
  void OnAnswered(const std::string& aUpstream,
                  const StatementAnswer& aAnswer,
                  Instant aSentAt) override;

private:
  struct PendingRequest;
  using PendingRequestPointer = std::shared_ptr<PendingRequest>;
  struct Attempt;
  using AttemptPointer = std::shared_ptr<Attempt>;
  struct ControlCall
  {
    LinkPointer mLink;
    Instant mSentAt;
  };
  struct Member
  {
    std::unique_ptr<LinkPool> mPool;
    ConcurrencyLimit mConcurrency;
    /// The member refused a statement for lack of a slot and is sent none
    /// before this instant.
    Instant mBusyUntil;
    Instant mNextProbeAt;
    /// When the status that the connection plan is based on was requested.
    Instant mPlanRequestedAt;
    /// When the directory first listed the member as leaving.
    std::optional<Instant> mLeavingSince;
    /// Control commands that wait for a connection.
    std::vector<SendControlCommand> mQueuedCommands;
    /// Control commands in flight, oldest first.
    std::vector<ControlCall> mCalls;

    bool HasCallInFlight() const { return !mCalls.empty(); }
  };
  /// A write that the primary committed and that can't be acknowledged yet for
  /// lack of evidence.
  struct UnconfirmedWrite
  {
    PendingRequestPointer mPending;
    /// Its position includes the commit. Where the answer states none, that of
    /// a later status of the primary is filled in.
    StatementAnswer mAnswer;
    GroupPrimary mPrimary;
    Instant mAnsweredAt;
  };

  // The queue.
  void Dispatch();
  void DispatchOnce();
  std::vector<PendingRequestPointer> DispatchOrder();
  std::vector<PendingRequestPointer> OrderByRank() const;
  std::vector<PendingRequestPointer> OrderFairly();
  FairStatement FairnessOf(const PendingRequest& aPending,
                           const std::string& aUpstream) const;
  void ObserveStart(const Attempt& aAttempt);
  void RefuseAtFullQueue(const PendingRequestPointer& aNewcomer);
  unsigned LimitAt(const std::string& aName, unsigned aRank) const;
  unsigned ParallelAt(const std::string& aName, unsigned aRank) const;
  bool IsPastTarget(const PendingRequest& aPending, Instant aNow) const;
  Duration AnswerTimeOf(const std::string& aName) const;
  Instant DeadlineOf(const PendingRequest& aPending) const;
  Error ExpiryError(const PendingRequest& aPending) const;
  void ExpireRequests(Instant aNow);

  // Quotas.
  /// Whether the operation is admitted. Otherwise it was refused, or waits and
  /// is dispatched when it is admitted.
  bool RequireAdmission(const PendingRequestPointer& aPending);
  bool IsAdmissionValid(const PendingRequest& aPending) const;
  /// Gives the admission of a statement back that no database received.
  void ReturnAdmission(PendingRequest& aPending);
  void RenewAdmissions(Instant aNow);

  // Routing.
  bool TryStart(const PendingRequestPointer& aPending);
  bool MayReceiveWork(const GroupMember& aMember, Instant aNow) const;
  void RequestConnection(const std::string& aBest,
                         const RelayRequirements& aRequirements,
                         PendingRequest& aPending);
  void CountConnectionWait(PendingRequest& aPending,
                           std::optional<ConnectionVerdict> aVerdict);
  void RefreshConnectionPlan(const std::string& aName);
  bool IsSuspected(const GroupPrimary& aPrimary) const;
  /// Whether this instance can't run a statement that another one probably can.
  bool IsPartitioned(const RelayRequest& aRequest) const;
  RelayRequirements RequirementsOf(const RelayRequest& aRequest) const;
  std::vector<RelayCandidate> Candidates(const PendingRequest& aPending) const;
  void Start(const PendingRequestPointer& aPending,
             const RelayChoice& aChoice,
             LinkPointer aLink);
  void Prepare(const AttemptPointer& aAttempt);
  void BeginTransaction(const AttemptPointer& aAttempt);
  void SendStatement(const AttemptPointer& aAttempt);
  /// The last check before bytes of a statement are sent to a database. Refuses
  /// it when its caller may not run it any more.
  bool MayStillRun(const AttemptPointer& aAttempt);
  std::optional<Error> FindDenial(const PendingRequest& aPending) const;
  /// Whether a statement may run at the primary now.
  bool MayRunAt(const GroupPrimary& aPrimary,
                const RelayRequest& aRequest) const;
  void SendDeferred();
  void OnStatementAnswer(const AttemptPointer& aAttempt,
                         const StatementAnswer& aAnswer);
  void OnSuccess(const AttemptPointer& aAttempt,
                 const StatementAnswer& aAnswer);
  void OnRefusal(const AttemptPointer& aAttempt,
                 const StatementAnswer& aAnswer);
  void OnConnectionLost(const AttemptPointer& aAttempt);
  /// Ends the attempts whose link has closed without an answer to them.
  void EndLostAttempts();
  void RecordRefusal(const AttemptPointer& aAttempt, const Error& aError);
  void Retry(const AttemptPointer& aAttempt, const Error& aReason);
  void ReleaseLink(const AttemptPointer& aAttempt);
  void DiscardLink(const AttemptPointer& aAttempt);

  // Completion and expiry.
  void Finish(const PendingRequestPointer& aPending,
              const StatementAnswer& aAnswer,
              const std::shared_ptr<OpenTransaction>& aTransaction = {});
  void Refuse(const PendingRequestPointer& aPending, const Error& aError);
  void LogRefusal(const PendingRequest& aPending, const Error& aError) const;
  bool IsEvidenceRefused(const PendingRequest& aPending) const;
  void ExpireAttempts(Instant aNow);
  void HedgeReads(Instant aNow);
  bool MayHedge(const PendingRequest& aPending, Instant aNow) const;
  void RemoveAttempt(const AttemptPointer& aAttempt);

  // Evidence.
  /// Learns from the position of the session's last write that the primary was
  /// replaced, and requests the statuses that tell the next one.
  void ObserveTermOf(const RelayRequest& aRequest);
  void AwaitConfirmation(const PendingRequestPointer& aPending,
                         const StatementAnswer& aAnswer,
                         const GroupPrimary& aPrimary);
  void CheckUnconfirmedWrites();
  void FillInPositions();
  bool IsConfirmed(const UnconfirmedWrite& aWrite, Instant aNow) const;
  void RequestEvidence(Instant aNow);
  /// The waiting requests and deferred attempts that need evidence.
  std::vector<PendingRequestPointer> RequestsAwaitingEvidence() const;
  Instant ReadEvidenceSince(
    std::span<const PendingRequestPointer> aRequests) const;
  bool IsStatusExpected(const Member& aMember, Instant aNow) const;
  /// How long the oldest unconfirmed write has waited for evidence.
  Duration OldestUnconfirmedAge(Instant aNow) const;
  std::vector<std::string> EvidenceOrder(const GroupPrimary& aPrimary,
                                         bool aIncludesPrimary) const;
  bool NeedsFrontier(Instant aNow) const;
  bool IsReplaced(const GroupPrimary& aPrimary) const;

  // Control.
  bool IsActive(Instant aNow) const;
  void TickStandby(Instant aNow);
  void Probe(Instant aNow);
  void RequestStatus(const std::string& aName, uint64_t& aCount);
  void SendCommand(const SendControlCommand& aCommand);
  void RunCommand(const std::string& aName,
                  const LinkPointer& aLink,
                  const SendControlCommand& aCommand);
  void RunWaitingCommands();
  void OnCommandAnswer(const std::string& aName,
                       const SendControlCommand& aCommand,
                       const ControlCall& aCall,
                       const StatementAnswer& aAnswer);
  void OnStatusRefused();
  void ExpireCalls(Instant aNow);
  void LogStatus(const ReplicationStatus& aStatus) const;
  void UpdateConnectionPlan(const ReplicationStatus& aStatus);
  void RunTakeover(Instant aNow);
  void Log(const std::string& aEvent,
           std::vector<std::pair<std::string, std::string>> aFields) const;

  const RelayEnvironment& mEnvironment;
  RelayGroupConfiguration mConfiguration;
  RelayGroupSettings mSettings;
  GroupView mView;
  TakeoverMachine mTakeover;
  std::unique_ptr<UpstreamProtocol> mProtocol;
  std::map<std::string, Member> mMembers;
  /// Ordered by rank and arrival; requests that wait are dispatched in this
  /// order.
  std::list<PendingRequestPointer> mPendingRequests;
  /// Attempts in progress, including those whose request is finished. Each has
  /// a link of its own; when the link closes, whoever closed it, the attempt
  /// ends.
  std::list<AttemptPointer> mAttempts;
  std::list<UnconfirmedWrite> mUnconfirmedWrites;
  Instant mNextEvidenceAt;
  AdaptiveInterval mEvidenceInterval;
  /// When evidence that is still missing was first requested.
  std::optional<Instant> mEvidenceMissingSince;
  /// When a status of enough replicas in the primary's term was first requested
  /// and did not arrive. Without it no write can be acknowledged.
  std::optional<Instant> mFollowersMissingSince;
  Instant mFrontierNeededUntil;
  RelayCounts mCounts;
  RetryBudget mRetries;
  GroupPlacement mPlacement;
  SharePolicy mSharePolicy;
  FairOrder mFairOrder;
  std::shared_ptr<const ClientAccounts> mAccounts;
  /// Until when this instance monitors the group although it is not home.
  Instant mActiveUntil;
  bool mIsStandingBy = false;
  bool mIsDispatchDue = false;
  bool mIsDispatching = false;
  /// Whether a call of QuotaGate::Admit has not returned yet.
  bool mIsAdmitting = false;
  /// Handlers of the quota gate hold a weak reference to it.
  std::shared_ptr<const bool> mLifetime = std::make_shared<const bool>(true);
};

}
