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

/// What the request path needs of the control state, published by
/// read-copy-update.
struct RoutingSnapshot
{
  std::shared_ptr<const Configuration> mConfiguration;
  unsigned mLiveInstances = 1;
};

/// The instances that are believed to live.
struct Membership
{
  std::vector<InstanceInfo> mInstances;
  uint64_t mRevision = 0;

  bool operator==(const Membership&) const = default;
};

enum class DrainState
{
  Serving,
  /// Readiness is off; new connections are still accepted.
  ShutdownAnnounced,
  /// Idle callers are let go at a request boundary.
  Draining,
};

/// The entries that controllers read and write. Each entry is immutable once
/// published and has one owner. Thread safety: all methods, any thread; the
/// signals are emitted on the publishing thread.
class ControlState : public QObject
{
  Q_OBJECT

public:
  explicit ControlState(Settings aSettings);

  const Settings& GetSettings() const { return mSettings; }

  std::shared_ptr<const Configuration> GetConfiguration() const;
  /// Refuses a version that is not higher than the present one.
  bool ApplyConfigurationIfNewer(Configuration aConfiguration);

  Membership GetMembership() const;
  void SetMembership(std::vector<InstanceInfo> aInstances);

  void SetReports(const std::string& aGroup,
                  std::vector<UpstreamReport> aReports);
  std::vector<UpstreamReport> Reports(const std::string& aGroup) const;

  DrainState GetDrainState() const { return mDrainState.load(); }
  void SetDrainState(DrainState aState);

  /// The request path's view. Precondition: the thread is an RcuReader.
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
