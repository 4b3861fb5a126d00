#pragma once

#include "LibDecision/Quorum.h"

#include <map>
#include <set>
#include <variant>

namespace papayaline {

/// The kind of a request that changes the term or role of a database.
enum class CommandKind
{
  Fence,
  Promote,
  Follow,
  Quiesce,
};

/// Why a failover is started.
enum class FailoverCause
{
  None,
  NoPrimary,
  PrimaryUnreachable,
  PrimarySilent,
  ReplicationStalled,
  SplitTerms,
  Switchover,
};

/// The time limits for failure detection and for each step of a failover.
struct FailoverSettings
{
  Duration mSilenceTimeout = std::chrono::milliseconds(500);
  Duration mUnreachableTimeout = std::chrono::milliseconds(200);
  Duration mStallTimeout = std::chrono::milliseconds(700);
  Duration mTakeoverTimeout = std::chrono::milliseconds(900);
  Duration mRankDelay = std::chrono::milliseconds(300);
  Duration mViewTimeout = std::chrono::milliseconds(150);
  Duration mStepTimeout = std::chrono::milliseconds(800);
  Duration mResendInterval = std::chrono::milliseconds(200);
  Duration mFenceGrace = std::chrono::milliseconds(30);
  Duration mInitialBackoff = std::chrono::milliseconds(300);
  Duration mMaxBackoff = std::chrono::seconds(4);
  Duration mSwitchoverTimeout = std::chrono::milliseconds(1500);
  RuleSet mRules = RuleSet::All();
};

/// The group that an instance decides for, and the terms that it may use.
struct FailoverIdentity
{
  std::string mGroup;
  std::string mInstance;
  /// Distinguishes successive processes of an instance with the same name.
  std::string mIncarnation;
  /// The residue modulo mCoordinatorCount that is reserved for this instance's
  /// terms; none when it is not a failover coordinator.
  std::optional<unsigned> mCoordinatorIndex;
  unsigned mCoordinatorCount = 3;
  std::vector<std::string> mUpstreams;
  std::set<std::string> mLeaving;
  size_t mPeerCount = 0;

  bool operator==(const FailoverIdentity&) const = default;
};

/// A group's primary as one instance sees it, sent to peers on request.
struct PrimaryView
{
  uint64_t mTerm = 0;
  std::string mPrimary;
  bool mIsHealthy = false;

  bool operator==(const PrimaryView&) const = default;
};

struct UpstreamReported
{
  UpstreamReport mReport;
};
struct UpstreamFailed
{
  std::string mUpstream;
};
struct PeerViewReceived
{
  PrimaryView mView;
};
struct CommandAnswered
{
  std::string mUpstream;
  CommandKind mKind = CommandKind::Fence;
  uint64_t mTerm = 0;
  std::string mAttempt;
  bool mIsGranted = false;
  UpstreamReport mReport;
};
struct SwitchoverRequested
{};
struct Tick
{};
using FailoverEvent = std::variant<Tick,
                                   UpstreamReported,
                                   UpstreamFailed,
                                   PeerViewReceived,
                                   CommandAnswered,
                                   SwitchoverRequested>;

struct SendCommand
{
  std::string mUpstream;
  CommandKind mKind = CommandKind::Fence;
  uint64_t mTerm = 0;
  std::string mAttempt;
  /// The upstream to replicate from; for Follow only.
  std::string mTarget;

  bool operator==(const SendCommand&) const = default;
};
struct RequestPeerViews
{};
struct PublishPrimary
{
  uint64_t mTerm = 0;
  std::string mPrimary;
};
struct LogFailoverStep
{
  std::string mKind;
  uint64_t mTerm = 0;
  std::string mDetail;
};
using FailoverAction =
  std::variant<SendCommand, RequestPeerViews, PublishPrimary, LogFailoverStep>;
using FailoverActions = std::vector<FailoverAction>;

/// Decides, for one group on one instance, when to replace the primary, and
/// issues the Fence, Promote and Follow commands of the failover. A value type
/// without clock, socket or random source; a copy has the complete state.
/// Thread safety: one thread at a time.
class FailoverMachine
{
public:
  explicit FailoverMachine(FailoverIdentity aIdentity,
                           FailoverSettings aSettings = {});

