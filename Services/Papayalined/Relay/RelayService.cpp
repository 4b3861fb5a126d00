#include "RelayService.h"

#include "../Clock.h"
#include "../Metrics.h"
#include "SocketChannel.h"

#include <QCoreApplication>
#include <QRandomGenerator>
#include <csignal>
#include <unistd.h>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

/// Bounds how late a deadline, a retry or a silent database is noticed.
constexpr auto kTick = 20ms;
/// The same while this instance follows no group: what it has under way is at
/// others, whose time limits are far longer.
constexpr auto kStandbyTick = 60ms;
/// The load balancer asks once a second and goes by two misses.
constexpr Duration kBalancerNotice = 2300ms;
/// Open transactions have the first half of the grace time.
constexpr int kTransactionShare = 2;
/// Kept of the grace time for the exit itself.
constexpr Duration kExitReserve = 500ms;

/// How soon a change of a group's databases changes its homes.
constexpr auto kPlacementInterval = 200ms;
/// The weight of an instance that may use a whole core.
constexpr double kWeightOfCore = 100;

/// Between two lines that sum up what each group did.
constexpr auto kSummaryInterval = 10s;

struct NamedCount
{
  const char* mName;
  uint64_t RelayCounts::*mCount;
};

constexpr std::array kCounts = {
  NamedCount{ "reads_at_replica", &RelayCounts::mReadsAtReplica },
  NamedCount{ "reads_at_primary", &RelayCounts::mReadsAtPrimary },
  NamedCount{ "writes", &RelayCounts::mWrites },
  NamedCount{ "refused", &RelayCounts::mRefused },
  NamedCount{ "outcome_unknown", &RelayCounts::mUnknown },
  NamedCount{ "hedged_reads", &RelayCounts::mHedges },
  NamedCount{ "probes", &RelayCounts::mProbes },
  NamedCount{ "evidence_requests", &RelayCounts::mEvidenceRequests },
  NamedCount{ "takeover_commands", &RelayCounts::mTakeoverCommands },
  NamedCount{ "preparations", &RelayCounts::mPreparations },
};

constexpr std::array kLatencyNames = { "latest_read",
                                       "own_read",
                                       "aged_read",
                                       "write",
                                       "refusal" };

int sSignalPipe[2] = { -1, -1 };

void
OnSignal(int aSignal)
{
  const auto byte = static_cast<char>(aSignal);
  [[maybe_unused]] const auto n = write(sSignalPipe[1], &byte, 1);
}

std::string
NewIncarnation()
{
  return std::to_string(QRandomGenerator::system()->generate64());
}

void
Log(const std::string& aEvent, const LogFields& aFields)
{
  const bool isRequest = aEvent.starts_with("request.");
  StructuredLog::Instance().Write(
    isRequest ? LogPriority::Request : LogPriority::Decision, aEvent, aFields);
}

}

RelayService::RelayService(RelaySettings aSettings,
                           const RelayPlatform& aPlatform)
  : mSettings(std::move(aSettings))
  , mPlatform(aPlatform)
  , mIncarnation(NewIncarnation())
  , mDuty(aPlatform.mStore,
          aPlatform.mPromotion,
          mSettings.mInstance,
          mIncarnation,
          Now)
  , mRouter(MakeEnvironment())
  , mPeers(mSettings.mInstance, PeerSocket::Connect, Now, Log)
  , mHomes(Self(), mRouter)
  , mSharedStore(aPlatform.mStore, mPeers, Self(), Now, Log)
  , mFleet(mSharedStore,
           Self(),
           mIncarnation,
           Now,
           [this] { OnFleetChanged(); })
  , mPeerServer(mSettings.mInstance, mRouter, mSharedStore, Now)
  , mPeerPort(mPeerServer,
              [this](const std::string& aHost) {
                const bool isKnown = mFleet.IsKnownHost(aHost);
                if (!isKnown) {
                  mFleet.RequestList();
                }
                return isKnown;
              })
  , mDirectory(mRouter, mSharedStore, aPlatform.mReader)
  , mCallers(mRouter, aPlatform.mCallerProtocol)
{
  mDuty.SetRouter(mRouter);
  mRouter.SetRunnerFactory([this](const std::shared_ptr<RelayGroup>& aGroup) {
    return std::make_shared<ForwardingRunner>(
      aGroup, mHomes, mPeers, Now, Log, mForwardCounts);
  });
  StructuredLog::Instance().SetInstanceName(mSettings.mInstance);
  connect(&mTick, &QTimer::timeout, this, [this] { Tick(); });
  connect(&mSummary, &QTimer::timeout, this, [this] { LogSummary(); });
  connect(&mPlacement, &QTimer::timeout, this, [this] { mHomes.Refresh(); });
}

