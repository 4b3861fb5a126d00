#pragma once

#include "ControlState.h"
#include "LibPlatform/PlatformClient.h"
#include "PeerClient.h"

#include <QTimer>
#include <optional>
#include <set>

namespace papayaline {

/// Distributes the configuration and the membership to all instances. A few
/// instances watch the platform. Every instance forwards a newer version along
/// a tree of bounded fan-out and synchronizes its state with one peer at a
/// time, so that an outage of the platform or a broken watch delays no
/// instance. Thread safety: control thread.
class ConfigurationDistributor : public QObject
{
  Q_OBJECT

public:
  ConfigurationDistributor(ControlState& aControlState,
                           PlatformClient& aPlatform,
                           PeerClient& aPeers);

  void Start();

  /// Applies a configuration that a peer pushed if it is newer. Returns the
  /// answer to the peer, with the version in force.
  QJsonObject HandlePushedConfiguration(const QJsonObject& aMessage);
  /// Returns the answer to a peer's state request: the configuration if it is
  /// newer than the peer's version, and the instances if their digest differs.
  QJsonObject HandleStateRequest(int64_t aPeerVersion,
                                 const QString& aPeerMembershipDigest);
  /// Marks this instance as leaving in the membership that peers receive.
  void AnnounceShutdown();

  bool IsWatcher() const { return mIsWatcher; }

private:
  void OnTick();
  void UpdateWatcher();
  void Fetch();
  void StartWatch();
  void PollInstances();
  void ApplyConfiguration(const QJsonObject& aSpec,
                          int64_t aVersion,
                          const std::string& aOrigin);
  QJsonObject ConfigurationMessage(const std::string& aOrigin) const;
  void PushToChildren(const std::string& aOrigin);
  void SyncWithPeer();
  void MergePeerState(const std::string& aAddress, const QJsonObject& aAnswer);
  void ApplyInstances(std::vector<InstanceInfo> aInstances, Instant aReadAt);
  std::vector<InstanceInfo> Peers() const;
  std::vector<std::string> PeerAddresses() const;
  QString MembershipDigest() const;

  ControlState& mControlState;
  PlatformClient& mPlatform;
  PeerClient& mPeers;
  QTimer mTimer;
  bool mIsWatcher = false;
  bool mIsWatching = false;
  Instant mNextFetch;
  Instant mNextPoll;
  Instant mNextSync;
  Duration mFetchBackoff;
  /// When the platform last confirmed the configuration to this instance or to
  /// a peer.
  Instant mConfirmedAt;
  std::optional<Instant> mInstancesReadAt;
  std::set<std::string> mUnreachablePeers;
  size_t mNextPeer = 0;
  bool mIsLeaving = false;
};

}
