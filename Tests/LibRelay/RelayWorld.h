#pragma once

#include "LibDecision/PromotionLease.h"
#include "LibRelay/DirectoryView.h"
#include "LibRelay/RelayRouter.h"
#include "LibRelay/RelaySession.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace papayaline {

/// Simulates several instances that use one group of databases under random
/// faults, and checks the invariants for callers at each commit, read and
/// response. The store is restored from older copies of itself, which instances
/// learn of at different times or not at all. Uses one thread and simulated
/// time.
class RelayWorld
{
public:
  /// Faults besides the random ones.
  enum class Disruption
  {
    None,
    /// Primaries leave and are replaced while a replica receives nothing.
    ReplacementsBesideDeafReplicas,
    /// Callers have accounts, whose keys are taken away and given back, and
    /// instances lose the store one by one.
    KeysTakenAway,
    /// Databases state a position in every other answer, drawn at random.
    AnswersWithoutPosition,
    /// Databases join, leave and fail, and their instances learn of it at
    /// different times: the directory is late, out of reach, or lacks an entry.
    /// Replicas receive nothing for a while, above all the one whose promotion
    /// was ordered. Messages arrive late.
    ListsThatDiffer,
  };

  /// Faults of the past, which the exploration has to find again.
  enum class PastFault
  {
    None,
    /// An answer without a position is taken to state the last position of its
    /// connection.
    MissingPositionIsTheLast,
    /// An instance ignores a session's write of a term that it does not know.
    WriteOfAnUnknownTermIsIgnored,
  };

  /// Where the statements of a session run.
  enum class Spread
  {
    OwnInstance,
    /// Each single statement and each transaction runs at an instance that is
    /// drawn, as if it were forwarded there.
    AnyInstance,
  };

  RelayWorld(unsigned aSeed,
             Freshness aFreshness,
             Acknowledgement aAcknowledgement,
             Disruption aDisruption = Disruption::None,
             Spread aSpread = Spread::OwnInstance,
             RelayRuleSet aRules = RelayRuleSet::All());
  ~RelayWorld();

  void SetPastFault(PastFault aFault) { mPastFault = aFault; }

  void Run(Milliseconds aTime);

  const std::vector<std::string>& Violations() const { return mViolations; }
  size_t Acknowledged() const { return mAcknowledged.size(); }
  size_t Reads() const { return mReads; }
  size_t Promotions() const { return mPromotions; }
  size_t Restores() const { return mRestores; }
  /// Statements that were refused for lack of a key or of authority.
  size_t Unauthorized() const { return mUnauthorized; }

private:
  struct Entry
  {
    uint64_t mTerm = 0;
    std::string mWrite;
  };
  struct Database
  {
    std::string mName;
    Role mRole = Role::Replica;
    uint64_t mTerm = 1;
    uint64_t mFencedTerm = 0;
    std::vector<Entry> mLog;
    size_t mApplied = 0;
    bool mIsAlive = true;
    Instant mBackAt;
    /// Delay between receiving and applying an entry.
    Milliseconds mLag{ 5 };
    std::deque<std::pair<Instant, size_t>> mToApply;
    bool mIsLeaving = false;
    /// Has left: it ended for good, and the directory does not list it.
    bool mIsGone = false;
    Instant mDeafUntil;
  };
  /// A connection as its database sees it.
  struct DatabaseSession
  {
    TransactionState mState = TransactionState::None;
    bool mIsReadOnly = false;
    std::vector<std::string> mStaged;
    std::optional<LogPosition> mLastPosition;
  };
  struct Instance
  {
    std::unique_ptr<PromotionLease> mLease;
    std::unique_ptr<RelayRouter> mRouter;
    Instant mSuspendedUntil;
    std::set<std::string> mPartitionedFrom;
    /// Until then its callers send no writes, whose refusal would tell it of
    /// another primary.
    Instant mReadsOnlyUntil;
    /// Until then the store answers all instances but this one.
    Instant mCutFromStoreUntil;
    DirectoryView mDirectory;
    Instant mCutFromDirectoryUntil;
  };
  struct Caller
  {
    std::string mAccount;
    std::string mKey;
    /// Since when no account holds the key.
    std::optional<Instant> mKeyTakenAt;
    std::shared_ptr<RelaySession> mSession;
    size_t mInstance = 0;
    std::string mStatement;
    std::string mPendingWrite;
    std::vector<std::string> mOwnWrites;
    int mStep = 0;
    Instant mNextAt;
    bool mIsTransaction = false;
    bool mIsReadOnly = false;
    Instant mBeganAt;
  };
  /// What a statement has to see, as of when it was sent. It may still run
  /// after its caller was answered by another database and has gone on.
  struct Request
  {
    size_t mCaller = 0;
    /// When it was sent, or its transaction began.
    Instant mSince;
    /// How many writes of its session were acknowledged by then.
    size_t mOwnWrites = 0;
  };
  struct StoreCopy
  {
    std::optional<StoredLease> mLease;
    int64_t mNumber = 0;
  };
  class Channel;
  class SpreadingRunner;
  struct Event
  {
    Instant mAt;
    uint64_t mOrder = 0;
    std::function<void()> mRun;

