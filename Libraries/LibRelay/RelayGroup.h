#pragma once

#include "LibDecision/Backoff.h"
#include "LibDecision/RetryBudget.h"
#include "LibDecision/TakeoverMachine.h"
#include "LibRelay/LinkPool.h"
#include "LibRelay/Protocols.h"
#include "LibRelay/StatementRunner.h"

#include <list>
#include <map>

namespace papayaline {

struct RelayGroupSettings
{
  /// Queued statements of one group on one instance.
  size_t mQueueLimit = 400;
  /// How long a commit waits for a replica to have received it where it may be
  /// acknowledged without; evidence that the primary still leads is needed in
  /// any case.
  Duration mReplicationWait = std::chrono::milliseconds(100);
  /// A request for evidence that takes longer is put to another replica too.
  Duration mEvidenceTimeout = std::chrono::milliseconds(60);
  /// Evidence that is missing for longer while the primary answers shows that
  /// this instance is on the wrong side of a partition.
  Duration mEvidenceLimit = std::chrono::milliseconds(300);
  /// How old the newest frontier may grow while aged reads come in; half of
  /// the smallest age that a route allows.
  Duration mFrontierRefresh = std::chrono::milliseconds(750);
  /// A write is sent only to a primary that was seen to lead this recently, so
  /// that few end in doubt when it does not.
  Duration mLeadershipAge = std::chrono::milliseconds(1200);
  /// How long a leaving primary may get work while nobody replaces it; below
  /// the time that the platform gives a leaving database.
  Duration mLeavingLimit = std::chrono::milliseconds(5500);
  /// Nothing more is sent to a primary that has owed an answer for longer: what
  /// is sent to a dead one ends in doubt.
  Duration mOwedAnswerLimit = std::chrono::milliseconds(300);
  /// The primary is asked after this much silence, other members less often.
  Duration mPrimaryProbe = std::chrono::milliseconds(900);
  Duration mMemberProbe = std::chrono::milliseconds(1500);
  Duration mUnknownProbe = std::chrono::milliseconds(150);
  /// The same for members to which no connection is kept, since each request
  /// would open one. Below the time after which an instance that starts counts
  /// as recovered.
  Duration mScarceProbe = std::chrono::seconds(6);
  /// A connection that takes longer to open is not waited for alone: several
  /// times the platform's time for it.
  Duration mUsualOpening = std::chrono::milliseconds(60);
  /// A plan of connections that keeps a statement waiting is made anew when it
  /// is older, times the instances that share them: how many a database has
  /// changes within a second when instances fail or come back.
  Duration mPlanAge = std::chrono::milliseconds(100);
  /// An unanswered control command; the connection counts as dead.
  Duration mControlTimeout = std::chrono::milliseconds(500);
  /// Before a read is also sent to another database: this many times what it
  /// usually takes, but no less than the minimum.
  unsigned mHedgeFactor = 4;
  Duration mMinHedgeDelay = std::chrono::milliseconds(120);
  /// After a database refused a statement for lack of a slot.
  Duration mBusyDelay = std::chrono::milliseconds(8);
  unsigned mMaxAttempts = 12;
  /// How long an instance that is not home to the group goes on following it
  /// after a statement that it had to run itself.
  Duration mStandbyLinger = std::chrono::seconds(10);
};

/// What an instance is to a group.
struct GroupPlacement
{
  /// Keeps connections, follows the databases and replaces a failed primary. An
  /// instance that is not home does so only while it has statements to run.
  bool mIsHome = true;
  /// How many instances share the connections; 0 when that is not known.
  unsigned mSharers = 0;

