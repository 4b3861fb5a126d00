#pragma once

#include "LibDecision/FleetView.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/UpstreamLink.h"

#include <QObject>

namespace papayaline {

/// Announces this instance in the platform's store and counts the others, so
/// that the connections of a database can be divided. Thread safety: the thread
/// of its event loop.
// FIXME: In an outage of the store of three intervals all entries count as gone
// and the number as unknown. The last count should hold until the next list.
class FleetController : public QObject
{
public:
  FleetController(ObjectStore& aStore,
                  std::string aInstance,
                  std::string aIncarnation,
                  UpstreamLink::Clock aClock);

  void Start();

  /// 0 while nothing is known.
  unsigned Count() const { return mView.Count(mClock()); }

private:
  void List();
  void Announce();
  void Write();
  void OnWritten(const Result<StoredObject>& aObject);

  ObjectStore& mStore;
  QString mInstance;
  QString mIncarnation;
  UpstreamLink::Clock mClock;
  FleetView mView;
  /// The revision of the own entry; nothing while it is not known.
  std::optional<int64_t> mRevision;
  int64_t mSequence = 0;
};

}
