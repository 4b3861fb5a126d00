#pragma once

#include "LibDecision/GroupView.h"
#include "LibDecision/PromotionDuty.h"

#include <variant>

namespace papayaline {

/// Why the primary of a group is to be replaced.
enum class TakeoverCause
{
  PrimarySilent,
  NoPrimary,
  PrimaryLeaving,
  /// Members were left fenced by a holder that is gone.
  StrayFence,
};

struct TakeoverSettings
{
  /// How long the primary may owe an answer before it is replaced. The gap that
  /// callers see is this plus the platform's promotion time.
  Duration mSilence = std::chrono::milliseconds(700);
  Duration mNoPrimary = std::chrono::milliseconds(700);
  /// The same for a primary that this process has not yet reached: connections
  /// of a predecessor may fill its limit for some seconds.
  Duration mFirstContact = std::chrono::milliseconds(1800);
  /// Replicas that receive after this much silence show that the primary lives
  /// and only the link of this instance is cut. Longer than nearly all
  /// statements take.
  Duration mWitnessFrom = std::chrono::milliseconds(350);
  /// More than this between two ticks is a pause of this process; what it
  /// missed says nothing of the primary.
  Duration mMaxTick = std::chrono::milliseconds(100);
  Duration mAskInterval = std::chrono::milliseconds(100);
  Duration mFenceTimeout = std::chrono::milliseconds(500);
  Duration mPromotionRepeat = std::chrono::milliseconds(800);
  /// Longer than the platform takes for a promotion that it accepted.
  Duration mPromotionTimeout = std::chrono::milliseconds(6000);
  Duration mBackoff = std::chrono::milliseconds(600);
  /// A fence that stands longer belongs to no attempt under way.
  Duration mStrayFence = std::chrono::milliseconds(6500);
};

enum class ControlCommand
{
  AskStatus,
  /// Stop receiving for the sake of a term.
  Fence,
  /// Stop leading, for the sake of a term.
  StepDown,
  /// Receive again.
  Resume,
};

struct CommandMember
{
  std::string mUpstream;
  ControlCommand mCommand = ControlCommand::AskStatus;
  uint64_t mTerm = 0;

  bool operator==(const CommandMember&) const = default;
};
/// Ask for the promotion duty; its outcome comes back as DutyAnswered.
struct AcquireDuty
{
  bool operator==(const AcquireDuty&) const = default;
};
/// Order the platform to promote a member, under the present grant.
struct OrderPromotion
{
  std::string mUpstream;

  bool operator==(const OrderPromotion&) const = default;
};
struct NoteTakeover
{
  std::string mStep;
  TakeoverCause mCause = TakeoverCause::NoPrimary;
  std::string mUpstream;
  uint64_t mTerm = 0;
  std::string mDetail;

  bool operator==(const NoteTakeover&) const = default;
};
using TakeoverAction =
  std::variant<CommandMember, AcquireDuty, OrderPromotion, NoteTakeover>;
using TakeoverActions = std::vector<TakeoverAction>;

/// What the platform answered to an order.
enum class PromotionAnswer
{
  Accepted,
  /// The member can't be promoted; nothing will happen.
  Refused,
  /// No answer: it may still take effect.
  Unknown,
};

/// Decides for one group on one instance when the primary must be replaced and
/// drives fences, the order and the repair. The view is fed by the caller;
/// Tick must run at least each mMaxTick.
///
/// Order of a failover: take the duty, fence enough replicas to meet every
/// majority that acknowledged a write, choose the longest log among the fenced,
/// order its promotion, let the others receive again. When the primary is only
/// leaving, it serves on until the promotion takes effect: so many replicas are
/// fenced that no majority can be had without the successor.
///
/// Thread safety: one thread.
class TakeoverMachine
{
public:
  explicit TakeoverMachine(TakeoverSettings aSettings = {});

  /// aGrant is the promotion duty while this instance holds it.
  TakeoverActions Tick(const GroupView& aView,
                       const std::optional<DutyGrant>& aGrant,
                       Instant aNow);
  /// The duty can't be had before aRetryAt.
  void OnDutyRefused(Instant aRetryAt);
  void OnPromotionAnswer(const std::string& aUpstream,
                         PromotionAnswer aAnswer,
                         Instant aNow);

  /// Whether the primary is silent here while its replicas go on receiving:
  /// other instances reach it.
  bool IsCutOff() const { return mIsWitnessed; }
  /// Whether a takeover is under way.
  bool IsBusy() const { return mState != State::Watching; }

private:
  enum class State
  {
    Watching,
    Acquiring,
    Fencing,
    Promoting,
  };

  void Watch(const GroupView& aView, Instant aNow);
  void ObserveSilence(const GroupView& aView, Instant aNow);
  bool IsWitnessed(const GroupView& aView);
  /// The primary, or the member that the directory takes for it.
  std::string PresumedPrimary(const GroupView& aView) const;
  bool IsGranted(const GroupView& aView, const GroupMember& aMember) const;
  bool HasEnoughFences(const GroupView& aView) const;
  bool WantsFence(const GroupView& aView, const GroupMember& aMember) const;
  std::optional<TakeoverCause> FindCause(const GroupView& aView) const;
  bool HasStrayFence(const GroupView& aView, Instant aNow);
  void Begin(const GroupView& aView, Instant aNow);
  void SendFences(const GroupView& aView, Instant aNow);
  void AwaitFences(const GroupView& aView, Instant aNow);
  void AwaitPromotion(const GroupView& aView,
                      const std::optional<DutyGrant>& aGrant,
                      Instant aNow);
  void Order(Instant aNow);
  void Finish(const GroupView& aView, Instant aNow, const std::string& aStep);
  void ResumeFenced(const GroupView& aView);
  std::string ChooseSuccessor(const GroupView& aView) const;
  void AskAll(const GroupView& aView, Instant aNow);
  void Note(const std::string& aStep, const std::string& aDetail = {});

  TakeoverSettings mSettings;
  State mState = State::Watching;
  TakeoverActions mActions;
  std::optional<TakeoverCause> mCause;
  std::optional<Instant> mLastTick;
  /// Time without an answer, counted only while this process ran.
  Duration mSilentFor{};
  Duration mNoPrimaryFor{};
  /// The highest position received by a replica when the silence began.
  std::optional<LogPosition> mWitness;
  bool mIsWitnessed = false;
  std::string mSilentPrimary;
  /// When the primary was asked what it has not answered.
  Instant mSilentSince;
  std::map<std::string, Instant> mFencedSince;
  Instant mNextAsk;
  Instant mRetryAt;
  Instant mStepBegan;
  Instant mLastOrder;
  uint64_t mFenceTerm = 0;
  uint64_t mOldTerm = 0;
  std::string mOldPrimary;
  std::string mSuccessor;
  std::set<std::string> mRefused;
};

}
