#pragma once

#include "LibConfiguration/Settings.h"
#include "LibDecision/FailoverMachine.h"
#include "LibDecision/Placement.h"
#include "RcuCell.h"

#include <QObject>
#include <atomic>
#include <memory>
#include <mutex>

namespace papayaline {

/// The control state that the request path reads, published by
/// read-copy-update.
struct RoutingSnapshot
{
  std::shared_ptr<const Configuration> mConfiguration;
  unsigned mLiveInstances = 1;
};

/// The instances of the latest known list, including those that are leaving.
struct Membership
{
  std::vector<InstanceInfo> mInstances;
  uint64_t mRevision = 0;

  bool operator==(const Membership&) const = default;
};

enum class DrainState
{
  Serving,
  /// The readiness check fails; new connections are still accepted.
  ShutdownAnnounced,
  /// Caller connections are closed at a request boundary.
  Draining,
};

/// The control state that the controllers share. Each entry has one owner,
/// which publishes every change as a new immutable value. Thread safety: all
/// methods may be called from any thread; signals are emitted on the publishing
/// thread.
class ControlState : public QObject
{
  Q_OBJECT

public:
  explicit ControlState(Settings aSettings);

  const Settings& GetSettings() const { return mSettings; }

  std::shared_ptr<const Configuration> GetConfiguration() const;
  /// Publishes the configuration and returns true if its version is higher than
  /// the present one; otherwise changes nothing and returns false.
  bool ApplyConfigurationIfNewer(Configuration aConfiguration);

  Membership GetMembership() const;
  void SetMembership(std::vector<InstanceInfo> aInstances);

  void SetReports(const std::string& aGroup,
                  std::vector<UpstreamReport> aReports);
  std::vector<UpstreamReport> Reports(const std::string& aGroup) const;

  DrainState GetDrainState() const { return mDrainState.load(); }
  void SetDrainState(DrainState aState);

  /// The control state for the request path. Precondition: the calling thread
  /// has an RcuReader.
  const RcuCell<RoutingSnapshot>& Routing() const { return mRouting; }

Q_SIGNALS:
  void ConfigurationChanged();
  void MembershipChanged();
  void DrainStateChanged();

private:
  void PublishRouting();

  const Settings mSettings;
  mutable std::mutex mMutex;
  std::shared_ptr<const Configuration> mConfiguration;
  Membership mMembership;
  std::map<std::string, std::vector<UpstreamReport>> mReports;
  std::atomic<DrainState> mDrainState{ DrainState::Serving };
  std::mutex mPublishMutex;
  RcuCell<RoutingSnapshot> mRouting;
};

}
