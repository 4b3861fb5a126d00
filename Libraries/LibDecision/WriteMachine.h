#pragma once

#include "LibDecision/Quorum.h"

#include <variant>

namespace papayaline {

/// How a write ended, as its caller is told.
enum class WriteVerdict
{
  /// Committed by this attempt and held by a majority.
  Done,
  /// Committed by an earlier attempt; the recorded reply is the answer.
  DoneEarlier,
  NotRun,
  Unknown,
};

/// The commit was handed to the connection; from here on it may take effect.
struct CommitSent
{};
/// The database rolled the write back, or it never began.
struct WriteRolledBack
{};
/// The connection broke.
struct WriteLost
{};
struct WriteCommitted
{
  LogPosition mPosition;
};
/// The ledger already holds the request id.
struct RequestIdTaken
{};
/// What a resolution found after it tried to write a tombstone.
struct ResolutionRead
{
  bool mIsDone = false;
  std::string mNonce;
  /// The end of the log that the resolution saw.
  LogPosition mPosition;
};
struct ResolutionLost
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
                                WriteLost,
                                WriteCommitted,
                                RequestIdTaken,
                                ResolutionRead,
                                ResolutionLost,
                                EvidenceChanged,
                                WriteDeadlinePassed>;

/// What to do next for a write.
struct StartWrite
{
  /// The tombstone to claim; none inserts the request id anew.
  std::optional<std::string> mClaim;
};
struct StartResolution
{};
struct FinishWrite
{
  WriteVerdict mVerdict = WriteVerdict::Unknown;
};
using WriteAction = std::variant<StartWrite, StartResolution, FinishWrite>;

/// Whether a write that truly did not run may be sent again.
enum class RetryPolicy
{
  Never,
  AfterResolution,
};

/// Decides the fate of one write: when it is acknowledged, when its outcome
/// must be resolved through the ledger, and which answer is true. A value type
/// without socket or clock. Thread safety: one thread at a time.
class WriteMachine
{
public:
  explicit WriteMachine(RetryPolicy aRetry, RuleSet aRules = RuleSet::All())
    : mRetry(aRetry)
    , mRules(aRules)
  {
  }

  /// Feeds one event and returns the next step, if any.
  /// Precondition: StartWrite was carried out before the first event.
  std::optional<WriteAction> Handle(const WriteEvent& aEvent);

  /// Whether the next step depends on evidence of a majority.
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
  std::optional<WriteAction> Retry(std::optional<std::string> aClaim);
  std::optional<WriteAction> Finish(WriteVerdict aVerdict);
  std::optional<WriteAction> OnLost();
  std::optional<WriteAction> OnEvidence(const EvidenceChanged& aEvidence);
  std::optional<WriteAction> OnDeadline();
  std::optional<WriteAction> ConcludeResolution();

  RetryPolicy mRetry;
  RuleSet mRules;
  Phase mPhase = Phase::Running;
  LogPosition mPosition;
  /// Another attempt with this id exists or existed; this one has not run.
  bool mIsForeign = false;
  ResolutionRead mResolution;
};

}
