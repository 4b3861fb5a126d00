#include "ConfigurationDistributor.h"

#include "Clock.h"
#include "LibCore/EventRing.h"
#include "Log.h"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr auto kTickInterval = 100ms;
constexpr auto kPollInterval = 1s;
constexpr auto kSyncInterval = 1s;
constexpr Duration kMinFetchBackoff = 500ms;
constexpr Duration kMaxFetchBackoff = 5s;
/// An instance watches the platform itself if neither it nor a peer has heard
/// from the platform for this long.
constexpr auto kConfirmationTimeout = 10s;
constexpr size_t kWatcherCount = 3;
constexpr size_t kFanOut = 8;
constexpr auto kConfigurationKind = "configurations";

int64_t
MillisecondsSince(Instant aInstant)
{
  return std::chrono::duration_cast<Milliseconds>(Now() - aInstant).count();
}

}

ConfigurationDistributor::ConfigurationDistributor(ControlState& aControlState,
                                                   PlatformClient& aPlatform,
                                                   PeerClient& aPeers)
  : mControlState(aControlState)
  , mPlatform(aPlatform)
  , mPeers(aPeers)
  , mFetchBackoff(kMinFetchBackoff)
  , mConfirmedAt(Now())
{
  connect(&mTimer, &QTimer::timeout, this, [this] { OnTick(); });
}

void
ConfigurationDistributor::Start()
{
  PollInstances();
  Fetch();
  mTimer.start(kTickInterval);
}

void
ConfigurationDistributor::OnTick()
{
  const auto now = Now();
  UpdateWatcher();
  const bool isUnconfigured = mControlState.GetConfiguration()->mVersion == 0;
  if ((mIsWatcher || isUnconfigured) && !mIsWatching && now >= mNextFetch) {
    Fetch();
  }
  if ((mIsWatcher || !mInstancesReadAt) && now >= mNextPoll) {
    PollInstances();
  }
  if (now >= mNextSync) {
    mNextSync = now + kSyncInterval;
    SyncWithPeer();
  }
}

void
ConfigurationDistributor::UpdateWatcher()
{
  const auto& settings = mControlState.GetSettings();
  auto order = RendezvousOrder("watch/" + settings.mConfigurationName,
                               mControlState.GetMembership().mInstances);
  std::erase_if(order, [&](const auto& it) {
    return it.mIsLeaving || mUnreachablePeers.contains(it.mName);
  });
  order.resize(std::min(order.size(), kWatcherCount));
  const bool isChosen =
    std::ranges::find(order, settings.mInstance, &InstanceInfo::mName) !=
    order.end();
  const bool isConfirmationOverdue =
    Now() - mConfirmedAt > kConfirmationTimeout;
  const bool wasWatcher =
    std::exchange(mIsWatcher, isChosen || isConfirmationOverdue);
  if (wasWatcher && !mIsWatcher) {
    mPlatform.StopWatch();
    mIsWatching = false;
  }
}

void
ConfigurationDistributor::Fetch()
{
  mNextFetch = Now() + mFetchBackoff;
  mFetchBackoff = std::min(mFetchBackoff * 2, kMaxFetchBackoff);
  const auto name =
    QString::fromStdString(mControlState.GetSettings().mConfigurationName);
  mPlatform.Get(
    kConfigurationKind, name, [this](const Result<PlatformObject>& aObject) {
      if (aObject.IsError()) {
        return;
      }
      mFetchBackoff = kMinFetchBackoff;
      mConfirmedAt = Now();
      ApplyConfiguration(aObject.Value().mSpec,
                         aObject.Value().mVersion,
                         mControlState.GetSettings().mInstance);
      if (mIsWatcher && !mIsWatching) {
        StartWatch();
      }
    });
}

void
ConfigurationDistributor::StartWatch()
{
  mIsWatching = true;
  const auto name =
    QString::fromStdString(mControlState.GetSettings().mConfigurationName);
  mPlatform.Watch(
    kConfigurationKind,
    mControlState.GetConfiguration()->mVersion,
    [this, name](const PlatformObject& aObject) {
      mConfirmedAt = Now();
      if (aObject.mName == name) {
        ApplyConfiguration(aObject.mSpec,
                           aObject.mVersion,
                           mControlState.GetSettings().mInstance);
      }
    },
    [this](const Error&) {
      mIsWatching = false;
      mNextFetch = Now() + mFetchBackoff;
    });
}

