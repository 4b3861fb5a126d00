#pragma once

#include "ControlState.h"
#include "LibPlatform/PlatformClient.h"
#include "PeerClient.h"
#include "WorkerPool.h"

#include <QTimer>

namespace papayaline {

/// Runs one FailoverMachine per group: passes status reports, command answers
/// and timer ticks to it and carries out the actions that it returns.
/// Thread safety: control thread.
class FailoverController : public QObject
{
  Q_OBJECT

public:
  FailoverController(ControlState& aControlState,
                     WorkerPool& aWorkers,
                     PlatformClient& aPlatform,
                     PeerClient& aPeers);

  /// This instance's view of the group's primary, as peers request it. An
  /// unknown group gives an empty view.
  PrimaryView View(const std::string& aGroup) const;

  /// Starts a planned change of the group's primary. Errors: UnknownGroup;
  /// NotFound if this instance is not a failover coordinator of the group.
  Result<Done> RequestSwitchover(const std::string& aGroup);

  /// This instance's index among the failover coordinators of the group, or
  /// none if it is not one of them.
  std::optional<unsigned> CoordinatorIndex(const std::string& aGroup) const;

private:
  void AttachEngine(GroupEngine* aEngine);
  void Configure();
  FailoverIdentity MakeIdentity(const GroupConfiguration& aGroup) const;
  void UpdateProbeRate(const std::string& aGroup);
  void HandleEvent(const std::string& aGroup, const FailoverEvent& aEvent);
  void Perform(const std::string& aGroup, const FailoverAction& aAction);
  void Send(const std::string& aGroup, const SendCommand& aCommand);
  void FetchPeerViews(const std::string& aGroup);
  void Publish(const std::string& aGroup,
               const PublishPrimary& aPrimary,
               int aRetriesLeft);

  ControlState& mControlState;
  WorkerPool& mWorkers;
  PlatformClient& mPlatform;
  PeerClient& mPeers;
  const std::string mIncarnation;
  QTimer mTimer;
  std::map<std::string, FailoverMachine> mMachines;
};

}
