#pragma once

#include "LibDecision/FleetView.h"
#include "LibDecision/QuotaMembership.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/UpstreamLink.h"

#include <QObject>
#include <QTimer>

namespace papayaline {

/// Registers this instance in the platform's store, renews its entry
/// periodically and lists the other instances, with which it shares the
/// connections to the databases and exchanges forwarded statements. Thread
/// safety: the thread of its event loop.
class FleetController : public QObject
{
public:
  FleetController(ObjectStore& aStore,
                  InstanceInfo aSelf,
                  std::string aIncarnation,
                  UpstreamLink::Clock aClock,
                  std::function<void()> aOnChange);

  void Start();

  /// The instances that renew their entries, this one included. Empty until a
  /// list has been received.
  const std::vector<InstanceInfo>& LiveInstances() const
  {
    return mView.LiveInstances();
  }
  /// Whether the first list included this instance, by an entry of an earlier
  /// incarnation.
  StartListing ListingAtStart() const
  {
    return mListingAtStart.value_or(StartListing::NotListed);
  }
  /// Announces this instance again, after the store was restored.
  void OnStoreRestored();

  /// Whether a live instance has its peer address at this host.
  bool IsKnownHost(const std::string& aHost) const;
  /// Lists the instances again, at most once a second. Called when an instance
  /// connects that is not listed.
  void RequestList();

private:
  /// Calls aOnDone after the store's answer, also after an error.
  void List(std::function<void()> aOnDone = {});
  void OnListed(const Result<ObjectBatch>& aBatch);
  /// Writes this instance's entry, and reads its revision first if necessary.
  void Announce();
  void FetchRevision();
  void WriteEntry();
  FleetEntry ParseEntry(const StoredObject& aObject) const;
  void OnWritten(const Result<StoredObject>& aObject);

  ObjectStore& mStore;
  InstanceInfo mSelf;
  QString mInstanceName;
  QString mIncarnation;
  UpstreamLink::Clock mClock;
  std::function<void()> mOnChange;
  FleetView mView;
  /// Unset before the first list.
  std::optional<StartListing> mListingAtStart;
  /// The revision of this instance's entry; 0 when it does not exist, nothing
  /// when unknown.
  std::optional<StoreRevision> mOwnRevision;
  int64_t mSequence = 0;
  Instant mLastListAt;
  QTimer mAnnounceTimer;
};

}