InstanceInfo
RelayService::Self() const
{
  InstanceInfo self;
  self.mName = mSettings.mInstance;
  self.mFailureDomain = mSettings.mFailureDomain;
  if (mSettings.mPeerAddress.mPort != 0) {
    self.mAddress = mSettings.mPeerAddress.ToString();
  }
  self.mWeight = static_cast<unsigned>(
    std::max(mSettings.mProcessorShare * kWeightOfCore, 1.0));
  return self;
}

void
RelayService::OnFleetChanged()
{
  const auto& live = mFleet.Live();
  mPeers.SetPeers(live);
  mSharedStore.SetFleet(live);
  mHomes.SetFleet(live);
  mHomes.Refresh();
  mPeerPort.AdmitWaiting();
}

RelayEnvironment
RelayService::MakeEnvironment()
{
  RelayEnvironment environment;
  environment.mNow = Now;
  environment.mProtocol = mPlatform.mUpstreamProtocol;
  environment.mFailureDomain = mSettings.mFailureDomain;
  environment.mAcknowledgement = mSettings.mAcknowledgement;
  environment.mLog = Log;
  environment.mObserveLatency = [](RelayLatency aKind, Duration aTime) {
    Metrics::Instance().ObserveLatency(
      kLatencyNames[static_cast<size_t>(aKind)],
      std::chrono::duration<double>(aTime).count());
  };
  environment.mGrant = [this] { return mDuty.Grant(); };
  environment.mAcquireDuty = [this](const std::string& aGroup) {
    mDuty.Acquire(aGroup);
  };
  environment.mOrderPromotion = [this](const std::string& aGroup,
                                       const std::string& aUpstream) {
    mDuty.Order(aGroup, aUpstream);
  };
  environment.mOpen = [this](const std::string& aGroup,
                             const std::string& aUpstream,
                             ChannelEvents aEvents) {
    return std::make_unique<SocketChannel>(
      mDirectory.AddressOf(aUpstream).value_or(Address()),
      aGroup,
      aUpstream,
      mPlatform.mUpstreamProtocol(),
      std::move(aEvents));
  };
  return environment;
}

Result<Done>
RelayService::Start()
{
  PL_TRY(WatchSignals());
  AddRoutes();
  const auto listen = [](QHttpServer& aServer, const Address& aAddress) {
    const QHostAddress host(QString::fromStdString(aAddress.mHost));
    return aServer.listen(host, aAddress.mPort) != 0;
  };
  for (const auto& [server, address] :
       { std::pair(&mReadiness, mSettings.mReadinessAddress),
         std::pair(&mMetrics, mSettings.mMetricsAddress) }) {
    if (!listen(*server, address)) {
      return Error{ ErrorKind::Unreachable,
                    "can't listen on " + address.ToString() };
    }
  }
  if (mSettings.mPeerAddress.mPort != 0) {
    PL_TRY(mPeerPort.Listen(mSettings.mPeerAddress));
  }
  PL_TRY(mCallers.Listen(mSettings.mCallerAddress));
  mDirectory.Start();
  mFleet.Start();
  mTick.start(kTick);
  mSummary.start(kSummaryInterval);
  mPlacement.start(kPlacementInterval);
  Log("start",
      { { "callers", mSettings.mCallerAddress.ToString() },
        { "domain", mSettings.mFailureDomain },
        { "store", mSettings.mStore.ToString() } });
  return Done{};
}

