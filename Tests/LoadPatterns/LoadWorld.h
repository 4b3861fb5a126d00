#pragma once

#include "LibRelay/RelayRouter.h"
#include "LibRelay/RelaySession.h"

#include <array>
#include <deque>
#include <map>
#include <random>
#include <ranges>

namespace papayaline {

/// The load of one route and what its callers expect.
struct RouteLoad
{
  RelayRoute mRoute;
  /// Operations a second from all callers.
  double mRate = 0;
  /// The share of operations that write.
  double mWrites = 0;
  /// The mean time for which a statement occupies a slot of its database.
  Milliseconds mServiceTime{ 10 };
  /// When a caller gives up, from its first attempt.
  Milliseconds mDeadline{ 800 };
  /// The arrival rate is multiplied by this during the fault.
  double mFaultRate = 1;
  /// The instance that operations are sent to first; any if unset.
  std::optional<size_t> mHome;
};

/// A client account and its part of the load.
struct AccountLoad
{
  ClientAccount mAccount;
  /// The share of the operations of each route.
  double mShare = 1;
  /// The arrival rate is multiplied by this during the fault.
  double mFaultRate = 1;
};

/// Which instances run the statements of the group.
enum class HomePlacement
{
  Everywhere,
  /// Each instance is the home in the failure domain of one database:
  /// statements for the primary meet at its home.
  ByDomain,
};

/// A deployment and its load. Times count from the start of the run.
struct LoadPattern
{
  std::string mName;
  unsigned mInstances = 8;
  unsigned mSlots = 2;
  unsigned mConnections = 16;
  /// Statements that wait at a database for a slot; further ones are refused.
  unsigned mQueue = 16;
  std::vector<RouteLoad> mLoads;
  /// Empty where callers have no accounts; otherwise the shares add up to 1.
  std::vector<AccountLoad> mAccounts;
  /// How late replicas apply what they receive, in the given span.
  Milliseconds mLag{ 20 };
  Milliseconds mFaultLag{ 20 };
  Milliseconds mFaultFrom{ 0 };
  Milliseconds mFaultUntil{ 0 };
  /// The arrival rate is multiplied by this during the fault.
  double mFaultRate = 1;
  /// One replica receives nothing during the fault.
  bool mIsReplicaDeaf = false;
  /// The primary is lost this long after the start of the fault, if at all.
  std::optional<Milliseconds> mPrimaryLostAfter;
  /// All instances are restarted at the start of the fault.
  bool mAreAllRestarted = false;
  HomePlacement mPlacement = HomePlacement::Everywhere;
  Milliseconds mLength{ 10000 };
};

/// What the callers of one route got.
struct RouteResult
{
  unsigned mOffered = 0;
  unsigned mInTime = 0;
  unsigned mLate = 0;
  /// Not served; the last attempt was refused as not run.
  unsigned mRefused = 0;
  /// Not served by the deadline, or with an unknown outcome.
  unsigned mFailed = 0;
  /// Refusals, of all attempts, that came after the target latency.
  unsigned mLateRefusals = 0;

  double InTimeShare() const { return Share(mInTime); }
  double ServedShare() const { return Share(mInTime + mLate); }
  bool operator==(const RouteResult&) const = default;

private:
  double Share(unsigned aCount) const
  {
    return mOffered > 0 ? static_cast<double>(aCount) / mOffered : 1;
  }
};

struct LoadResult
{
  std::vector<RouteResult> mRoutes;
  /// The same for operations that arrived during the fault.
  std::vector<RouteResult> mFaultRoutes;
  /// The same by account, over all routes.
  std::vector<RouteResult> mFaultAccounts;
  /// Status requests a second that the databases received.
  double mStatusRate = 0;
  /// Connections a second that were opened, over the run and in the fault.
  double mOpeningRate = 0;
  double mFaultOpeningRate = 0;
  /// The share of its slots that the busiest database used during the fault.
  double mSlotUse = 0;

