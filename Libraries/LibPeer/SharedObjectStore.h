#pragma once

#include "LibDecision/WatchPlan.h"
#include "LibPeer/ObjectMirror.h"
#include "LibPeer/PeerPool.h"

namespace papayaline {

/// The platform's store, with watches and stale lists that instances share: a
/// few follow the store and answer the others. All other calls go to the store.
/// An instance that gets no answer from any of them follows the store itself.
/// Thread safety: one thread.
class SharedObjectStore : public ObjectStore
{
public:
  using Clock = std::function<Instant()>;
  using ObjectsResponder = std::function<void(const ObjectsAnswer&)>;

  SharedObjectStore(ObjectStore& aStore,
                    PeerPool& aPeers,
                    InstanceInfo aSelf,
                    Clock aClock,
                    PeerPool::LogSink aLog);

  /// The instances that live, this one included.
  void SetFleet(const std::vector<InstanceInfo>& aInstances);

  void List(const QString& aKind, BatchHandler aHandler) override;
  void ListStale(const QString& aKind, BatchHandler aHandler) override;
  void Get(const QString& aKind,
           const QString& aName,
           ObjectHandler aHandler) override;
  void Put(const QString& aKind,
           const QString& aName,
           int64_t aRevision,
           const QJsonValue& aContent,
           ObjectHandler aHandler) override;
  void Watch(const QString& aKind,
             int64_t aAfter,
             int aWaitMs,
             BatchHandler aHandler) override;

  /// Answers another instance's watch, once, possibly within the call.
  void Serve(const WatchObjects& aWatch, ObjectsResponder aRespond);
  /// Must run at least each 20 ms.
  void Tick();

private:
  struct Waiting
  {
    WatchObjects mWatch;
    Instant mUntil;
    ObjectsResponder mRespond;
  };
  struct Kind
  {
    ObjectMirror mMirror;
    /// Whether it follows the store itself; what an instance has from another
    /// is not passed on, so that its age stays bounded.
    bool mIsDirect = false;
    std::string mSource;
    std::vector<Waiting> mWaiting;
  };

  void WatchFrom(const QString& aKind,
                 int64_t aAfter,
                 int aWaitMs,
                 std::vector<std::string> aSources,
                 const BatchHandler& aHandler);
  void ListFrom(const QString& aKind,
                std::vector<std::string> aSources,
                const BatchHandler& aHandler);
  void WatchStore(const QString& aKind,
                  int64_t aAfter,
                  int aWaitMs,
                  const BatchHandler& aHandler);
  std::vector<std::string> UsableSources() const;
  void NoteSource(const QString& aKind, const std::string& aSource);
  ObjectsAnswer AnswerFor(const Kind& aKind, const WatchObjects& aWatch) const;
  void AnswerWaiting(Kind& aKind);

  ObjectStore& mStore;
  PeerPool& mPeers;
  InstanceInfo mSelf;
  Clock mClock;
  PeerPool::LogSink mLog;
  WatchPlan mPlan;
  /// Until when the store counts as out of reach for this instance.
  Instant mStoreAvoidedUntil;
  /// Sources that gave no answer, and until when they are passed over.
  std::map<std::string, Instant> mAvoided;
  std::map<QString, Kind> mKinds;
};

}
