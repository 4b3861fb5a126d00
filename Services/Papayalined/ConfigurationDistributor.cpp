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

constexpr auto kTick = 100ms;
constexpr auto kPollInterval = 1s;
constexpr auto kCompareInterval = 1s;
constexpr Duration kMinFetchBackoff = 500ms;
constexpr Duration kMaxFetchBackoff = 5s;
/// Without news of the platform for this long an instance watches itself.
constexpr auto kConfirmationTimeout = 10s;
constexpr size_t kWatchers = 3;
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
  mTimer.start(kTick);
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
  if ((mIsWatcher || !mInstancesSeenAt) && now >= mNextPoll) {
    PollInstances();
  }
  if (now >= mNextCompare) {
    mNextCompare = now + kCompareInterval;
    CompareWithPeer();
  }
}

void
ConfigurationDistributor::UpdateWatcher()
{
  const auto& settings = mControlState.GetSettings();
  auto order = RendezvousOrder("watch/" + settings.mConfigurationName,
                               mControlState.GetMembership().mInstances);
  std::erase_if(order, [&](const auto& it) {
    return it.mIsLeaving || mUnreachable.contains(it.mName);
  });
  order.resize(std::min(order.size(), kWatchers));
  const bool isChosen =
    std::ranges::find(order, settings.mInstance, &InstanceInfo::mName) !=
    order.end();
  const bool isUninformed = Now() - mConfirmedAt > kConfirmationTimeout;
  const bool wasWatcher = std::exchange(mIsWatcher, isChosen || isUninformed);
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
      Offer(aObject.Value().mSpec,
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
        Offer(aObject.mSpec,
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
        AdoptInstances(aInstances.Value(), Now());
      }
    });
}

/// This instance always belongs to its own view: the list lags behind.
void
ConfigurationDistributor::AdoptInstances(std::vector<InstanceInfo> aInstances,
                                         Instant aSeenAt)
{
  if (mInstancesSeenAt && aSeenAt <= *mInstancesSeenAt) {
    return;
  }
  mInstancesSeenAt = aSeenAt;
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
ConfigurationDistributor::Offer(const QJsonObject& aSpec,
                                int64_t aVersion,
                                const std::string& aOrigin)
{
  auto configuration = Configuration::FromJson(aSpec, aVersion);
  if (configuration.IsError()) {
    LoggerFor("configuration")
      ->warn(
        "Refused version {}: {}.", aVersion, configuration.GetError().mMessage);
    return;
  }
  if (!mControlState.ApplyConfigurationIfNewer(configuration.Take())) {
    return;
  }
  LoggerFor("configuration")->info("Version {} is in force.", aVersion);
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

/// The tree over all instances has the origin at its root and the others in the
/// rendezvous order of the version, so that each change loads other nodes.
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
  const auto at = static_cast<size_t>(
    std::ranges::find(order, self, &InstanceInfo::mName) - order.begin());
  const auto message = ConfigurationMessage(aOrigin);
  for (size_t it = at * kFanOut + 1;
       it <= at * kFanOut + kFanOut && it < order.size();
       ++it) {
    mPeers.Post(order[it].mAddress,
                "/v1/peer/configuration",
                message,
                [](const Result<QJsonObject>&) {});
  }
}

QJsonObject
ConfigurationDistributor::AcceptPush(const QJsonObject& aMessage)
{
  ObserveStamp(aMessage);
  mConfirmedAt = Now();
  Offer(aMessage["spec"].toObject(),
        aMessage["version"].toInteger(),
        aMessage["origin"].toString().toStdString());
  return Stamped(
    { { "version",
        static_cast<qint64>(mControlState.GetConfiguration()->mVersion) } });
}

QString
ConfigurationDistributor::MembersDigest() const
{
  const auto json =
    QJsonDocument(InstancesToJson(mControlState.GetMembership().mInstances))
      .toJson(QJsonDocument::Compact);
  return QCryptographicHash::hash(json, QCryptographicHash::Sha1)
    .toHex()
    .left(16);
}

QJsonObject
ConfigurationDistributor::Compare(int64_t aPeerVersion,
                                  const QString& aPeerMembers)
{
  const auto configuration = mControlState.GetConfiguration();
  QJsonObject answer{
    { "version", static_cast<qint64>(configuration->mVersion) },
    { "confirmedAgoMs", static_cast<qint64>(MillisecondsSince(mConfirmedAt)) },
  };
  if (configuration->mVersion > aPeerVersion) {
    answer["spec"] = configuration->ToJson();
  }
  if (mInstancesSeenAt) {
    answer["instancesAgoMs"] =
      static_cast<qint64>(MillisecondsSince(*mInstancesSeenAt));
    if (aPeerMembers != MembersDigest()) {
      answer["instances"] =
        InstancesToJson(mControlState.GetMembership().mInstances);
    }
  }
  return Stamped(answer);
}

std::vector<std::string>
ConfigurationDistributor::PeerAddresses() const
{
  std::vector<std::string> addresses;
  std::ranges::transform(
    Peers(), std::back_inserter(addresses), &InstanceInfo::mAddress);
  if (addresses.empty()) {
    // Before any list is known only the settings name somebody to ask.
    std::ranges::transform(mControlState.GetSettings().mNeighbours,
                           std::back_inserter(addresses),
                           &Address::ToString);
  }
  return addresses;
}

void
ConfigurationDistributor::CompareWithPeer()
{
  const auto addresses = PeerAddresses();
  if (addresses.empty()) {
    return;
  }
  const auto address = addresses[mNextPeer++ % addresses.size()];
  const auto path = QString("/v1/peer/state?version=%1&members=%2")
                      .arg(mControlState.GetConfiguration()->mVersion)
                      .arg(MembersDigest());
  mPeers.Get(
    address, path, [this, address](const Result<QJsonObject>& aAnswer) {
      const auto peers = Peers();
      const auto peer =
        std::ranges::find(peers, address, &InstanceInfo::mAddress);
      if (aAnswer.IsError()) {
        if (peer != peers.end()) {
          mUnreachable.insert(peer->mName);
        }
        return;
      }
      if (peer != peers.end()) {
        mUnreachable.erase(peer->mName);
      }
      Merge(address, aAnswer.Value());
    });
}

void
ConfigurationDistributor::Merge(const std::string& aAddress,
                                const QJsonObject& aAnswer)
{
  const auto now = Now();
  mConfirmedAt = std::max(
    mConfirmedAt, now - Milliseconds(aAnswer["confirmedAgoMs"].toInteger()));
  if (aAnswer.contains("spec")) {
    Offer(aAnswer["spec"].toObject(),
          aAnswer["version"].toInteger(),
          mControlState.GetSettings().mInstance);
  }
  if (aAnswer.contains("instances")) {
    AdoptInstances(InstancesFromJson(aAnswer["instances"].toArray()),
                   now - Milliseconds(aAnswer["instancesAgoMs"].toInteger()));
  }
  const auto mine = mControlState.GetConfiguration()->mVersion;
  if (aAnswer["version"].toInteger() < mine) {
    const auto message =
      ConfigurationMessage(mControlState.GetSettings().mInstance);
    mPeers.Post(aAddress,
                "/v1/peer/configuration",
                message,
                [](const Result<QJsonObject>&) {});
  }
}

void
ConfigurationDistributor::AnnounceLeaving()
{
  mIsLeaving = true;
  AdoptInstances(mControlState.GetMembership().mInstances, Now());
}

}