  bool operator==(const GroupPlacement&) const = default;
};

/// What latencies are counted by.
enum class RelayLatency
{
  LatestRead,
  OwnRead,
  AgedRead,
  Write,
  Refusal,
};

/// What a group needs of its surroundings.
struct RelayEnvironment
{
  ChannelOpener mOpen;
  UpstreamLink::Clock mNow;
  UpstreamProtocolFactory mProtocol = nullptr;
  std::string mFailureDomain;
  Acknowledgement mAcknowledgement = Acknowledgement::Majority;
  /// The promotion duty; see TakeoverMachine.
  std::function<std::optional<DutyGrant>()> mGrant;
  std::function<void(const std::string& aGroup)> mAcquireDuty;
  std::function<void(const std::string& aGroup, const std::string& aUpstream)>
    mOrderPromotion;
  /// Takes the time from a statement's arrival to its answer, if there is one.
  std::function<void(RelayLatency, Duration)> mObserveLatency;
  /// Takes one line of the decision log.
  std::function<void(const std::string& aEvent,
                     const std::vector<std::pair<std::string, std::string>>&)>
    mLog;
};

/// Counts of what happened to statements, for the metrics.
struct RelayCounts
{
  uint64_t mReadsAtReplica = 0;
  uint64_t mReadsAtPrimary = 0;
  uint64_t mWrites = 0;
  uint64_t mRefused = 0;
  uint64_t mUnknown = 0;
  uint64_t mHedges = 0;
  /// Status requests, by what they were sent for.
  uint64_t mProbes = 0;
  uint64_t mEvidenceRequests = 0;
  uint64_t mTakeoverCommands = 0;
  /// Commands that made a connection fit for a session.
  uint64_t mPreparations = 0;
};

/// Serves the statements for one group on one instance: connections, evidence,
/// choice of database, repetition, and the takeover of a failed primary. Free
/// of sockets and clocks. Thread safety: one thread.
class RelayGroup
  : public AnswerObserver
  , public StatementRunner
{
public:
  RelayGroup(const RelayEnvironment& aEnvironment,
             RelayGroupConfiguration aConfiguration,
             RelayGroupSettings aSettings = {});
  ~RelayGroup() override;

  void Configure(const RelayGroupConfiguration& aConfiguration);
  void SetMembers(const std::vector<GroupMember>& aMembers);

  void SetPlacement(const GroupPlacement& aPlacement);

  void Submit(RelayRequest aRequest, OutcomeHandler aHandler) override;
  void Continue(const std::shared_ptr<TransactionHold>& aHold,
                RelayRequest aRequest,
                OutcomeHandler aHandler) override;
  void Cancel(const SessionState& aSession) override;
  void Abandon(const std::shared_ptr<TransactionHold>& aHold) override;

  /// Must run at least each 20 ms while anything waits.
  void Tick();

  void OnDutyRefused(Instant aRetryAt) { mTakeover.OnDutyRefused(aRetryAt); }
  void OnPromotionAnswer(const std::string& aUpstream, PromotionAnswer aAnswer);

  const GroupView& View() const { return mView; }
  const std::string& Name() const { return mConfiguration.mName; }
  unsigned MaxConnections() const { return mConfiguration.mMaxConnections; }
  const RelayCounts& Counts() const { return mCounts; }
  bool IsIdle() const { return mJourneys.empty(); }
  /// Whether it has let the databases go, since others are home to the group.
  bool IsStandingBy() const { return mIsStandingBy; }
  /// A line for each member on what is believed of it, for the log.
  std::vector<std::pair<std::string, std::string>> DescribeMembers() const;

  void OnAsked(const std::string& aUpstream, Instant aNow) override;
  void OnAnswered(const std::string& aUpstream,
                  const StatementAnswer& aAnswer,
                  Instant aAskedAt) override;

private:
  struct Journey;
  using JourneyPointer = std::shared_ptr<Journey>;
  struct Exchange;
  using ExchangePointer = std::shared_ptr<Exchange>;
  struct ControlCall
  {
    LinkPointer mLink;
    Instant mAskedAt;
  };
  struct Member
  {
    std::unique_ptr<LinkPool> mPool;
    Duration mServiceTime = std::chrono::milliseconds(10);
    /// Refused for lack of a slot; not fed before then.
    Instant mBusyUntil;
    Instant mNextProbe;
    /// When the status was asked that the plan of connections rests on.
    Instant mPlannedAt;
    /// When the directory first said that it leaves.
    std::optional<Instant> mLeavingSince;
    /// Control commands that wait for a connection.
    std::vector<CommandMember> mCommands;
    /// Control commands under way, oldest first.
    std::vector<ControlCall> mCalls;

    bool IsAsked() const { return !mCalls.empty(); }
  };
  struct Confirmation
  {
    JourneyPointer mJourney;
    StatementAnswer mAnswer;
    PrimaryOfGroup mPrimary;
    LogPosition mWritten;
    /// When the commit was answered.
    Instant mSince;
  };

  // Choosing and sending.
  void Dispatch();
  bool TryStart(const JourneyPointer& aJourney);
  bool MayReceiveWork(const GroupMember& aMember, Instant aNow) const;
  void DemandConnection(const std::string& aBest, const RelayNeed& aNeed);
  void RenewPlan(const std::string& aName);
  bool IsDoubtful(const PrimaryOfGroup& aPrimary) const;
  /// Whether this instance can't serve what another probably can.
  bool IsCutOff() const;
  RelayNeed NeedOf(const RelayRequest& aRequest) const;
  std::vector<RelayCandidate> Candidates(const Journey& aJourney) const;
  void Start(const JourneyPointer& aJourney,
             const RelayChoice& aChoice,
             LinkPointer aLink);
  void Prepare(const ExchangePointer& aExchange);
  void BeginTransaction(const ExchangePointer& aExchange);
  void SendStatement(const ExchangePointer& aExchange);
  /// Whether a statement may run at the primary now.
  bool MayRunAt(const PrimaryOfGroup& aPrimary,
                const RelayRequest& aRequest) const;
  void SendParked();
  void OnStatementAnswer(const ExchangePointer& aExchange,
                         const StatementAnswer& aAnswer);
  void OnSuccess(const ExchangePointer& aExchange,
                 const StatementAnswer& aAnswer);
  void OnRefusal(const ExchangePointer& aExchange,
                 const StatementAnswer& aAnswer);
  void OnLost(const ExchangePointer& aExchange);
  void NoteRefusal(const ExchangePointer& aExchange, const Error& aError);
  void Retry(const ExchangePointer& aExchange, const Error& aReason);
  void FreeLink(const ExchangePointer& aExchange);
  void DropLink(const ExchangePointer& aExchange);

  // Ending.
  void Finish(const JourneyPointer& aJourney,
              const StatementAnswer& aAnswer,
              const std::shared_ptr<TransactionHold>& aHold = {});
  void Refuse(const JourneyPointer& aJourney, const Error& aError);
  void LogRefusal(const Journey& aJourney, const Error& aError) const;
  bool IsWithoutSlots(const Journey& aJourney) const;
  Instant GiveUpAt(const Journey& aJourney) const;
  Error GiveUpReason(const Journey& aJourney) const;
  void ExpireJourneys(Instant aNow);
  void ExpireExchanges(Instant aNow);
  void HedgeReads(Instant aNow);
  bool MayHedge(const Journey& aJourney, Instant aNow) const;
  void RemoveExchange(const ExchangePointer& aExchange);

  // Evidence.
  void Confirm(const JourneyPointer& aJourney,
               const StatementAnswer& aAnswer,
               const PrimaryOfGroup& aPrimary);
  void CheckConfirmations();
  bool IsConfirmed(const Confirmation& aConfirmation, Instant aNow) const;
  void AskEvidence(Instant aNow);
  bool WantsEvidence() const;
  bool IsAskedPromptly(const Member& aMember, Instant aNow) const;
  /// How long the oldest commit has waited for evidence.
  Duration ConfirmingFor(Instant aNow) const;
  std::vector<std::string> EvidenceOrder(const PrimaryOfGroup& aPrimary) const;
  bool WantsFrontier(Instant aNow) const;
  bool IsReplaced(const PrimaryOfGroup& aPrimary) const;

  // Control.
  bool IsFollowing(Instant aNow) const;
  void StandBy(Instant aNow);
  void Probe(Instant aNow);
  void AskStatus(const std::string& aName, uint64_t& aCount);
  void SendCommand(const CommandMember& aCommand);
  void RunCommand(const std::string& aName,
                  const LinkPointer& aLink,
                  const CommandMember& aCommand);
  void RunWaitingCommands();
  void OnCommandAnswer(const std::string& aName,
                       const CommandMember& aCommand,
                       const ControlCall& aCall,
                       const StatementAnswer& aAnswer);
  void OnStatusRefused();
  void ExpireCalls(Instant aNow);
  void LogStatus(const ReplicationStatus& aStatus) const;
  void PlanConnectionsOf(const ReplicationStatus& aStatus);
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
  /// All journeys by rank and arrival; those that wait are dispatched in this
  /// order.
  std::list<JourneyPointer> mJourneys;
  /// Exchanges under way, also those whose journey has ended.
  std::list<ExchangePointer> mExchanges;
  std::list<Confirmation> mConfirmations;
  /// Reads of open transactions that wait for evidence before they are sent.
  std::list<ExchangePointer> mParked;
  Instant mNextEvidence;
  Pace mEvidencePace;
  /// Since when evidence was asked for in vain.
  std::optional<Instant> mEvidenceMissingSince;
  Instant mFrontierWantedUntil;
  RelayCounts mCounts;
  RetryBudget mRetries;
  GroupPlacement mPlacement;
  /// Until when the group is followed although this instance is not home.
  Instant mFollowedUntil;
  bool mIsStandingBy = false;
  bool mIsDispatchDue = false;
  bool mIsDispatching = false;
};

}
