#pragma once

#include "LibDecision/Quorum.h"

#include <map>
#include <set>
#include <variant>

namespace papayaline {

/// A request to a database that changes its term or role.
enum class CommandKind
{
  Fence,
  Promote,
  Follow,
  Quiesce,
};

/// Why a failover was started.
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

/// The time limits of detection and of each step.
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

/// Which group an instance decides for and with which terms.
struct FailoverIdentity
{
  std::string mGroup;
  std::string mInstance;
  /// Distinguishes two lives of an instance of the same name.
  std::string mIncarnation;
  /// The reserved residue of this instance's terms; none when it is no holder.
  std::optional<unsigned> mHolderIndex;
  unsigned mHolderCount = 3;
  std::vector<std::string> mUpstreams;
  std::set<std::string> mLeaving;
  size_t mPeerCount = 0;

  bool operator==(const FailoverIdentity&) const = default;
};

/// What an instance tells its peers of a group's primary.
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
  /// The upstream to follow, for Follow only.
  std::string mTarget;

  bool operator==(const SendCommand&) const = default;
};
struct AskPeerViews
{};
struct PublishPrimary
{
  uint64_t mTerm = 0;
  std::string mPrimary;
};
struct NoteProgress
{
  std::string mKind;
  uint64_t mTerm = 0;
  std::string mDetail;
};
using FailoverAction =
  std::variant<SendCommand, AskPeerViews, PublishPrimary, NoteProgress>;
using FailoverActions = std::vector<FailoverAction>;

/// Decides, for one group on one instance, when to replace the primary and
/// drives fence, promote and follow. A value type without clock, socket or
/// random source: copying it copies the whole state.
/// Thread safety: one thread at a time.
class FailoverMachine
{
public:
  explicit FailoverMachine(FailoverIdentity aIdentity,
                           FailoverSettings aSettings = {});

  /// Feeds one event; aNow never goes back between calls.
  FailoverActions Handle(const FailoverEvent& aEvent, Instant aNow);

  /// Takes a new configuration. A change of holder index ends an attempt.
  void SetIdentity(const FailoverIdentity& aIdentity);

  /// What this instance sees, for the peers that ask.
  PrimaryView View(Instant aNow) const;

  bool IsIdle() const { return mPhase == Phase::Watching; }
  const FailoverIdentity& Identity() const { return mIdentity; }

private:
  enum class Phase
  {
    Watching,
    AskingViews,
    Quiescing,
    Fencing,
    Promoting,
  };
  struct Observation
  {
    std::optional<UpstreamReport> mReport;
    Instant mHeardAt;
    std::optional<Instant> mFailingSince;
    Instant mLastRepair;
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
  FailoverCause Suspicion(Instant aNow) const;
  void AskViews(Instant aNow);
  void JudgeViews(Instant aNow);
  void StartQuiesce(Instant aNow);
  void CheckQuiesce(Instant aNow);
  void StartFencing(Instant aNow);
  void CheckFenced(Instant aNow);
  void SetStalledPrimaryAside();
  void StartPromotion(Instant aNow);
  void FinishPromotion(const UpstreamReport& aReport, Instant aNow);
  void Resend(Instant aNow);
  void BackOff(Instant aNow, const std::string& aReason);
  void Emit(FailoverAction aAction) { mActions.push_back(std::move(aAction)); }
  void Note(const std::string& aKind, const std::string& aDetail);
  void ObserveTerm(uint64_t aTerm, Instant aNow);
  bool HasGranted(const std::string& aUpstream) const;
  uint64_t NextTerm() const;
  bool PrefersTarget(const std::string& aUpstream) const;
  bool IsAnotherAtWork(Instant aNow) const;
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
  LogPosition mBestReplica;
  uint64_t mHighestTerm = 0;
  /// When a term higher than all before was first seen.
  Instant mHighestTermAt;
  uint64_t mAttemptCount = 0;

  uint64_t mTerm = 0;
  std::string mAttempt;
  std::string mTarget;
  std::string mOldPrimary;
  bool mIsPlanned = false;
  bool mSwitchoverWanted = false;
  /// In the order in which they came.
  std::vector<UpstreamReport> mGrants;
  std::optional<Instant> mMajorityAt;
  Instant mStepDeadline;
  Instant mLastSend;
  Instant mBackoffUntil;
  Duration mBackoff{};
  size_t mHealthyViews = 0;
  size_t mUnhealthyViews = 0;
};

}
