#include "FailoverController.h"

#include "Clock.h"
#include "LibCore/EventRing.h"
#include "LibDecision/Overloaded.h"
#include "Log.h"

#include <QRandomGenerator>
#include <algorithm>
#include <ranges>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr auto kTick = 10ms;
constexpr unsigned kHolders = 3;
constexpr int kPublishTries = 20;
constexpr auto kPublishRetry = 3s;
constexpr auto kStatusKind = "groups";

constexpr std::array kCommandNames = { "fence",
                                       "promote",
                                       "follow",
                                       "quiesce" };

}

FailoverController::FailoverController(ControlState& aControlState,
                                       WorkerPool& aWorkers,
                                       PlatformClient& aPlatform,
                                       PeerClient& aPeers)
  : mControlState(aControlState)
  , mWorkers(aWorkers)
  , mPlatform(aPlatform)
  , mPeers(aPeers)
  , mIncarnation(std::to_string(QRandomGenerator::system()->generate64()))
{
  connect(&mControlState, &ControlState::ConfigurationChanged, this, [this] {
    Configure();
  });
  connect(&mControlState, &ControlState::MembershipChanged, this, [this] {
    Configure();
  });
  mWorkers.ForEachWorker([this](Worker& aWorker) {
    connect(
      &aWorker,
      &Worker::EngineCreated,
      this,
      [this](GroupEngine* aEngine) { AttachEngine(aEngine); },
      Qt::DirectConnection);
  });
  connect(&mTimer, &QTimer::timeout, this, [this] {
    for (const auto& it : mMachines) {
      Feed(it.first, Tick{});
    }
  });
  mTimer.setTimerType(Qt::PreciseTimer);
  mTimer.start(kTick);
}

/// Called on the engine's thread; its signals arrive on the control thread.
void
FailoverController::AttachEngine(GroupEngine* aEngine)
{
  connect(aEngine,
          &GroupEngine::ReportReceived,
          this,
          [this](const QString& aGroup, const UpstreamReport& aReport) {
            Feed(aGroup.toStdString(), UpstreamReported{ aReport });
          });
  connect(aEngine,
          &GroupEngine::UpstreamUnreachable,
          this,
          [this](const QString& aGroup, const QString& aUpstream) {
            Feed(aGroup.toStdString(),
                 UpstreamFailed{ aUpstream.toStdString() });
          });
  connect(aEngine,
          &GroupEngine::CommandCompleted,
          this,
          [this](const QString& aGroup, const CommandAnswered& aAnswer) {
            Feed(aGroup.toStdString(), aAnswer);
          });
}

FailoverIdentity
FailoverController::IdentityOf(const GroupConfiguration& aGroup) const
{
  const auto members = mControlState.GetMembership().mInstances;
  const auto& self = mControlState.GetSettings().mInstance;
  FailoverIdentity identity;
  identity.mGroup = aGroup.mName;
  identity.mInstance = self;
  identity.mIncarnation = mIncarnation;
  identity.mCoordinatorCount = kHolders;
  const auto holders =
    ChooseFailoverCoordinators(aGroup.mName, members, kHolders);
  const auto it = std::ranges::find(holders, self, &InstanceInfo::mName);
  if (it != holders.end()) {
    identity.mCoordinatorIndex = static_cast<unsigned>(it - holders.begin());
  }
  identity.mPeerCount = members.empty() ? 0 : members.size() - 1;
  for (const auto& upstream : aGroup.mUpstreams) {
    identity.mUpstreams.push_back(upstream.mName);
    if (upstream.mIsLeaving) {
      identity.mLeaving.insert(upstream.mName);
    }
  }
  return identity;
}

void
FailoverController::Configure()
{
  const auto configuration = mControlState.GetConfiguration();
  std::erase_if(mMachines, [&](const auto& it) {
    return !configuration->FindGroup(it.first);
  });
  for (const auto& it : configuration->mGroups) {
    const auto identity = IdentityOf(it);
    const auto found = mMachines.find(it.mName);
    if (found == mMachines.end()) {
      mMachines.emplace(it.mName, FailoverMachine(identity));
    } else if (found->second.Identity() != identity) {
      found->second.SetIdentity(identity);
    }
    UpdatePace(it.mName);
  }
}

void
FailoverController::UpdatePace(const std::string& aGroup)
{
  const auto probeRate =
    HolderIndex(aGroup) ? ProbeRate::Fast : ProbeRate::Slow;
  auto* worker = &mWorkers.WorkerOf(aGroup);
  QMetaObject::invokeMethod(worker, [worker, aGroup, probeRate] {
    if (auto* engine = worker->FindEngine(aGroup)) {
      engine->SetProbeRate(probeRate);
    }
  });
}

std::optional<unsigned>
FailoverController::HolderIndex(const std::string& aGroup) const
{
  const auto it = mMachines.find(aGroup);
  return it != mMachines.end() ? it->second.Identity().mCoordinatorIndex
                               : std::nullopt;
}