    bool operator>(const Event& aOther) const
    {
      return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
    }
  };

  RelayEnvironment MakeEnvironment(size_t aInstance);
  void Schedule(Instant aAt, std::function<void()> aRun);
  bool Chance(double aProbability);
  int RandomBelow(int aBelow);

  Database& Find(const std::string& aName);
  static LogPosition EndOf(const Database& aDatabase, size_t aSize);
  StatementAnswer Execute(Database& aDatabase,
                          const UpstreamCommand& aCommand,
                          DatabaseSession& aSession,
                          const std::string& aAccount);
  void Commit(Database& aDatabase, const std::string& aWrite);
  void CheckRead(const Database& aDatabase, const std::string& aId);
  void Promote(const std::string& aName);
  void Replicate();
  void InjectFault();
  void ReplacePrimary();
  void SetLeaving(const std::string& aLeaving);
  std::vector<DirectoryEntry> DirectoryEntries() const;
  void PublishDirectory();
  /// Delivers the present directory to an instance that reaches it.
  void DeliverDirectory(size_t aInstance);
  void CutFromDirectory(size_t aInstance, Milliseconds aTime);
  void ChangeMembers();
  void AddDatabase();
  void Leave(const std::string& aName);
  void EndIfReplaced(const std::string& aName);
  void MakeDeaf(const std::string& aName, Milliseconds aAfter);
  std::vector<std::string> PresentDatabases() const;
  bool ListsDiffer() const
  {
    return mDisruption == Disruption::ListsThatDiffer;
  }
  void PartitionReplication(const std::string& aFirst,
                            const std::string& aSecond,
                            Milliseconds aTime);
  void AcquireLease(size_t aInstance);
  /// Writes the lease record if its revision number is the expected one.
  bool PutLease(const WriteLease& aPut);
  void ReleaseLease(Instance& aInstance);
  void ObserveEra(size_t aInstance);
  void RestoreStore();
  void TakeKey();
  void PublishAccounts();
  /// Lets the instances that reach the store confirm the configuration.
  void ConfirmConfigurations();
  void CheckAuthority(const std::string& aId, const std::string& aAccount);
  Milliseconds RandomStoreDelay(int aBelowMs);
  void SendNextStatement(size_t aCaller);
  void OnResponse(size_t aCaller, const StatementAnswer& aAnswer);
  void ReportViolation(const std::string& aText);

  std::mt19937 mRandom;
  Freshness mFreshness;
  Acknowledgement mAcknowledgement;
  Disruption mDisruption;
  RelayRuleSet mRules;
  PastFault mPastFault = PastFault::None;
  Instant mNow = Instant(std::chrono::hours(1));
  uint64_t mOrder = 0;
  std::vector<Event> mEvents;
  std::vector<Database> mDatabases;
  std::vector<Instance> mInstances;
  std::vector<Caller> mCallers;
  std::string mLeader = "a";
  /// Pairs of databases, in name order, that can't replicate to each other.
  std::set<std::pair<std::string, std::string>> mPartitions;
  std::optional<StoredLease> mLeaseObject;
  StoreRevision mRevision{ 1, 1 };
  /// Draws the store's faults, so that they don't change the other draws.
  std::mt19937 mStoreRandom;
  std::deque<StoreCopy> mStoreCopies;
  Instant mNextRestore;
  /// Draws the changes of keys, so that they don't change the other draws.
  std::mt19937 mKeyRandom;
  Instant mNextKeyChange;
  /// Draws the instances of statements, so that they don't change the other
  /// draws.
  std::mt19937 mSpreadRandom;
  /// Draws the answers without a position, for the same reason.
  std::mt19937 mPositionRandom;
  RelayConfiguration mConfiguration;
  size_t mUnauthorized = 0;
  size_t mRestores = 0;
  uint64_t mLastToken = 0;
  size_t mLastHolder = 0;
  bool mIsStoreUp = true;
  Instant mNextFault;
  Instant mNextReplacement;
  /// The database whose entry in the directory is unreadable; may be empty.
  std::string mUnreadable;
  size_t mAddedDatabases = 0;
  std::map<std::string, Instant> mAcknowledged;
  std::set<std::string> mCommitted;
  std::set<std::string> mRolledBack;
  std::set<std::string> mCommittedAtReplaced;
  std::map<std::string, Request> mRequests;
  std::vector<std::string> mViolations;
  size_t mReads = 0;
  size_t mPromotions = 0;
  uint64_t mLastRequest = 0;
};

}