Result<Done>
RelayService::WatchSignals()
{
  if (pipe(sSignalPipe) != 0) {
    return Error{ ErrorKind::Internal, "can't create the signal pipe" };
  }
  mSignals =
    std::make_unique<QSocketNotifier>(sSignalPipe[0], QSocketNotifier::Read);
  connect(mSignals.get(), &QSocketNotifier::activated, this, [this] {
    char byte = 0;
    if (read(sSignalPipe[0], &byte, 1) != 1) {
      return;
    }
    if (byte == SIGHUP) {
      // Addresses and names of a process hold for its life.
      Log("reload", { { "changed", "nothing" } });
    } else {
      Drain();
    }
  });
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGHUP, OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
  return Done{};
}

bool
RelayService::IsReady() const
{
  return mDirectory.IsComplete() && !mDrainingSince;
}

void
RelayService::AddRoutes()
{
  using Response = QHttpServerResponse;
  mReadiness.route(QString::fromStdString(mSettings.mReadinessPath), [this] {
    return Response(IsReady() ? Response::StatusCode::Ok
                              : Response::StatusCode::ServiceUnavailable);
  });
  mMetrics.route("/metrics",
                 [this] { return Response("text/plain", MetricsText()); });
}

QByteArray
RelayService::MetricsText() const
{
  QByteArray text;
  const auto add =
    [&](const char* aName, const QByteArray& aLabels, uint64_t aValue) {
      text += QByteArray("papayaline_") + aName + aLabels + " " +
              QByteArray::number(quint64(aValue)) + "\n";
    };
  add("caller_connections", {}, mCallers.Count());
  mRouter.ForEachGroup([&](const RelayGroup& aGroup) {
    const auto label =
      "{group=\"" + QByteArray::fromStdString(aGroup.Name()) + "\"}";
    for (const auto& it : kCounts) {
      add((std::string(it.mName) + "_total").c_str(),
          label,
          aGroup.Counts().*it.mCount);
    }
    add("term", label, aGroup.View().HighestTerm());
  });
  add("instances", {}, mFleet.Live().size());
  add("forwarded_total", {}, mForwardCounts.mForwarded);
  add("rerouted_total", {}, mForwardCounts.mRerouted);
  add("detours_total", {}, mForwardCounts.mDetours);
  add("served_for_peers_total", {}, mPeerServer.ServedCount());
  return text + Metrics::Instance().LatenciesToText();
}

void
RelayService::LogSummary()
{
  mRouter.ForEachGroup([](const RelayGroup& aGroup) {
    LogFields fields{ { "group", aGroup.Name() } };
    for (const auto& it : kCounts) {
      fields.emplace_back(it.mName, std::to_string(aGroup.Counts().*it.mCount));
    }
    Log("summary", fields);
    fields = aGroup.DescribeMembers();
    fields.insert(fields.begin(), { "group", aGroup.Name() });
    Log("members", fields);
  });
}

void
RelayService::Tick()
{
  mDirectory.Tick();
  mRouter.Tick();
  mDuty.Tick();
  mPeers.Tick();
  mPeerServer.Tick();
  mSharedStore.Tick();
  mCallers.Tick(Now());
  if (mDrainingSince) {
    DrainStep();
  }
  bool isFollowing = false;
  mRouter.ForEachGroup(
    [&](const RelayGroup& aGroup) { isFollowing |= !aGroup.IsStandingBy(); });
  const auto interval = isFollowing ? kTick : kStandbyTick;
  if (mTick.intervalAsDuration() != interval) {
    mTick.start(interval);
  }
}

void
RelayService::Drain()
{
  if (!mDrainingSince) {
    mDrainingSince = Now();
    mPeerServer.Leave();
    Log("drain",
        { { "callers", std::to_string(mCallers.Count()) },
          { "forPeers", std::to_string(mPeerServer.BusyCount()) } });
  }
}

void
RelayService::DrainStep()
{
  const auto elapsed = Now() - *mDrainingSince;
  if (elapsed >= mSettings.mGrace / kTransactionShare) {
    mCallers.AbortTransactions();
    mPeerServer.AbandonTransactions();
  }
  if (elapsed < kBalancerNotice) {
    return;
  }
  const auto left = mCallers.ReleaseIdle() + mPeerServer.BusyCount();
  const bool isLate = elapsed >= mSettings.mGrace - kExitReserve;
  if (left == 0 || isLate) {
    Log("stop", { { "left", std::to_string(left) } });
    QCoreApplication::exit(0);
  }
}

}
