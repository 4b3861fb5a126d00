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

constexpr auto kTickInterval = 10ms;
constexpr unsigned kCoordinatorCount = 3;
constexpr int kMaxPublishRetries = 20;
constexpr auto kPublishRetryDelay = 3s;
constexpr auto kGroupKind = "groups";

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
      HandleEvent(it.first, Tick{});
    }
  });
  mTimer.setTimerType(Qt::PreciseTimer);
  mTimer.start(kTickInterval);
}

/// Runs on the engine's thread; the engine's signals are queued to the control
/// thread.
void
FailoverController::AttachEngine(GroupEngine* aEngine)
{
  connect(aEngine,
          &GroupEngine::ReportReceived,
          this,
          [this](const QString& aGroup, const UpstreamReport& aReport) {
            HandleEvent(aGroup.toStdString(), UpstreamReported{ aReport });
          });
  connect(aEngine,
          &GroupEngine::UpstreamUnreachable,
          this,
          [this](const QString& aGroup, const QString& aUpstream) {
            HandleEvent(aGroup.toStdString(),
                        UpstreamFailed{ aUpstream.toStdString() });
          });
  connect(aEngine,
          &GroupEngine::CommandCompleted,
          this,
          [this](const QString& aGroup, const CommandAnswered& aAnswer) {
            HandleEvent(aGroup.toStdString(), aAnswer);
          });
}

FailoverIdentity
FailoverController::MakeIdentity(const GroupConfiguration& aGroup) const
{
  const auto members = mControlState.GetMembership().mInstances;
  const auto& self = mControlState.GetSettings().mInstance;
  FailoverIdentity identity;
  identity.mGroup = aGroup.mName;
  identity.mInstance = self;
  identity.mIncarnation = mIncarnation;
  identity.mCoordinatorCount = kCoordinatorCount;
  const auto coordinators =
    ChooseFailoverCoordinators(aGroup.mName, members, kCoordinatorCount);
  const auto it = std::ranges::find(coordinators, self, &InstanceInfo::mName);
  if (it != coordinators.end()) {
    identity.mCoordinatorIndex =
      static_cast<unsigned>(it - coordinators.begin());
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
    const auto identity = MakeIdentity(it);
    const auto found = mMachines.find(it.mName);
    if (found == mMachines.end()) {
      mMachines.emplace(it.mName, FailoverMachine(identity));
    } else if (found->second.Identity() != identity) {
      found->second.SetIdentity(identity);
    }
    UpdateProbeRate(it.mName);
  }
}

void
FailoverController::UpdateProbeRate(const std::string& aGroup)
{
  const auto rate =
    CoordinatorIndex(aGroup) ? ProbeRate::Fast : ProbeRate::Slow;
  auto* worker = &mWorkers.WorkerOf(aGroup);
  QMetaObject::invokeMethod(worker, [worker, aGroup, rate] {
    if (auto* engine = worker->FindEngine(aGroup)) {
      engine->SetProbeRate(rate);
    }
  });
}

std::optional<unsigned>
FailoverController::CoordinatorIndex(const std::string& aGroup) const
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
    return Error{ ErrorKind::UnknownGroup, "unknown group" };
  }
  if (!it->second.Identity().mCoordinatorIndex) {
    return Error{ ErrorKind::NotFound,
                  "this instance is not a failover coordinator, so it can't "
                  "replace the group's primary" };
  }
  HandleEvent(aGroup, SwitchoverRequested{});
  return Done{};
}

void
FailoverController::HandleEvent(const std::string& aGroup,
                                const FailoverEvent& aEvent)
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
      [&](const RequestPeerViews&) { FetchPeerViews(aGroup); },
      [&](const PublishPrimary& aIt) {
        Publish(aGroup, aIt, kMaxPublishRetries);
      },
      [&](const LogFailoverStep& aIt) {
        EventRing::Instance().Record("failover",
                                     QString::fromStdString(aIt.mKind),
                                     QString::fromStdString(aGroup),
                                     aIt.mTerm,
                                     QString::fromStdString(aIt.mDetail));
        LoggerFor("failover")
          ->info(
            "{} term {}: {} ({})", aGroup, aIt.mTerm, aIt.mKind, aIt.mDetail);
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
FailoverController::FetchPeerViews(const std::string& aGroup)
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
        HandleEvent(
          aGroup,
          PeerViewReceived{ { static_cast<uint64_t>(json["term"].toInteger()),
                              json["primary"].toString().toStdString(),
                              json["healthy"].toBool() } });
      });
  }
}

/// Stores the new primary on the platform for operators. Neither the failover
/// nor any request waits for this.
void
FailoverController::Publish(const std::string& aGroup,
                            const PublishPrimary& aPrimary,
                            int aRetriesLeft)
{
  const auto name = QString::fromStdString(aGroup);
  const auto retry = [=, this] {
    if (aRetriesLeft > 0) {
      QTimer::singleShot(kPublishRetryDelay, this, [=, this] {
        Publish(aGroup, aPrimary, aRetriesLeft - 1);
      });
    }
  };
  mPlatform.Get(
    kGroupKind, name, [=, this](const Result<PlatformObject>& aObject) {
      if (aObject.IsError() &&
          aObject.GetError().mKind != ErrorKind::NotFound) {
        retry();
        return;
      }
      const auto stored =
        aObject.IsError() ? PlatformObject() : aObject.Value();
      const auto term = static_cast<uint64_t>(stored.mSpec["term"].toInteger());
      if (term >= aPrimary.mTerm) {
        return;
      }
      const QJsonObject spec{ { "term", static_cast<qint64>(aPrimary.mTerm) },
                              { "primary",
                                QString::fromStdString(aPrimary.mPrimary) } };
      mPlatform.Put(kGroupKind,
                    name,
                    stored.mVersion,
                    spec,
                    [retry](const Result<PlatformObject>& aStored) {
                      if (aStored.IsError()) {
                        retry();
                      }
                    });
    });
}

}
