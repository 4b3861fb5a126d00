#pragma once

#include "LibDecision/Quorum.h"

#include <variant>

namespace papayaline {

/// The outcome of a write, as reported to the caller.
enum class WriteOutcome
{
  /// Committed by this attempt and held by a majority.
  Done,
  /// Committed by an earlier attempt, whose recorded reply is returned.
  DoneEarlier,
  NotRun,
  Unknown,
};

/// The commit was passed to the connection and may take effect from now on.
struct CommitSent
{};
/// The database rolled the write back, or the write was never started.
struct WriteRolledBack
{};
/// The connection of the write was lost.
struct WriteConnectionLost
{};
struct WriteCommitted
{
  LogPosition mPosition;
};
/// The ledger already contains the request id.
struct RequestIdTaken
{};
/// What a resolution read from the ledger after it tried to write a tombstone.
struct ResolutionRead
{
  bool mIsDone = false;
  std::string mNonce;
  /// The end of the log that the resolution read.
  LogPosition mPosition;
};
struct ResolutionConnectionLost
{};
struct EvidenceChanged
{
  std::span<const UpstreamReport> mReports;
  size_t mGroupSize = 0;
};
struct WriteDeadlinePassed
{};
using WriteEvent = std::variant<CommitSent,
                                WriteRolledBack,
                                WriteConnectionLost,
                                WriteCommitted,
                                RequestIdTaken,
                                ResolutionRead,
                                ResolutionConnectionLost,
                                EvidenceChanged,
                                WriteDeadlinePassed>;

/// Starts the write, or starts it again.
struct StartWrite
{
  /// The nonce of the tombstone to replace; without one, the request id is
  /// inserted as a new entry.
  std::optional<std::string> mTombstoneNonce;
};
struct StartResolution
{};
struct FinishWrite
{
  WriteOutcome mOutcome = WriteOutcome::Unknown;
};
using WriteAction = std::variant<StartWrite, StartResolution, FinishWrite>;

/// Whether a write that provably did not run may be sent again.
enum class RetryPolicy
{
  Never,
  AfterResolution,
};

/// Decides the outcome of one write: when it is acknowledged, when its outcome
/// must be resolved through the ledger, and which outcome is reported. A value
/// type without clock or socket. Thread safety: one thread at a time.
class WriteMachine
{
public:
  explicit WriteMachine(RetryPolicy aRetry, RuleSet aRules = RuleSet::All())
    : mRetry(aRetry)
    , mRules(aRules)
  {
  }

  /// Handles one event and returns the next action, if any.
  /// Precondition: the write was started before the first event.
  std::optional<WriteAction> Handle(const WriteEvent& aEvent);

  /// Whether the next step needs evidence from a majority.
  bool AwaitsEvidence() const
  {
    return mPhase == Phase::Confirming || mPhase == Phase::ConfirmingResolution;
  }

private:
  enum class Phase
  {
    Running,
    Committing,
    Confirming,
    Resolving,
    ConfirmingResolution,
    Finished,
  };

  std::optional<WriteAction> Resolve();
  std::optional<WriteAction> Retry(std::optional<std::string> aTombstoneNonce);
  std::optional<WriteAction> Finish(WriteOutcome aOutcome);
  std::optional<WriteAction> OnLost();
  std::optional<WriteAction> OnEvidence(const EvidenceChanged& aEvidence);
  std::optional<WriteAction> OnDeadline();
  std::optional<WriteAction> ConcludeResolution();

  RetryPolicy mRetry;
  RuleSet mRules;
  Phase mPhase = Phase::Running;
  LogPosition mPosition;
  /// Whether another attempt with this request id exists or existed. This
  /// attempt has not run then.
  bool mHasOtherAttempt = false;
  ResolutionRead mResolution;
};

}