void
ConfigurationDistributor::PollInstances()
{
  mNextPoll = Now() + kPollInterval;
  mPlatform.ListInstances(
    [this](const Result<std::vector<InstanceInfo>>& aInstances) {
      if (!aInstances.IsError()) {
        mConfirmedAt = Now();
        ApplyInstances(aInstances.Value(), Now());
      }
    });
}

/// Replaces the entry of this instance, or adds it, because the list may be out
/// of date.
void
ConfigurationDistributor::ApplyInstances(std::vector<InstanceInfo> aInstances,
                                         Instant aReadAt)
{
  if (mInstancesReadAt && aReadAt <= *mInstancesReadAt) {
    return;
  }
  mInstancesReadAt = aReadAt;
  const auto& settings = mControlState.GetSettings();
  std::erase_if(aInstances,
                [&](const auto& it) { return it.mName == settings.mInstance; });
  aInstances.push_back({ settings.mInstance,
                         settings.mFailureDomain,
                         settings.mHttpAddress.ToString(),
                         mIsLeaving });
  std::ranges::sort(aInstances);
  mControlState.SetMembership(std::move(aInstances));
}

void
ConfigurationDistributor::ApplyConfiguration(const QJsonObject& aSpec,
                                             int64_t aVersion,
                                             const std::string& aOrigin)
{
  auto configuration = Configuration::FromJson(aSpec, aVersion);
  if (configuration.IsError()) {
    LoggerFor("configuration")
      ->warn(
        "rejected version {}: {}", aVersion, configuration.GetError().mMessage);
    return;
  }
  if (!mControlState.ApplyConfigurationIfNewer(configuration.Take())) {
    return;
  }
  LoggerFor("configuration")->info("version {} is in force", aVersion);
  EventRing::Instance().Record(
    "configuration", "in-force", {}, 0, "version " + QString::number(aVersion));
  PushToChildren(aOrigin);
}

std::vector<InstanceInfo>
ConfigurationDistributor::Peers() const
{
  auto peers = mControlState.GetMembership().mInstances;
  std::erase_if(peers, [&](const auto& it) {
    return it.mName == mControlState.GetSettings().mInstance;
  });
  return peers;
}

QJsonObject
ConfigurationDistributor::ConfigurationMessage(const std::string& aOrigin) const
{
  const auto configuration = mControlState.GetConfiguration();
  return { { "version", static_cast<qint64>(configuration->mVersion) },
           { "origin", QString::fromStdString(aOrigin) },
           { "spec", configuration->ToJson() } };
}

/// Forwards the configuration to this instance's children in the distribution
/// tree. The origin is the root; the other instances follow in a rendezvous
/// order keyed by version and origin, so that the forwarding load moves to
/// other instances with each version.
void
ConfigurationDistributor::PushToChildren(const std::string& aOrigin)
{
  const auto configuration = mControlState.GetConfiguration();
  const auto& self = mControlState.GetSettings().mInstance;
  auto order =
    RendezvousOrder(std::to_string(configuration->mVersion) + aOrigin,
                    mControlState.GetMembership().mInstances);
  std::stable_partition(order.begin(), order.end(), [&](const auto& it) {
    return it.mName == aOrigin;
  });
  const auto position = static_cast<size_t>(
    std::ranges::find(order, self, &InstanceInfo::mName) - order.begin());
  const auto message = ConfigurationMessage(aOrigin);
  for (size_t it = position * kFanOut + 1;
       it <= position * kFanOut + kFanOut && it < order.size();
       ++it) {
    mPeers.Post(order[it].mAddress,
                "/v1/peer/configuration",
                message,
                [](const Result<QJsonObject>&) {});
  }
}

QJsonObject
ConfigurationDistributor::HandlePushedConfiguration(const QJsonObject& aMessage)
{
  ObserveHybridTime(aMessage);
  mConfirmedAt = Now();
  ApplyConfiguration(aMessage["spec"].toObject(),
                     aMessage["version"].toInteger(),
                     aMessage["origin"].toString().toStdString());
  return WithHybridTime(
    { { "version",
        static_cast<qint64>(mControlState.GetConfiguration()->mVersion) } });
}