  bool operator==(const LoadResult&) const = default;
};

/// Simulates callers, instances and the databases of one group under load, with
/// slots and queues at the databases. Callers retry a refused operation at
/// another instance, twice at most. Uses one thread and simulated time; a run
/// depends only on the pattern and the seed.
class LoadWorld
{
public:
  LoadWorld(LoadPattern aPattern, unsigned aSeed);
  ~LoadWorld();

  LoadResult Run();

private:
  struct Job
  {
    Duration mServiceTime;
    std::function<void()> mOnDone;
  };
  struct Database
  {
    std::string mName;
    Role mRole = Role::Replica;
    uint64_t mTerm = 1;
    uint64_t mFencedTerm = 0;
    bool mIsAlive = true;
    bool mIsReceiving = true;
    /// When each entry of the log was received; its size is the log's length.
    std::vector<Instant> mLog;
    size_t mApplied = 0;
    unsigned mRunning = 0;
    /// The time for which slots were in use during the fault, over all slots.
    Duration mBusyTime{};
    unsigned mConnections = 0;
    std::deque<Job> mQueue;
  };
  struct Operation
  {
    size_t mRoute = 0;
    size_t mAccount = 0;
    std::string mText;
    Instant mStartedAt;
    Instant mSentAt;
    Duration mServiceTime{};
    size_t mInstance = 0;
    unsigned mAttempts = 0;
    bool mIsDone = false;
    std::shared_ptr<RelaySession> mSession;
  };
  using OperationPointer = std::shared_ptr<Operation>;
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
  class Channel;

  RelayEnvironment MakeEnvironment(size_t aInstance);
  void AddInstance(size_t aInstance);
  void ScheduleFaults();
  void RestartAll();
  /// How much more of the account arrives now than usually.
  double FactorOf(const AccountLoad& aAccount) const;
  size_t DrawAccount();
  void ScheduleArrivals(size_t aRoute);
  void ScheduleTicks(size_t aInstance);
  void ScheduleReplication();
  void RunUntil(Instant aUntil);
  void Schedule(Duration aDelay, std::function<void()> aRun);

  void StartOperation(size_t aRoute);
  /// Empty where callers have no accounts.
  std::string AccountName(const Operation& aOperation) const;
  /// Throws when a statement runs on a connection of another account.
  void CheckAccount(const Operation& aOperation,
                    const std::string& aAccount) const;
  size_t ChooseInstance(const Operation& aOperation);
  size_t ChooseHomeFor(const Operation& aOperation,
                       const std::string& aDomain,
                       bool aNeedsPrimary) const;
  void Attempt(const OperationPointer& aOperation);
  void OnResponse(const OperationPointer& aOperation,
                  const StatementAnswer& aAnswer);
  void Record(const OperationPointer& aOperation,
              unsigned RouteResult::*aCount);
  bool IsFault(Instant aAt) const;

  Database& Find(const std::string& aName);
  /// Runs aJob once a slot is free; returns false when the queue is full.
  bool Enqueue(Database& aDatabase, Job aJob);
  void StartJob(Database& aDatabase, Job aJob);
  StatementAnswer Execute(Database& aDatabase, const UpstreamCommand& aCommand);
  void Replicate();
  void Promote(const std::string& aName);
  static LogPosition PositionOf(const Database& aDatabase, size_t aSize);

  LoadPattern mPattern;
  std::mt19937 mRandom;
  Instant mStart = Instant(std::chrono::hours(1));
  Instant mNow = mStart;
  uint64_t mOrder = 0;
  std::vector<Event> mEvents;
  std::array<Database, 3> mDatabases;
  std::vector<std::unique_ptr<RelayRouter>> mInstances;
  std::map<std::string, OperationPointer> mOperations;
  uint64_t mLastId = 0;
  unsigned mRestarts = 0;
  uint64_t mStatusRequests = 0;
  uint64_t mOpenings = 0;
  uint64_t mFaultOpenings = 0;
  LoadResult mResult;
};

}
