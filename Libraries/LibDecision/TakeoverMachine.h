#pragma once

#include "LibDecision/GroupView.h"
#include "LibDecision/PromotionLease.h"

#include <variant>

namespace papayaline {

/// Why the primary of a group is replaced.
enum class TakeoverCause
{
  PrimarySilent,
  NoPrimary,
  PrimaryLeaving,
  /// An abandoned fence: members are still fenced for an attempt whose instance
  /// is gone.
  AbandonedFence,
};

struct TakeoverSettings
{
  /// How long the primary may have an outstanding request before it is
  /// replaced. Callers see an outage of this time plus the platform's promotion
  /// time.
  Duration mSilenceTimeout = std::chrono::milliseconds(700);
  Duration mNoPrimaryTimeout = std::chrono::milliseconds(700);
  /// The same as mSilenceTimeout, for a primary that has not yet answered this
  /// process. Connections of the previous process may use up its connection
  /// limit for some seconds.
  Duration mFirstContactTimeout = std::chrono::milliseconds(1800);
  /// After this time without an answer, replicas that still receive entries
  /// show that the primary is running and only this instance is partitioned
  /// from it. Longer than nearly all statements take.
  Duration mPartitionCheckDelay = std::chrono::milliseconds(350);
  /// A longer time between two ticks is a stall of this process. The excess
  /// does not count as time without an answer from the primary.
  Duration mMaxTickInterval = std::chrono::milliseconds(100);
  Duration mRequestInterval = std::chrono::milliseconds(100);
  Duration mFenceTimeout = std::chrono::milliseconds(500);
  /// How long the successor of a leaving primary may take to receive what the
  /// fenced replicas hold. A replica that receives at all is behind by the
  /// delay of the network; one that takes longer is replaced as the successor.
  Duration mCatchUpTimeout = std::chrono::milliseconds(200);
  Duration mCatchUpInterval = std::chrono::milliseconds(40);
  Duration mPromotionResendInterval = std::chrono::milliseconds(800);
  /// Longer than the platform takes to complete a promotion that it accepted.
  Duration mPromotionTimeout = std::chrono::milliseconds(6000);
  Duration mBackoff = std::chrono::milliseconds(600);
  /// A fence that is older than this belongs to no attempt in progress.
  Duration mAbandonedFenceTimeout = std::chrono::milliseconds(6500);
  RelayRuleSet mRules = RelayRuleSet::All();
};

enum class ControlCommand
{
  RequestStatus,
  /// Fence for a term: stop receiving replication.
  Fence,
  /// Stop being the primary, for a term.
  StepDown,
  /// Remove the fence: receive replication again.
  Resume,
};

struct SendControlCommand
{
  std::string mUpstream;
  ControlCommand mCommand = ControlCommand::RequestStatus;
  uint64_t mTerm = 0;

  bool operator==(const SendControlCommand&) const = default;
};
/// Acquire the promotion lease. Success shows in the grant that is passed to
/// Tick, refusal in OnLeaseRefused.
struct AcquireLease
{
  bool operator==(const AcquireLease&) const = default;
};
/// Order the platform to promote a member, under the current lease grant.
struct OrderPromotion
{
  std::string mUpstream;

  bool operator==(const OrderPromotion&) const = default;
};
struct LogTakeoverStep
{
  std::string mStep;
  TakeoverCause mCause = TakeoverCause::NoPrimary;
  std::string mUpstream;
  uint64_t mTerm = 0;
  std::string mDetail;

  bool operator==(const LogTakeoverStep&) const = default;
};
using TakeoverAction = std::
  variant<SendControlCommand, AcquireLease, OrderPromotion, LogTakeoverStep>;
using TakeoverActions = std::vector<TakeoverAction>;

/// The platform's answer to a promotion order.
enum class PromotionAnswer
{
  Accepted,
  /// The member can't be promoted; the order has no effect.
  Refused,
  /// There was no answer; the order may still take effect.
  Unknown,
};

/// Decides for one group on one instance when the primary must be replaced, and
/// issues the fences, the promotion order and the commands that follow it. The
/// owner updates the view. Tick must be called at least every mMaxTickInterval.
///
/// The steps of a failover are: acquire the promotion lease; fence all
/// replicas; choose the one with the longest log; order its promotion; remove
/// the fences of the others. A shorter log is not promoted, even if the longest
/// one can't be promoted now.
///
/// A primary that is leaving serves until the promotion takes effect. In this
/// case the successor is proposed first, and all other replicas are fenced. It
/// is promoted once its log reaches the end of theirs, and what the primary
/// reported. If it does not in time, another replica takes its place.
///
/// No replica is spared: an instance whose list of members is shorter counts a
/// smaller majority, which may consist of the primary and that replica. Where
/// the primary and the successor alone are no majority, the primary steps down
/// before the order, since nothing could be acknowledged after the fences.
///
/// What members reported before the attempt proves nothing about their logs: a
/// replica may have received more since, and one that started again may have
/// less.
///
/// Thread safety: one thread.
class TakeoverMachine
{
public:
  explicit TakeoverMachine(TakeoverSettings aSettings = {});

  /// Advances the state machine and returns the actions to take. aGrant is the
  /// lease grant while this instance holds the promotion lease.
  TakeoverActions Tick(const GroupView& aView,
                       const std::optional<LeaseGrant>& aGrant,
                       Instant aNow);
  /// Handles a refused lease, which can't be acquired before aRetryAt.
  void OnLeaseRefused(Instant aRetryAt);
  void OnPromotionAnswer(const std::string& aUpstream,
                         PromotionAnswer aAnswer,
                         Instant aNow);

