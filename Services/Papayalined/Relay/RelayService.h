#pragma once

#include "CallerConnection.h"
#include "DirectoryController.h"
#include "DutyController.h"
#include "FleetController.h"
#include "LibConfiguration/RelaySettings.h"
#include "LibPeer/ForwardingRunner.h"
#include "PeerPort.h"

#include <QHttpServer>
#include <QSocketNotifier>
#include <QTimer>

namespace papayaline {

/// The formats and calls of the deployment's platform. Immutable after start.
struct RelayPlatform
{
  CallerProtocolFactory mCallerProtocol = nullptr;
  UpstreamProtocolFactory mUpstreamProtocol = nullptr;
  ObjectStore& mStore;
  PromotionService& mPromotion;
  const PlatformReader& mReader;
};

/// An instance that relays statements: wires the parts together, tells the load
/// balancer whether it is ready, and drains on SIGTERM. Thread safety: the
/// thread of its event loop.
class RelayService : public QObject
{
public:
  RelayService(RelaySettings aSettings, const RelayPlatform& aPlatform);

  /// Errors: Unreachable when an address can't be listened on, Internal.
  Result<Done> Start();

private:
  RelayEnvironment MakeEnvironment();
  InstanceInfo Self() const;
  void OnFleetChanged();
  Result<Done> WatchSignals();
  void AddRoutes();
  bool IsReady() const;
  QByteArray MetricsText() const;
  void LogSummary();
  void Tick();
  void Drain();
  void DrainStep();

  RelaySettings mSettings;
  RelayPlatform mPlatform;
  std::string mIncarnation;
  DutyController mDuty;
  RelayRouter mRouter;
  PeerPool mPeers;
  HomeDirectory mHomes;
  SharedObjectStore mSharedStore;
  FleetController mFleet;
  PeerServer mPeerServer;
  PeerPort mPeerPort;
  ForwardCounts mForwardCounts;
  DirectoryController mDirectory;
  CallerPort mCallers;
  QHttpServer mReadiness;
  QHttpServer mMetrics;
  QTimer mTick;
  QTimer mSummary;
  QTimer mPlacement;
  std::unique_ptr<QSocketNotifier> mSignals;
  /// When SIGTERM came.
  std::optional<Instant> mDrainingSince;
};

}
