#pragma once

#include "LibDecision/WatchPlan.h"
#include "LibPeer/ObjectMirror.h"
#include "LibPeer/PeerPool.h"

#include <algorithm>

namespace papayaline {

/// The platform's store with watches and stale lists shared between instances:
/// a few watchers watch the store and answer the others. All other calls go to
/// the store. An instance that gets no answer from any watcher watches the
/// store itself. Thread safety: one thread.
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

  /// Sets the live instances, including this one.
  void SetFleet(const std::vector<InstanceInfo>& aInstances);

  /// Includes the eras in answers of other instances.
  uint64_t Era() const override { return std::max(mStore.Era(), mPeerEra); }
  /// Lists the objects at the store, or as a watcher knows them when the store
  /// does not answer this instance.
  void List(const QString& aKind, BatchHandler aHandler) override;
  void ListStale(const QString& aKind, BatchHandler aHandler) override;
  void Get(const QString& aKind,
           const QString& aName,
           ObjectHandler aHandler) override;
  void Put(const QString& aKind,
           const QString& aName,
           const StoreRevision& aRevision,
           const QJsonValue& aContent,
           ObjectHandler aHandler) override;
  void Watch(const QString& aKind,
             const StoreRevision& aAfter,
             int aWaitMs,
             BatchHandler aHandler) override;

  using ConfirmationHandler = std::function<void(Instant)>;
  /// Limits the age of the objects of one kind: this instance then asks other
  /// instances for newer confirmations too. aOnConfirmed receives the time at
  /// or after which the store confirmed, directly or through other instances,
  /// all objects that were passed on so far. Precondition: not called before.
  void LimitAge(const QString& aKind,
                Duration aLimit,
                ConfirmationHandler aOnConfirmed);

  /// Answers the watch of another instance. aRespond is called once, possibly
  /// before ServeWatch returns.
  void ServeWatch(const WatchObjects& aWatch, ObjectsResponder aRespond);
  /// Must run at least each 20 ms.
  void Tick();

private:
  struct PendingWatch
  {
    WatchObjects mWatch;
    Instant mArrivedAt;
    Instant mDeadline;
    ObjectsResponder mRespond;
  };
  struct Kind
  {
    ObjectMirror mMirror;
    /// Whether the objects come from the store itself. Objects that come from
    /// another instance are not served to a third one, which bounds their age.
    bool mIsFromStore = false;
    std::string mSource;
    std::vector<PendingWatch> mPendingWatches;
    /// When the store confirmed the mirror, at the earliest.
    std::optional<Instant> mConfirmedAt;
    /// The revision of the last watch here: changes up to it were passed on.
    /// Unset while the objects are listed.
    std::optional<StoreRevision> mWatchedRevision;
    /// Whether the last answer of the store held changes.
    bool mHasChanged = true;
  };
  /// The kind whose age is limited.
  struct AgeLimit
  {
    QString mKind;
    Duration mLimit;
    ConfirmationHandler mOnConfirmed;
    bool mIsAsking = false;
    Instant mNextAskAt;
    /// Turns through the sources.
    size_t mAskCount = 0;
  };

  bool HasObjects(const Result<ObjectsAnswer>& aAnswer, uint64_t aMinEra);
  void WatchFrom(const QString& aKind,
                 const StoreRevision& aAfter,
                 int aWaitMs,
                 std::vector<std::string> aSources,
                 const BatchHandler& aHandler);
  /// Tries the sources from the last to the first, then calls aOnUnavailable.
  /// Answers older than aMaxAge or of an era before aMinEra are not used.
  void ListFrom(const QString& aKind,
                std::vector<std::string> aSources,
                Milliseconds aMaxAge,
                uint64_t aMinEra,
                const BatchHandler& aHandler,
                const std::function<void()>& aOnUnavailable);
  void WatchStore(const QString& aKind,
                  const StoreRevision& aAfter,
                  int aWaitMs,
                  const BatchHandler& aHandler);
  std::vector<std::string> SourcesByPreference() const;
  void SetSource(const QString& aKind, const std::string& aSource);
  ObjectsAnswer MakeAnswer(const Kind& aKind,
                           const WatchObjects& aWatch,
                           Instant aArrivedAt) const;
  /// Whether this instance knows a considerably newer confirmation than the one
  /// that sent a watch.
  bool HasNewerConfirmation(const Kind& aKind,
                            const WatchObjects& aWatch,
                            Instant aArrivedAt) const;
  void AnswerPendingWatches(Kind& aKind);

  bool IsAgeLimited(const QString& aKind) const
  {
    return mAgeLimit && mAgeLimit->mKind == aKind;
  }
  /// Records that the store confirmed the mirror of a kind in aEra.
  void Confirm(const QString& aKind, uint64_t aEra, Instant aConfirmedAt);
  void ReportConfirmation(const QString& aKind);
  Milliseconds KnownAge(const QString& aKind);
  int LimitWait(const QString& aKind, int aWaitMs);
  void AskForConfirmation();
  void OnConfirmationAnswer(const StoreRevision& aRevision,
                            Instant aSentAt,
                            const Result<ObjectsAnswer>& aAnswer);

  ObjectStore& mStore;
  PeerPool& mPeers;
  InstanceInfo mSelf;
  Clock mClock;
  PeerPool::LogSink mLog;
  WatchPlan mPlan;
  std::optional<AgeLimit> mAgeLimit;
  /// The instances to ask for newer confirmations.
  std::vector<std::string> mConfirmationSources;
  /// Until when other instances are asked first, after the store failed.
  Instant mStoreSkippedUntil;
  /// Instances that did not answer, and until when they are not asked again.
  std::map<std::string, Instant> mSkippedUntil;
  std::map<QString, Kind> mKinds;
  /// The highest era in an answer of another instance.
  uint64_t mPeerEra = 0;
};

}
