#pragma once

#include "FakeUpstreams.h"
#include "LibPeer/ForwardingRunner.h"
#include "LibPeer/PeerServer.h"

namespace papayaline {

/// The platform's store in memory. Calls are answered when the world's time has
/// passed; a watch waits.
class FakeStore : public ObjectStore
{
public:
  using Clock = std::function<Instant()>;

  explicit FakeStore(Clock aClock)
    : mClock(std::move(aClock))
  {
  }

  void List(const QString& aKind, BatchHandler aHandler) override;
  void ListStale(const QString& aKind, BatchHandler aHandler) override;
  void Get(const QString&, const QString&, ObjectHandler) override {}
  void Put(const QString&,
           const QString&,
           int64_t,
           const QJsonValue&,
           ObjectHandler) override
  {
  }
  void Watch(const QString& aKind,
             int64_t aAfter,
             int aWaitMs,
             BatchHandler aHandler) override;

  void Set(const QString& aName, const QString& aContent);
  void Remove(const QString& aName);
  void Step();

  /// Refuses what this instance calls.
  bool mIsRefusing = false;
  /// Answers nothing.
  bool mIsSilent = false;
  size_t mCalls = 0;
  static std::map<QString, StoredObject> sObjects;
  static std::vector<StoredObject> sDeleted;
  static int64_t sRevision;

private:
  struct Waiting
  {
    int64_t mAfter = 0;
    Instant mUntil;
    BatchHandler mHandler;
  };

  void Answer(BatchHandler aHandler, Result<ObjectBatch> aBatch);
  ObjectBatch Changes(int64_t aAfter) const;

  Clock mClock;
  std::vector<Waiting> mWaiting;
  std::vector<std::pair<Instant, std::function<void()>>> mAnswers;
};

/// A fleet of instances in memory before one group of databases, with the
/// messages between them encoded as on the wire.
class PeerWorld
{
public:
  struct Instance
  {
    InstanceInfo mInfo;
    std::unique_ptr<RelayRouter> mRouter;
    std::unique_ptr<PeerPool> mPeers;
    std::unique_ptr<HomeDirectory> mHomes;
    std::unique_ptr<FakeStore> mOwnStore;
    std::unique_ptr<SharedObjectStore> mStore;
    std::unique_ptr<PeerServer> mServer;
    ForwardCounts mCounts;
    /// Connections to databases that it has begun.
    size_t mOpenings = 0;
    bool mIsAlive = true;
    /// Until when it runs nothing.
    Instant mFrozenUntil;
    /// Neither sends to nor hears from other instances.
    bool mIsCut = false;
    /// Databases that it does not reach.
    std::set<std::string> mUnreached;
  };

  /// aCount instances, in turn in aDomains.
  PeerWorld(size_t aCount, std::vector<std::string> aDomains);
  ~PeerWorld();

  FakeUpstreams& Databases() { return *mDatabases; }
  Instance& At(const std::string& aName);
  Instance& At(size_t aIndex) { return *mInstances[aIndex]; }
  size_t Size() const { return mInstances.size(); }
  const HomePlan& Plan();
  /// An instance that is not home, in a failure domain if one is given.
  Instance& Outsider(const std::string& aDomain = {});
  /// The home that runs a statement of an instance now.
  std::string HomeOf(Instance& aInstance, const std::string& aStatement);

  void Run(Milliseconds aTime) { mDatabases->Run(aTime); }
  void Kill(const std::string& aName);
  void Freeze(const std::string& aName, Milliseconds aTime);
  /// Tells an instance which instances live.
  void SetFleet(Instance& aInstance,
                const std::vector<InstanceInfo>& aInstances);
  std::vector<InstanceInfo> Fleet() const;

  std::unique_ptr<FakeUpstreams::Caller> Connect(
    Instance& aInstance,
    Freshness aFreshness = Freshness::Latest);
  /// How many statements ran whose text ends so, over all databases.
  size_t RunsOf(const std::string& aText);

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
  bool MayRun(const Instance& aInstance) const;
  void Break(const std::shared_ptr<Link>& aLink);

  std::unique_ptr<FakeUpstreams> mDatabases;
  // Before the instances, whose channels still use them as they end.
  std::deque<Event> mEvents;
  std::vector<std::weak_ptr<Link>> mLinks;
  std::vector<std::unique_ptr<Instance>> mInstances;
  Instant mNextTick;
};

}