PrimaryView
FailoverController::View(const std::string& aGroup) const
{
  const auto it = mMachines.find(aGroup);
  return it != mMachines.end() ? it->second.View(Now()) : PrimaryView();
}

Result<Done>
FailoverController::RequestSwitchover(const std::string& aGroup)
{
  const auto it = mMachines.find(aGroup);
  if (it == mMachines.end()) {
    return Error{ ErrorKind::UnknownGroup, "no such group" };
  }
  if (!it->second.Identity().mCoordinatorIndex) {
    return Error{ ErrorKind::NotFound,
                  "this instance may not replace the group's primary" };
  }
  Feed(aGroup, SwitchoverRequested{});
  return Done{};
}

void
FailoverController::Feed(const std::string& aGroup, const FailoverEvent& aEvent)
{
  const auto it = mMachines.find(aGroup);
  if (it == mMachines.end()) {
    return;
  }
  for (const auto& action : it->second.Handle(aEvent, Now())) {
    Perform(aGroup, action);
  }
}

void
FailoverController::Perform(const std::string& aGroup,
                            const FailoverAction& aAction)
{
  std::visit(
    Overloaded{
      [&](const SendCommand& aIt) { Send(aGroup, aIt); },
      [&](const RequestPeerViews&) { AskViews(aGroup); },
      [&](const PublishPrimary& aIt) { Publish(aGroup, aIt, kPublishTries); },
      [&](const LogFailoverStep& aIt) {
        EventRing::Instance().Record("failover",
                                     QString::fromStdString(aIt.mKind),
                                     QString::fromStdString(aGroup),
                                     aIt.mTerm,
                                     QString::fromStdString(aIt.mDetail));
        LoggerFor("failover")
          ->info(
            "{} term {}: {} ({}).", aGroup, aIt.mTerm, aIt.mKind, aIt.mDetail);
      } },
    aAction);
}

void
FailoverController::Send(const std::string& aGroup, const SendCommand& aCommand)
{
  const auto* name = kCommandNames[static_cast<size_t>(aCommand.mKind)];
  EventRing::Instance().Record("failover",
                               QString("send-") + name,
                               QString::fromStdString(aGroup),
                               aCommand.mTerm,
                               QString::fromStdString(aCommand.mUpstream));
  auto* worker = &mWorkers.WorkerOf(aGroup);
  QMetaObject::invokeMethod(worker, [worker, aGroup, aCommand] {
    if (auto* engine = worker->FindEngine(aGroup)) {
      engine->SendCommand(aCommand);
    }
  });
}

void
FailoverController::AskViews(const std::string& aGroup)
{
  const auto path =
    "/v1/peer/view?group=" +
    QString::fromUtf8(QUrl::toPercentEncoding(QString::fromStdString(aGroup)));
  for (const auto& it : mControlState.GetMembership().mInstances) {
    if (it.mName == mControlState.GetSettings().mInstance) {
      continue;
    }
    mPeers.Get(
      it.mAddress, path, [this, aGroup](const Result<QJsonObject>& aAnswer) {
        if (aAnswer.IsError()) {
          return;
        }
        const auto& json = aAnswer.Value();
        Feed(
          aGroup,
          PeerViewReceived{ { static_cast<uint64_t>(json["term"].toInteger()),
                              json["primary"].toString().toStdString(),
                              json["healthy"].toBool() } });
      });
  }
}

/// Writes the new primary back for operators; nothing waits for it.
void
FailoverController::Publish(const std::string& aGroup,
                            const PublishPrimary& aPrimary,
                            int aTriesLeft)
{
  const auto name = QString::fromStdString(aGroup);
  const auto retry = [=, this] {
    if (aTriesLeft > 0) {
      QTimer::singleShot(kPublishRetry, this, [=, this] {
        Publish(aGroup, aPrimary, aTriesLeft - 1);
      });
    }
  };
  mPlatform.Get(
    kStatusKind, name, [=, this](const Result<PlatformObject>& aObject) {
      if (aObject.IsError() &&
          aObject.GetError().mKind != ErrorKind::NotFound) {
        retry();
        return;
      }
      const auto present =
        aObject.IsError() ? PlatformObject() : aObject.Value();
      const auto term =
        static_cast<uint64_t>(present.mSpec["term"].toInteger());
      if (term >= aPrimary.mTerm) {
        return;
      }
      const QJsonObject spec{ { "term", static_cast<qint64>(aPrimary.mTerm) },
                              { "primary",
                                QString::fromStdString(aPrimary.mPrimary) } };
      mPlatform.Put(kStatusKind,
                    name,
                    present.mVersion,
                    spec,
                    [retry](const Result<PlatformObject>& aStored) {
                      if (aStored.IsError()) {
                        retry();
                      }
                    });
    });
}

}