  /// Whether this instance is partitioned from the primary: the primary does
  /// not answer it, but replicas still receive entries.
  bool IsPartitioned() const { return mIsPartitioned; }
  /// Whether a takeover is in progress.
  bool IsBusy() const { return mState != State::Watching; }

private:
  enum class State
  {
    Watching,
    Acquiring,
    Fencing,
    Promoting,
  };
  /// How far a leaving primary has been told to step down.
  enum class StepDown
  {
    NotSent,
    Sent,
    /// The successor did not receive all in time. The attempt goes on as if the
    /// primary were silent.
    Abandoned,
  };

  void Watch(const GroupView& aView, Instant aNow);
  void TrackPrimaryOutage(const GroupView& aView, Instant aNow);
  bool HasReplicaProgress(const GroupView& aView);
  /// The primary, or the member that the directory lists as the primary.
  std::string PresumedPrimary(const GroupView& aView) const;
  /// Whether the old primary serves beside the proposed successor.
  bool IsPlanned() const
  {
    return mCause == TakeoverCause::PrimaryLeaving &&
           mStepDown != StepDown::Abandoned;
  }
  bool IsFenced(const GroupView& aView, const GroupMember& aMember) const;
  bool HasEnoughFences(const GroupView& aView) const;
  /// Whether a member reported, since the attempt started, a log that reaches
  /// mOldLogEnd and the end of the logs of all fenced replicas.
  bool HasFencedEntries(const GroupView& aView, const std::string& aName) const;
  bool NeedsFence(const GroupView& aView, const GroupMember& aMember) const;
  /// Whether a replica is left unfenced without FenceEveryReplica, since a
  /// majority of all listed members without a fenced one includes the
  /// successor.
  bool IsSpared(const GroupView& aView, const GroupMember& aMember) const;
  std::optional<TakeoverCause> FindCause(const GroupView& aView) const;
  bool HasAbandonedFence(const GroupView& aView, Instant aNow);
  void StartTakeover(const GroupView& aView, Instant aNow);
  void SendFences(const GroupView& aView, Instant aNow);
  void AwaitFences(const GroupView& aView, Instant aNow);
  void AwaitCatchUp(const GroupView& aView, Instant aNow);
  /// Whether the old primary and a successor can acknowledge writes while all
  /// other replicas are fenced.
  bool IsMajorityWith(const GroupView& aView,
                      const std::string& aSuccessor) const;
  bool AreMajoritiesStopped(const GroupView& aView) const;
  /// Whether a leaving primary may serve until the promotion takes effect.
  bool MayKeepServing(const GroupView& aView) const;
  bool HasSteppedDown(const GroupView& aView) const;
  /// Makes a leaving primary step down, and returns whether the successor holds
  /// all that it has committed.
  bool CompleteStepDown(const GroupView& aView, Instant aNow);
  void AbandonStepDown(const GroupView& aView, Instant aNow);
  bool ReplaceSuccessor(const GroupView& aView, Instant aNow);
  void AwaitPromotion(const GroupView& aView,
                      const std::optional<LeaseGrant>& aGrant,
                      Instant aNow);
  void SendPromotionOrder(Instant aNow);
  void Finish(const GroupView& aView, Instant aNow, const std::string& aStep);
  void ResumeFenced(const GroupView& aView);
  /// The replica that is to be promoted when the primary leaves; empty if there
  /// is none.
  std::string ProposeSuccessor(const GroupView& aView) const;
  /// The fenced replica to promote; empty while none with the longest log can
  /// be promoted.
  std::string ChooseSuccessor(const GroupView& aView) const;
  bool MayBePromoted(const GroupView& aView, const GroupMember& aMember) const;
  void RequestAllStatuses(const GroupView& aView, Instant aNow);
  void LogStep(const std::string& aStep, const std::string& aDetail = {});

  TakeoverSettings mSettings;
  State mState = State::Watching;
  TakeoverActions mActions;
  std::optional<TakeoverCause> mCause;
  std::optional<Instant> mLastTickAt;
  /// The time for which the primary has not answered, without stalls of this
  /// process.
  Duration mUnresponsiveFor{};
  Duration mNoPrimaryFor{};
  /// The highest position received by a replica at the last check for
  /// replication progress.
  std::optional<LogPosition> mLastReplicaPosition;
  bool mIsPartitioned = false;
  std::string mPresumedPrimary;
  /// When the oldest outstanding request to the primary was sent.
  Instant mUnansweredSince;
  std::map<std::string, Instant> mFencedSince;
  Instant mNextRequestAt;
  /// Since when the fences are granted and the successor lacks entries.
  std::optional<Instant> mCatchUpSince;
  Instant mNextCatchUpAt;
  Instant mRetryAt;
  Instant mAttemptStartedAt;
  Instant mStepStartedAt;
  Instant mLastOrderAt;
  uint64_t mFenceTerm = 0;
  uint64_t mOldTerm = 0;
  std::string mOldPrimary;
  /// The end of the log that the leaving primary first reported in the attempt.
  /// Replicas that are gone may have acknowledged what comes before.
  std::optional<LogPosition> mOldLogEnd;
  StepDown mStepDown = StepDown::NotSent;
  std::string mSuccessor;
  /// Members that the platform refused to promote, or that did not catch up.
  std::set<std::string> mExcludedMembers;
};

}
