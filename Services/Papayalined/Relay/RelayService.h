#pragma once

#include "CallerConnection.h"
#include "DirectoryController.h"
#include "FleetController.h"
#include "LibConfiguration/RelaySettings.h"
#include "LibPeer/ForwardingRunner.h"
#include "LibPeer/QuotaExchange.h"
#include "LibRelay/DrainPlan.h"
#include "PeerListener.h"
#include "PromotionLeaseController.h"

#include <QHttpServer>
#include <QSocketNotifier>
#include <QTimer>

namespace papayaline {

/// The adapters to the deployment's platform: protocols, store, promotion API
/// and document formats. Immutable after start.
struct RelayPlatform
{
  CallerProtocolFactory mCallerProtocol = nullptr;
  UpstreamProtocolFactory mUpstreamProtocol = nullptr;
  ObjectStore& mStore;
  PromotionService& mPromotion;
  const PlatformDocumentParser& mReader;
};

/// An instance that relays statements between callers and databases. Connects
/// the components, serves readiness checks and metrics over HTTP, and drains on
/// SIGTERM or SIGINT. Thread safety: the thread of its event loop.
class RelayService : public QObject
{
public:
  RelayService(RelaySettings aSettings, const RelayPlatform& aPlatform);

  /// Errors: Unreachable when an address can't be listened on, Internal.
  Result<Done> Start();

private:
  RelayEnvironment MakeEnvironment();
  std::unique_ptr<QuotaExchange> MakeQuota();
  InstanceInfo DescribeSelf() const;
  void OnFleetChanged();
  Result<Done> InstallSignalHandlers();
  void AddHttpRoutes();
  bool IsReady() const;
  QByteArray FormatMetrics() const;
  void LogSummary();
  void TickQuota();
  void Tick();
  /// Handles a restore of the store that any answer told of.
  void ObserveStoreEra();
  void StartDrain();
  /// Does what the phase of the drain plan asks for, and exits when nothing is
  /// left or the plan is over.
  void ContinueDrain();

  RelaySettings mSettings;
  RelayPlatform mPlatform;
  std::string mIncarnation;
  PromotionLeaseController mLeaseController;
  PeerPool mPeers;
  /// Null where quotas are not enforced.
  std::unique_ptr<QuotaExchange> mQuota;
  RelayRouter mRouter;
  HomeDirectory mHomes;
  SharedObjectStore mSharedStore;
  FleetController mFleet;
  PeerServer mPeerServer;
  PeerListener mPeerListener;
  ForwardCounts mForwardCounts;
  DirectoryController mDirectory;
  RelayCallerListener mCallerListener;
  QHttpServer mReadinessServer;
  QHttpServer mMetricsServer;
  QTimer mTickTimer;
  QTimer mSummaryTimer;
  QTimer mPlacementTimer;
  std::unique_ptr<QSocketNotifier> mSignalNotifier;
  /// When the signal to stop arrived.
  std::optional<Instant> mDrainingSince;
  DrainPlan mDrainPlan;
  /// Statements that were answered because the process ends.
  size_t mAbandoned = 0;
  /// The era of the store at the last tick.
  uint64_t mStoreEra = 0;
};

}
