#pragma once

#include "FakeUpstreams.h"
#include "LibPeer/ForwardingRunner.h"
#include "LibPeer/ObjectWatcher.h"
#include "LibPeer/PeerServer.h"

namespace papayaline {

/// One instance's access to a store in memory, whose objects all instances
/// share. Calls are answered after a fixed delay of the simulated clock; a
/// watch waits for changes.
class FakeStore : public ObjectStore
{
public:
  using Clock = std::function<Instant()>;

  /// The content of the store at one moment.
  struct Copy
  {
    std::map<QString, StoredObject> mObjects;
    std::vector<StoredObject> mDeleted;
    int64_t mRevision = 1;
  };

  explicit FakeStore(Clock aClock)
    : mClock(std::move(aClock))
  {
  }

  uint64_t Era() const override { return mEra; }
  void List(const QString& aKind, BatchHandler aHandler) override;
  void ListStale(const QString& aKind, BatchHandler aHandler) override;
  void Get(const QString&, const QString&, ObjectHandler) override {}
  void Put(const QString&,
           const QString&,
           const StoreRevision&,
           const QJsonValue&,
           ObjectHandler) override
  {
  }
  void Watch(const QString& aKind,
             const StoreRevision& aAfter,
             int aWaitMs,
             BatchHandler aHandler) override;

  void Set(const QString& aName, const QString& aContent);
  void Remove(const QString& aName);
  void Step();
  static Copy MakeCopy() { return sContent; }
  /// Loses all changes after the copy and starts a new era. Waiting watches are
  /// cut off.
  static void Restore(const Copy& aCopy);
  /// Empties the store.
  static void Reset();

  /// Rejects this instance's calls.
  bool mIsRefusing = false;
  /// Answers none of this instance's calls.
  bool mIsSilent = false;
  /// From the store's answer to its arrival.
  Milliseconds mDelay{ 4 };
  size_t mCalls = 0;

private:
  static Copy sContent;
  static uint64_t sEra;

  struct PendingWatch
  {
    StoreRevision mAfterRevision;
    uint64_t mEra = 0;
    Instant mDeadline;
    BatchHandler mHandler;
  };

  void Answer(BatchHandler aHandler, Result<ObjectBatch> aBatch);
  static ObjectBatch ChangesAfter(const StoreRevision& aAfter);
  static StoredObject InCurrentEra(StoredObject aObject);

  Clock mClock;
  uint64_t mEra = 0;
  std::vector<PendingWatch> mPendingWatches;
  std::vector<std::pair<Instant, std::function<void()>>> mAnswers;
};

/// A fleet of instances in memory with one group of databases. Messages between
/// instances are encoded as on the wire.
class SimulatedFleet
{
public:
  struct Instance
  {
    InstanceInfo mInfo;
    std::unique_ptr<RelayRouter> mRouter;
    std::unique_ptr<PeerPool> mPeers;
    std::unique_ptr<HomeDirectory> mHomes;
    std::unique_ptr<FakeStore> mDirectStore;
    std::unique_ptr<SharedObjectStore> mStore;
    /// Null until WatchConfiguration.
    std::unique_ptr<ObjectWatcher> mWatcher;
    std::unique_ptr<PeerServer> mServer;
    ForwardCounts mCounts;
    /// Connections to databases that it has started to open.
    size_t mOpenedConnections = 0;
    bool mIsAlive = true;
    /// The instance does not run until then.
    Instant mFrozenUntil;
    /// Messages to and from other instances are lost.
    bool mIsPartitioned = false;
    /// The load that its answers report, in place of its own.
    std::optional<GroupLoad> mToldLoad;
    /// The time that a message takes at the instance, one after the other: what
    /// its processor share or its link bears.
    Duration mMessageTime{};
    Instant mBusyUntil;
    /// Databases that the instance can't connect to.
    std::set<std::string> mUnreachableDatabases;
  };

  /// Creates aCount instances, assigned to aDomains in turn.
  SimulatedFleet(size_t aCount,
                 std::vector<std::string> aDomains,
                 std::optional<Duration> aAuthorityTimeout = std::nullopt,
                 Topology aTopology = {});
  ~SimulatedFleet();

  FakeUpstreams& Databases() { return *mDatabases; }
  Instance& At(const std::string& aName);
  Instance& At(size_t aIndex) { return *mInstances[aIndex]; }
  size_t Size() const { return mInstances.size(); }
  const HomePlan& Plan();
  /// An instance that is not home to the group, in aDomain unless it is empty.
  Instance& NonHome(const std::string& aDomain = {});
  /// Sends a statement at an instance and returns the name of the home that it
  /// was forwarded to, or nothing if it was not forwarded.
  std::string FindServingHome(Instance& aInstance,
                              const std::string& aStatement);

  /// Lets all instances watch the kind of the configuration in the store.
  void WatchConfiguration();

  void Run(Milliseconds aTime) { mDatabases->Run(aTime); }
  void Kill(const std::string& aName);
  void Freeze(const std::string& aName, Milliseconds aTime);
  /// Sets the time between two ticks of all instances, which is longer when
  /// they are short of processor time.
  void SetTickInterval(Milliseconds aInterval) { mTickInterval = aInterval; }
  /// The time that a message takes on the link between two regions, one after
  /// the other.
  Duration mRegionMessageTime{};
  /// Domains whose messages to and from others are lost.
  std::set<std::string> mCutDomains;
  /// Runs a function at an instance after a delay.
  void RunAfter(const std::string& aInstance,
                Duration aDelay,
                std::function<void()> aRun);
  /// Sets the instances that an instance believes to be live.
  void SetFleet(Instance& aInstance,
                const std::vector<InstanceInfo>& aInstances);
  std::vector<InstanceInfo> ListInstances() const;

  std::unique_ptr<FakeUpstreams::Caller> Connect(
    Instance& aInstance,
    Freshness aFreshness = Freshness::Latest,
    const std::string& aKey = {});
  /// Applies a configuration with these client accounts at one instance.
  static void SetAccounts(Instance& aInstance,
                          std::vector<ClientAccount> aAccounts);
  void SetAccounts(const std::vector<ClientAccount>& aAccounts);
  /// Receives all that instances log or send to each other; may be null.
  std::function<void(const std::string&)> mOnWritten;
  /// How many statements whose text ends in aText ran, over all databases.
  size_t CountRuns(const std::string& aText);

private:
  class Channel;
  struct Link;
  struct Event
  {
    Instant mAt;
    std::string mTo;
    std::function<void()> mRun;
  };

  void Add(size_t aIndex, const std::string& aDomain);
  void Step();
  void Schedule(const std::string& aTo, std::function<void()> aRun);
  void ScheduleMessage(const std::string& aFrom,
                       const std::string& aTo,
                       std::function<void()> aRun);
  bool IsReachable(const std::string& aFrom, const std::string& aTo);
  bool IsRunning(const Instance& aInstance) const;
  void RecordFrame(const QByteArray& aBytes) const;
  void CloseLink(const std::shared_ptr<Link>& aLink);

  std::optional<Duration> mAuthorityTimeout;
  Topology mTopology;
  Instant mRegionLinkBusyUntil;
  std::unique_ptr<FakeUpstreams> mDatabases;
  // Declared before the instances, whose channels use them on destruction.
  std::deque<Event> mEvents;
  std::vector<std::weak_ptr<Link>> mLinks;
  std::vector<std::unique_ptr<Instance>> mInstances;
  Instant mNextTick;
  Milliseconds mTickInterval{ 20 };
};

}
