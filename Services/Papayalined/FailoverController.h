#pragma once

#include "ControlState.h"
#include "LibPlatform/PlatformClient.h"
#include "PeerClient.h"
#include "WorkerPool.h"

#include <QTimer>

namespace papayaline {

/// Runs one FailoverMachine a group: feeds it reports, commands' answers and
/// time, and carries out its actions. Thread safety: control thread.
class FailoverController : public QObject
{
  Q_OBJECT

public:
  FailoverController(ControlState& aControlState,
                     WorkerPool& aWorkers,
                     PlatformClient& aPlatform,
                     PeerClient& aPeers);

  /// What this instance sees of a group's primary, for a peer.
  PrimaryView View(const std::string& aGroup) const;

  /// Requests a planned change of primary. Errors: UnknownGroup, NotFound when
  /// this instance may not replace the group's primary.
  Result<Done> RequestSwitchover(const std::string& aGroup);

  /// This instance's rank among those that may replace the group's primary.
  std::optional<unsigned> HolderIndex(const std::string& aGroup) const;

private:
  void AttachEngine(GroupEngine* aEngine);
  void Configure();
  FailoverIdentity IdentityOf(const GroupConfiguration& aGroup) const;
  void UpdatePace(const std::string& aGroup);
  void Feed(const std::string& aGroup, const FailoverEvent& aEvent);
  void Perform(const std::string& aGroup, const FailoverAction& aAction);
  void Send(const std::string& aGroup, const SendCommand& aCommand);
  void AskViews(const std::string& aGroup);
  void Publish(const std::string& aGroup,
               const PublishPrimary& aPrimary,
               int aTriesLeft);

  ControlState& mControlState;
  WorkerPool& mWorkers;
  PlatformClient& mPlatform;
  PeerClient& mPeers;
  const std::string mIncarnation;
  QTimer mTimer;
  std::map<std::string, FailoverMachine> mMachines;
};

}
