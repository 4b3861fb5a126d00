#pragma once

#include "ControlState.h"
#include "LibPlatform/PlatformClient.h"
#include "PeerClient.h"

#include <QTimer>
#include <optional>
#include <set>

namespace papayaline {

/// Keeps the configuration and the membership in force. A few instances watch
/// the platform; every instance passes a newer version on along a tree of
/// bounded fan-out and compares with one peer at a time, so that an outage of
/// the platform or a broken watch delays nobody. Thread safety: control thread.
class ConfigurationDistributor : public QObject
{
  Q_OBJECT

public:
  ConfigurationDistributor(ControlState& aControlState,
                           PlatformClient& aPlatform,
                           PeerClient& aPeers);

  void Start();

  /// Handles a configuration that a peer pushed; answers the version in force.
  QJsonObject AcceptPush(const QJsonObject& aMessage);
  /// Answers a peer that compares: what this instance has that is newer.
  QJsonObject Compare(int64_t aPeerVersion, const QString& aPeerMembers);
  /// Announces that this instance is leaving.
  void AnnounceLeaving();

  bool IsWatcher() const { return mIsWatcher; }

private:
  void OnTick();
  void UpdateWatcher();
  void Fetch();
  void StartWatch();
  void PollInstances();
  void Offer(const QJsonObject& aSpec,
             int64_t aVersion,
             const std::string& aOrigin);
  QJsonObject ConfigurationMessage(const std::string& aOrigin) const;
  void PushToChildren(const std::string& aOrigin);
  void CompareWithPeer();
  void Merge(const std::string& aAddress, const QJsonObject& aAnswer);
  void AdoptInstances(std::vector<InstanceInfo> aInstances, Instant aSeenAt);
  std::vector<InstanceInfo> Peers() const;
  std::vector<std::string> PeerAddresses() const;
  QString MembersDigest() const;

  ControlState& mControlState;
  PlatformClient& mPlatform;
  PeerClient& mPeers;
  QTimer mTimer;
  bool mIsWatcher = false;
  bool mIsWatching = false;
  Instant mNextFetch;
  Instant mNextPoll;
  Instant mNextCompare;
  Duration mFetchBackoff;
  /// When the platform last confirmed the configuration, here or at a peer.
  Instant mConfirmedAt;
  std::optional<Instant> mInstancesSeenAt;
  std::set<std::string> mUnreachable;
  size_t mNextPeer = 0;
  bool mIsLeaving = false;
};

}
