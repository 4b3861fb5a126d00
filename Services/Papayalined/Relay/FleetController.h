#pragma once

#include "LibDecision/FleetView.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/UpstreamLink.h"

#include <QObject>

namespace papayaline {

/// Announces this instance in the platform's store and lists the others, which
/// share the connections and forward statements to each other. Thread safety:
/// the thread of its event loop.
class FleetController : public QObject
{
public:
  FleetController(ObjectStore& aStore,
                  InstanceInfo aSelf,
                  std::string aIncarnation,
                  UpstreamLink::Clock aClock,
                  std::function<void()> aOnChange);

  void Start();

  /// Empty while nothing is known.
  const std::vector<InstanceInfo>& Live() const { return mView.Live(); }
  /// Whether an instance is listed at this host.
  bool IsKnownHost(const std::string& aHost) const;
  /// Lists again, since an instance turned up that is not listed.
  void RequestList();

private:
  /// Calls aOnDone after the answer, whatever it is.
  void List(std::function<void()> aOnDone = {});
  void TakeList(const Result<ObjectBatch>& aBatch);
  void Announce();
  void ReadRevision();
  void Write();
  FleetEntry ReadEntry(const StoredObject& aObject) const;
  void OnWritten(const Result<StoredObject>& aObject);

  ObjectStore& mStore;
  InstanceInfo mSelf;
  QString mInstance;
  QString mIncarnation;
  UpstreamLink::Clock mClock;
  std::function<void()> mOnChange;
  FleetView mView;
  /// The revision of the own entry; nothing while it is not known.
  std::optional<int64_t> mRevision;
  int64_t mSequence = 0;
  Instant mLastListAt;
};

}
