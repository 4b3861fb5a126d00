#pragma once

#include "LibDecision/FailoverMachine.h"
#include "LibDecision/ReadPolicy.h"
#include "LibDecision/WriteMachine.h"
#include "LibReplica/ReplicaState.h"

#include <random>
#include <set>

namespace papayaline {

inline constexpr const char* kReadMissesWrite =
  "a read misses an acknowledged write";

/// One random run of the decision code with three databases, two failover
/// coordinators, and callers that write and read. Messages are lost,
/// duplicated, delayed and reordered. The invariants are checked during the run
/// and at its end.
class World
{
public:
  World(uint64_t aSeed, RuleSet aRules);

  /// Runs aSteps random steps and a final failover, and returns the first
  /// violation of an invariant.
  std::optional<std::string> Run(int aSteps);

  /// Counts of events, which show how much of the protocol a run covered.
  struct Coverage
  {
    uint64_t mPromotions = 0;
    uint64_t mAcknowledged = 0;
    uint64_t mNotRun = 0;
    uint64_t mResolutions = 0;
    uint64_t mReplicaReads = 0;
    uint64_t mPrimaryReads = 0;
  };
  const Coverage& GetCoverage() const { return mCoverage; }

private:
  static constexpr size_t kDatabases = 3;
  static constexpr size_t kCoordinators = 2;

  struct CommandMessage
  {
    size_t mCoordinator;
    SendCommand mCommand;
    Instant mSentAt;
  };
  struct AnswerMessage
  {
    size_t mCoordinator;
    CommandAnswered mAnswer;
  };
  struct ReportMessage
  {
    size_t mCoordinator;
    UpstreamReport mReport;
  };
  struct WriteMessage
  {
    size_t mWrite;
    size_t mDatabase;
    int mAttempt;
    std::optional<std::string> mTombstoneNonce;
  };
  struct ResolutionMessage
  {
    size_t mWrite;
    size_t mDatabase;
    int mAttempt;
  };
  struct ReadMessage
  {
    size_t mRead;
    UpstreamReport mChosen;
    ReadVerdict mVerdict;
  };
  using Message = std::variant<CommandMessage,
                               AnswerMessage,
                               ReportMessage,
                               WriteMessage,
                               ResolutionMessage,
                               ReadMessage>;

  struct Write
  {
    WriteMachine mMachine;
    size_t mInstance = 0;
    int mAttempt = 0;
    bool mIsInFlight = false;
    LogPosition mPosition = {};
    std::optional<WriteOutcome> mOutcome = {};
  };
  struct Read
  {
    size_t mInstance;
    ReadRequirements mRequirements;
    std::set<size_t> mRequired;
    std::set<size_t> mReturned;
    bool mIsInFlight = false;
    bool mIsDone = false;
    std::optional<LogPosition> mSeenAtPrimary;
  };
  struct ReplicationStream
  {
    size_t mFrom;
    size_t mTo;
    uint64_t mTerm;
  };
  enum class LedgerKind
  {
    Missing,
    Done,
    Tombstone,
  };
  struct Ledger
  {
    LedgerKind mKind = LedgerKind::Missing;
    std::string mNonce;
  };

  void Bootstrap();
  size_t Pick(size_t aCount);
  bool Chance(unsigned aPercent);
  void Step();
  void AdvanceClock();
  void TickCoordinator();
  void RequestStatus();
  void DeliverMessage();
  void Deliver(const CommandMessage& aMessage);
  void Deliver(const AnswerMessage& aMessage);
  void Deliver(const ReportMessage& aMessage);
  void Deliver(const WriteMessage& aMessage);
  void Deliver(const ResolutionMessage& aMessage);
  void Deliver(const ReadMessage& aMessage);
  void Replicate();
  void RestartDatabase();
  void TogglePartition();
  void AppendOtherWrites();
  void StartWrite();
  void ProgressWrite();
  void StartRead();
  void ProgressRead();
  void ReturnPrimaryRead(Read& aRead);
  void FinishRead(Read& aRead);
  void Feed(size_t aCoordinator, const FailoverEvent& aEvent);
  void Feed(size_t aWrite, const WriteEvent& aEvent);
  void Finish(size_t aWrite, WriteOutcome aOutcome);
  void SendToPrimary(size_t aWrite, std::optional<std::string> aTombstoneNonce);
  void SendResolution(size_t aWrite);
  std::optional<size_t> PickPrimary();
  void Heal();
  void CheckPrimaries();
  void CheckFinalLog(const ReplicaState& aPrimary);
  void RecordViolation(const std::string& aText);
  size_t IndexOf(const std::string& aDatabase) const;
  Ledger LedgerOf(const ReplicaState& aDatabase, size_t aWrite) const;
  std::set<size_t> WritesIn(const ReplicaState& aDatabase) const;

  std::mt19937_64 mRandom;
  RuleSet mRules;
  Instant mNow;
  std::vector<ReplicaState> mDatabases;
  std::vector<FailoverMachine> mCoordinators;
  std::vector<std::vector<UpstreamReport>> mViews;
  std::vector<ReplicationStream> mStreams;
  std::vector<Message> mMessages;
  std::vector<Write> mWrites;
  std::vector<Read> mReads;
  std::set<size_t> mAcknowledged;
  std::set<size_t> mReturned;
  size_t mStalledCoordinator = kCoordinators;
  /// The index of the partitioned database; an index past the last means none.
  size_t mPartitionedDatabase = kDatabases;
  std::optional<std::string> mViolation;
  Coverage mCoverage;
};

}