QString
ConfigurationDistributor::MembershipDigest() const
{
  const auto json =
    QJsonDocument(InstancesToJson(mControlState.GetMembership().mInstances))
      .toJson(QJsonDocument::Compact);
  return QCryptographicHash::hash(json, QCryptographicHash::Sha1)
    .toHex()
    .left(16);
}

QJsonObject
ConfigurationDistributor::HandleStateRequest(
  int64_t aPeerVersion,
  const QString& aPeerMembershipDigest)
{
  const auto configuration = mControlState.GetConfiguration();
  QJsonObject answer{
    { "version", static_cast<qint64>(configuration->mVersion) },
    { "confirmedAgoMs", static_cast<qint64>(MillisecondsSince(mConfirmedAt)) },
  };
  if (configuration->mVersion > aPeerVersion) {
    answer["spec"] = configuration->ToJson();
  }
  if (mInstancesReadAt) {
    answer["instancesAgoMs"] =
      static_cast<qint64>(MillisecondsSince(*mInstancesReadAt));
    if (aPeerMembershipDigest != MembershipDigest()) {
      answer["instances"] =
        InstancesToJson(mControlState.GetMembership().mInstances);
    }
  }
  return WithHybridTime(answer);
}

std::vector<std::string>
ConfigurationDistributor::PeerAddresses() const
{
  std::vector<std::string> addresses;
  std::ranges::transform(
    Peers(), std::back_inserter(addresses), &InstanceInfo::mAddress);
  if (addresses.empty()) {
    // Until the first instance list arrives, the neighbours in the settings
    // are the only known addresses.
    std::ranges::transform(mControlState.GetSettings().mNeighbours,
                           std::back_inserter(addresses),
                           &Address::ToString);
  }
  return addresses;
}

void
ConfigurationDistributor::SyncWithPeer()
{
  const auto addresses = PeerAddresses();
  if (addresses.empty()) {
    return;
  }
  const auto address = addresses[mNextPeer++ % addresses.size()];
  const auto path = QString("/v1/peer/state?version=%1&members=%2")
                      .arg(mControlState.GetConfiguration()->mVersion)
                      .arg(MembershipDigest());
  mPeers.Get(
    address, path, [this, address](const Result<QJsonObject>& aAnswer) {
      const auto peers = Peers();
      const auto peer =
        std::ranges::find(peers, address, &InstanceInfo::mAddress);
      if (aAnswer.IsError()) {
        if (peer != peers.end()) {
          mUnreachablePeers.insert(peer->mName);
        }
        return;
      }
      if (peer != peers.end()) {
        mUnreachablePeers.erase(peer->mName);
      }
      MergePeerState(address, aAnswer.Value());
    });
}

void
ConfigurationDistributor::MergePeerState(const std::string& aAddress,
                                         const QJsonObject& aAnswer)
{
  const auto now = Now();
  mConfirmedAt = std::max(
    mConfirmedAt, now - Milliseconds(aAnswer["confirmedAgoMs"].toInteger()));
  if (aAnswer.contains("spec")) {
    ApplyConfiguration(aAnswer["spec"].toObject(),
                       aAnswer["version"].toInteger(),
                       mControlState.GetSettings().mInstance);
  }
  if (aAnswer.contains("instances")) {
    ApplyInstances(InstancesFromJson(aAnswer["instances"].toArray()),
                   now - Milliseconds(aAnswer["instancesAgoMs"].toInteger()));
  }
  const auto ownVersion = mControlState.GetConfiguration()->mVersion;
  if (aAnswer["version"].toInteger() < ownVersion) {
    const auto message =
      ConfigurationMessage(mControlState.GetSettings().mInstance);
    mPeers.Post(aAddress,
                "/v1/peer/configuration",
                message,
                [](const Result<QJsonObject>&) {});
  }
}

void
ConfigurationDistributor::AnnounceShutdown()
{
  mIsLeaving = true;
  ApplyInstances(mControlState.GetMembership().mInstances, Now());
}

}