  /// Handles one event and returns the actions to take.
  /// Precondition: aNow does not decrease between calls.
  FailoverActions Handle(const FailoverEvent& aEvent, Instant aNow);

  /// Applies a new configuration. A change of mCoordinatorIndex cancels a
  /// failover that is in progress.
  void SetIdentity(const FailoverIdentity& aIdentity);

  /// The primary as this instance sees it, for peers that request it.
  PrimaryView View(Instant aNow) const;

  bool IsIdle() const { return mPhase == Phase::Watching; }
  const FailoverIdentity& Identity() const { return mIdentity; }

private:
  enum class Phase
  {
    Watching,
    RequestingViews,
    Quiescing,
    Fencing,
    Promoting,
  };
  struct Observation
  {
    std::optional<UpstreamReport> mReport;
    Instant mReportedAt;
    std::optional<Instant> mFailingSince;
    Instant mLastRepairAt;
  };

  void OnReport(const UpstreamReport& aReport, Instant aNow);
  void OnCommandAnswered(const CommandAnswered& aAnswer, Instant aNow);
  void OnTick(Instant aNow);
  void Watch(Instant aNow);
  void Repair(Instant aNow);
  void RepairUpstream(const std::string& aUpstream,
                      const UpstreamReport& aPrimary,
                      Instant aNow);
  void TrackProgress(Instant aNow);
  FailoverCause FindCause(Instant aNow) const;
  void RequestViews(Instant aNow);
  void EvaluateViews(Instant aNow);
  void StartQuiesce(Instant aNow);
  void CheckQuiesce(Instant aNow);
  void StartFencing(Instant aNow);
  void CheckFenced(Instant aNow);
  void ExcludeStalledPrimary();
  void StartPromotion(Instant aNow);
  void FinishPromotion(const UpstreamReport& aReport, Instant aNow);
  void Resend(Instant aNow);
  void BackOff(Instant aNow, const std::string& aReason);
  void Emit(FailoverAction aAction) { mActions.push_back(std::move(aAction)); }
  void LogStep(const std::string& aKind, const std::string& aDetail);
  void ObserveTerm(uint64_t aTerm, Instant aNow);
  bool HasGranted(const std::string& aUpstream) const;
  uint64_t NextTerm() const;
  bool PrefersTarget(const std::string& aUpstream) const;
  bool IsOtherAttemptRunning(Instant aNow) const;
  std::vector<UpstreamReport> Reports() const;
  std::optional<UpstreamReport> KnownPrimary() const;

  FailoverIdentity mIdentity;
  FailoverSettings mSettings;
  FailoverActions mActions;
  Phase mPhase = Phase::Watching;
  std::map<std::string, Observation> mObservations;
  std::optional<Instant> mStartedAt;
  std::optional<Instant> mSuspectedAt;
  FailoverCause mCause = FailoverCause::None;
  std::optional<Instant> mStalledSince;
  LogPosition mBestReplicaPosition;
  uint64_t mHighestTerm = 0;
  /// When mHighestTerm was first observed.
  Instant mHighestTermAt;
  uint64_t mAttemptCount = 0;

  uint64_t mTerm = 0;
  std::string mAttempt;
  std::string mTarget;
  std::string mOldPrimary;
  bool mIsPlanned = false;
  bool mIsSwitchoverRequested = false;
  /// The reports of the databases that granted the fence, in order of arrival.
  std::vector<UpstreamReport> mFenceGrants;
  std::optional<Instant> mMajorityFencedAt;
  Instant mStepDeadline;
  Instant mLastSendAt;
  Instant mBackoffUntil;
  Duration mBackoff{};
  size_t mHealthyViews = 0;
  size_t mUnhealthyViews = 0;
};

}
