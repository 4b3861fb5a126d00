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
/// The load balancer asks once a second and goes by two misses.
constexpr Duration kBalancerNotice = 2300ms;
/// Open transactions have the first half of the grace time.
constexpr int kTransactionShare = 2;
/// Kept of the grace time for the exit itself.
constexpr Duration kExitReserve = 500ms;

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
  , mFleet(aPlatform.mStore, mSettings.mInstance, mIncarnation, Now)
  , mRouter(MakeEnvironment())
  , mDirectory(mRouter, aPlatform.mStore, aPlatform.mReader)
  , mCallers(mRouter, aPlatform.mCallerProtocol)
{
  mDuty.SetRouter(mRouter);
  StructuredLog::Instance().SetInstanceName(mSettings.mInstance);
  connect(&mTick, &QTimer::timeout, this, [this] { Tick(); });
  connect(&mSummary, &QTimer::timeout, this, [this] { LogSummary(); });
}

RelayEnvironment
RelayService::MakeEnvironment()
{
  RelayEnvironment environment;
  environment.mNow = Now;
  environment.mProtocol = mPlatform.mUpstreamProtocol;
  environment.mFailureDomain = mSettings.mFailureDomain;
  environment.mLog = Log;
  environment.mObserveLatency = [](RelayLatency aKind, Duration aTime) {
    Metrics::Instance().ObserveLatency(
      kLatencyNames[static_cast<size_t>(aKind)],
      std::chrono::duration<double>(aTime).count());
  };
  environment.mCountInstances = [this] { return mFleet.Count(); };
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
  PL_TRY(mCallers.Listen(mSettings.mCallerAddress));
  mDirectory.Start();
  mFleet.Start();
  mTick.start(kTick);
  mSummary.start(kSummaryInterval);
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
  add("instances", {}, mFleet.Count());
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
  mCallers.Tick(Now());
  if (mDrainingSince) {
    DrainStep();
  }
}

void
RelayService::Drain()
{
  if (!mDrainingSince) {
    mDrainingSince = Now();
    Log("drain", { { "callers", std::to_string(mCallers.Count()) } });
  }
}

void
RelayService::DrainStep()
{
  const auto elapsed = Now() - *mDrainingSince;
  if (elapsed >= mSettings.mGrace / kTransactionShare) {
    mCallers.AbortTransactions();
  }
  if (elapsed < kBalancerNotice) {
    return;
  }
  const auto left = mCallers.ReleaseIdle();
  const bool isLate = elapsed >= mSettings.mGrace - kExitReserve;
  if (left == 0 || isLate) {
    Log("stop", { { "callers", std::to_string(left) } });
    QCoreApplication::exit(0);
  }
}

}
