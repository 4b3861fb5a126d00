#include "RelayService.h"

#include "../Clock.h"
#include "../Metrics.h"
#include "UpstreamSocket.h"

#include <QCoreApplication>
#include <QRandomGenerator>
#include <csignal>
#include <unistd.h>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

/// Bounds how late deadlines, retries and unresponsive databases are handled.
constexpr auto kTickInterval = 20ms;
/// The interval while this instance is on standby for all groups: its
/// statements run at other instances, whose time limits are far longer.
constexpr auto kStandbyTickInterval = 60ms;

/// Bounds how late a change of a group's databases changes its home instances.
constexpr auto kPlacementInterval = 200ms;

/// The accounts with metrics of their own; the others are summed up.
constexpr size_t kAccountsInMetrics = 8;

/// Between two summaries of each group in the log.
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
  NamedCount{ "refused_for_wait", &RelayCounts::mRefusedForWait },
  NamedCount{ "refused_without_connection",
              &RelayCounts::mRefusedWithoutConnection },
  NamedCount{ "refused_at_full_queue", &RelayCounts::mRefusedAtFullQueue },
  NamedCount{ "outcome_unknown", &RelayCounts::mOutcomesUnknown },
  NamedCount{ "hedged_reads", &RelayCounts::mHedgedReads },
  NamedCount{ "connections_opened", &RelayCounts::mConnectionsOpened },
  NamedCount{ "connections_replaced", &RelayCounts::mConnectionsReplaced },
  NamedCount{ "waits_own_connection", &RelayCounts::mWaitsForOwnConnection },
  NamedCount{ "waits_opening", &RelayCounts::mWaitsForOpening },
  NamedCount{ "waits_opening_slot", &RelayCounts::mWaitsForOpeningSlot },
  NamedCount{ "waits_other_accounts", &RelayCounts::mWaitsForOtherAccounts },
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

/// By Distance.
constexpr std::array kDistanceNames = { "same_domain",
                                        "same_region",
                                        "other_region" };
/// Bounds the series of the shares that leave the nearest home.
constexpr size_t kMaxShareSeries = 32;

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
  , mLeaseController(aPlatform.mStore,
                     aPlatform.mPromotion,
                     mSettings.mInstance,
                     mIncarnation,
                     Now)
  , mPeers(mSettings.mInstance, PeerSocket::Connect, Now, Log)
  , mQuota(MakeQuota())
  , mRouter(MakeEnvironment())
  , mHomes(DescribeSelf(), mRouter, Topology(mSettings.mRegions))
  , mSharedStore(aPlatform.mStore, mPeers, DescribeSelf(), Now, Log)
  , mFleet(mSharedStore,
           DescribeSelf(),
           mIncarnation,
           Now,
           [this] { OnFleetChanged(); })
  , mPeerServer(mSettings.mInstance, mRouter, mSharedStore, Now)
  , mPeerListener(mPeerServer,
                  [this](const std::string& aHost) {
                    const bool isKnown = mFleet.IsKnownHost(aHost);
                    if (!isKnown) {
                      mFleet.RequestList();
                    }
                    return isKnown;
                  })
  , mDirectory(mRouter, mSharedStore, aPlatform.mReader)
  , mCallerListener(mRouter, aPlatform.mCallerProtocol)
  , mDrainPlan(mSettings.mGracePeriod)
{
  mLeaseController.SetRouter(mRouter);
  mPeerServer.SetQuotaServer(mQuota.get());
  mRouter.SetRunnerFactory([this](const std::shared_ptr<RelayGroup>& aGroup) {
    return std::make_shared<ForwardingRunner>(
      aGroup, mHomes, mPeers, Now, Log, mForwardCounts);
  });
  if (mSettings.mAuthorityTimeout) {
    mSharedStore.LimitAge(aPlatform.mReader.ConfigurationKind(),
                          *mSettings.mAuthorityTimeout,
                          [this](Instant aConfirmedAt) {
                            mDirectory.ConfirmConfiguration(aConfirmedAt);
                          });
  }
  StructuredLog::Instance().SetInstanceName(mSettings.mInstance);
  connect(&mTickTimer, &QTimer::timeout, this, [this] { Tick(); });
  connect(&mSummaryTimer, &QTimer::timeout, this, [this] { LogSummary(); });
  connect(
    &mPlacementTimer, &QTimer::timeout, this, [this] { mHomes.Refresh(); });
}

std::unique_ptr<QuotaExchange>
RelayService::MakeQuota()
{
  return mSettings.mQuotaTolerance
           ? std::make_unique<QuotaExchange>(mSettings.mInstance,
                                             *mSettings.mQuotaTolerance,
                                             mPeers,
                                             Now,
                                             Log)
           : nullptr;
}

InstanceInfo
RelayService::DescribeSelf() const
{
  InstanceInfo self;
  self.mName = mSettings.mInstance;
  self.mFailureDomain = mSettings.mFailureDomain;
  if (mSettings.mPeerAddress.mPort != 0) {
    self.mAddress = mSettings.mPeerAddress.ToString();
  }
  self.mWeight = WeightOf(mSettings.mProcessorShare, mSettings.mLinkMbps);
  return self;
}

void
RelayService::OnFleetChanged()
{
  const auto& live = mFleet.LiveInstances();
  mPeers.SetPeers(live);
  mSharedStore.SetFleet(live);
  mHomes.SetFleet(live);
  if (mQuota) {
    mQuota->SetFleet(live, mFleet.ListingAtStart());
  }
  mHomes.Refresh();
  mPeerListener.AdmitPending();
}

RelayEnvironment
RelayService::MakeEnvironment()
{
  RelayEnvironment environment;
  environment.mNow = Now;
  environment.mMakeProtocol = mPlatform.mUpstreamProtocol;
  environment.mFailureDomain = mSettings.mFailureDomain;
  environment.mTopology = Topology(mSettings.mRegions);
  environment.mAuthorityTimeout = mSettings.mAuthorityTimeout;
  environment.mQuota = mQuota.get();
  environment.mAcknowledgement = mSettings.mAcknowledgement;
  environment.mLog = Log;
  environment.mObserveLatency = [](RelayLatency aKind, Duration aTime) {
    Metrics::Instance().ObserveLatency(
      kLatencyNames[static_cast<size_t>(aKind)],
      std::chrono::duration<double>(aTime).count());
  };
  environment.mLeaseGrant = [this] { return mLeaseController.Grant(); };
  environment.mAcquireLease = [this](const std::string& aGroup) {
    mLeaseController.Acquire(aGroup);
  };
  environment.mOrderPromotion = [this](const std::string& aGroup,
                                       const std::string& aUpstream) {
    mLeaseController.OrderPromotion(aGroup, aUpstream);
  };
  environment.mOpenChannel = [this](const ChannelTarget& aTarget,
                                    ChannelEvents aEvents) {
    return std::make_unique<UpstreamSocket>(
      mDirectory.FindAddress(aTarget.mUpstream).value_or(Address()),
      aTarget,
      mPlatform.mUpstreamProtocol(),
      std::move(aEvents));
  };
  return environment;
}

Result<Done>
RelayService::Start()
{
  PL_TRY(InstallSignalHandlers());
  AddHttpRoutes();
  const auto listen = [](QHttpServer& aServer, const Address& aAddress) {
    const QHostAddress host(QString::fromStdString(aAddress.mHost));
    return aServer.listen(host, aAddress.mPort) != 0;
  };
  for (const auto& [server, address] :
       { std::pair(&mReadinessServer, mSettings.mReadinessAddress),
         std::pair(&mMetricsServer, mSettings.mMetricsAddress) }) {
    if (!listen(*server, address)) {
      return Error{ ErrorKind::Unreachable,
                    "can't listen on " + address.ToString() };
    }
  }
  if (mSettings.mPeerAddress.mPort != 0) {
    PL_TRY(mPeerListener.Listen(mSettings.mPeerAddress));
  }
  PL_TRY(mCallerListener.Listen(mSettings.mCallerAddress));
  mDirectory.Start();
  mFleet.Start();
  mTickTimer.start(kTickInterval);
  mSummaryTimer.start(kSummaryInterval);
  mPlacementTimer.start(kPlacementInterval);
  Log("start",
      { { "callers", mSettings.mCallerAddress.ToString() },
        { "domain", mSettings.mFailureDomain },
        { "store", mSettings.mStore.ToString() } });
  return Done{};
}

Result<Done>
RelayService::InstallSignalHandlers()
{
  if (pipe(sSignalPipe) != 0) {
    return Error{ ErrorKind::Internal, "can't create the signal pipe" };
  }
  mSignalNotifier =
    std::make_unique<QSocketNotifier>(sSignalPipe[0], QSocketNotifier::Read);
  connect(mSignalNotifier.get(), &QSocketNotifier::activated, this, [this] {
    char byte = 0;
    if (read(sSignalPipe[0], &byte, 1) != 1) {
      return;
    }
    if (byte == SIGHUP) {
      // Addresses and names can't change while the process runs.
      Log("reload", { { "changed", "nothing" } });
    } else {
      StartDrain();
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
  return mDirectory.IsLoaded() && !mDrainingSince && mRouter.HasAuthority();
}

void
RelayService::AddHttpRoutes()
{
  using Response = QHttpServerResponse;
  mReadinessServer.route(
    QString::fromStdString(mSettings.mReadinessPath), [this] {
      return Response(IsReady() ? Response::StatusCode::Ok
                                : Response::StatusCode::ServiceUnavailable);
    });
  mMetricsServer.route(
    "/metrics", [this] { return Response("text/plain", FormatMetrics()); });
}

QByteArray
RelayService::FormatMetrics() const
{
  QByteArray text;
  const auto add =
    [&](const char* aName, const QByteArray& aLabels, uint64_t aValue) {
      text += QByteArray("papayaline_") + aName + aLabels + " " +
              QByteArray::number(quint64(aValue)) + "\n";
    };
  add("caller_connections", {}, mCallerListener.ConnectionCount());
  add("callers_refused_total", {}, mCallerListener.RefusedCount());
  mRouter.ForEachGroup([&](const RelayGroup& aGroup) {
    const auto label =
      "{group=\"" + QByteArray::fromStdString(aGroup.Name()) + "\"}";
    for (const auto& it : kCounts) {
      add((std::string(it.mName) + "_total").c_str(),
          label,
          aGroup.Counts().*it.mCount);
    }
    add("term", label, aGroup.View().HighestTerm());
    add("expected_wait_ms",
        label,
        std::chrono::duration_cast<Milliseconds>(aGroup.LongestExpectedWait())
          .count());
  });
  for (const auto& [kind, count] : mRouter.ErrorCounts()) {
    add("errors_total",
        "{error=\"" +
          QByteArray::fromStdString(std::string(AnswerFor(kind).mName)) + "\"}",
        count);
  }
  add("instances", {}, mFleet.LiveInstances().size());
  add("store_era", {}, mSharedStore.Era());
  if (const auto age = mRouter.AuthorityAge()) {
    const auto ms = std::chrono::duration_cast<Milliseconds>(*age);
    add("authority_age_ms", {}, static_cast<uint64_t>(ms.count()));
  }
  add("forwarded_total", {}, mForwardCounts.mForwarded);
  add("rerouted_total", {}, mForwardCounts.mRerouted);
  add("detours_total", {}, mForwardCounts.mDetours);
  add("moved_for_wait_total", {}, mForwardCounts.mMovedForWait);
  add("entry_refused_for_wait_total", {}, mForwardCounts.mRefusedForWait);
  add("left_domain_total", {}, mForwardCounts.mLeft);
  for (size_t n = 0; n < kDistanceNames.size(); ++n) {
    const auto label = "{distance=\"" + QByteArray(kDistanceNames[n]) + "\"}";
    add("forwarded_by_distance_total", label, mForwardCounts.mByDistance[n]);
    add("forwarded_bytes_total", label, mForwardCounts.mBytesByDistance[n]);
  }
  size_t series = 0;
  for (const auto& [group, share] : mForwardCounts.mLeavingShares) {
    if (series++ == kMaxShareSeries) {
      break;
    }
    add("leaving_share_percent",
        "{group=\"" + QByteArray::fromStdString(group) + "\"}",
        static_cast<uint64_t>(share * 100));
  }
  add("served_for_peers_total", {}, mPeerServer.ServedCount());
  if (mQuota) {
    const auto& counts = mQuota->Counts();
    add("quota_withdrawals_total", {}, counts.mWithdrawals);
    add("quota_collections_total", {}, counts.mCollections);
    add(
      "quota_tokens_lent_total", {}, static_cast<uint64_t>(counts.mTokensLent));
    for (const auto& it : mQuota->LargestAccounts(kAccountsInMetrics)) {
      const auto label =
        "{account=\"" + QByteArray::fromStdString(it.mAccount) + "\"}";
      add("quota_admitted_total", label, it.mAdmitted);
      add("quota_refused_total", label, it.mRefused);
    }
  }
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
RelayService::ObserveStoreEra()
{
  const auto era = mSharedStore.Era();
  if (era == mStoreEra) {
    return;
  }
  const bool isRestored = std::exchange(mStoreEra, era) != 0;
  mLeaseController.ObserveEra(era);
  if (isRestored) {
    mFleet.OnStoreRestored();
  }
}

void
RelayService::Tick()
{
  mDirectory.Tick();
  mRouter.Tick();
  mLeaseController.Tick();
  ObserveStoreEra();
  mPeers.Tick();
  TickQuota();
  mPeerServer.Tick();
  mSharedStore.Tick();
  mCallerListener.Tick(Now());
  if (mDrainingSince) {
    ContinueDrain();
  }
  bool isFollowing = false;
  mRouter.ForEachGroup(
    [&](const RelayGroup& aGroup) { isFollowing |= !aGroup.IsOnStandby(); });
  const auto interval = isFollowing ? kTickInterval : kStandbyTickInterval;
  if (mTickTimer.intervalAsDuration() != interval) {
    mTickTimer.start(interval);
  }
}

void
RelayService::TickQuota()
{
  if (mQuota) {
    const auto* configuration = mRouter.Configuration();
    mQuota->Configure(configuration ? configuration->mAccounts : nullptr);
    mQuota->Tick();
  }
}

void
RelayService::StartDrain()
{
  if (!mDrainingSince) {
    mDrainingSince = Now();
    mPeerServer.AnnounceShutdown();
    Log("drain",
        { { "callers", std::to_string(mCallerListener.ConnectionCount()) },
          { "forPeers", std::to_string(mPeerServer.InFlightCount()) } });
  }
}

void
RelayService::ContinueDrain()
{
  const auto phase = mDrainPlan.PhaseAt(Now() - *mDrainingSince);
  if (phase == DrainPhase::Announced) {
    return;
  }
  mRouter.SetAdmission(phase >= DrainPhase::Refusing
                         ? Admission::Nothing
                         : Admission::SingleStatements);
  if (phase >= DrainPhase::RollingBack) {
    mCallerListener.RollBackTransactions();
    mPeerServer.RollBackTransactions();
  }
  if (phase >= DrainPhase::Refusing) {
    mPeerServer.DeclineStatements();
  }
  if (phase >= DrainPhase::Ending) {
    mAbandoned += mCallerListener.End();
  } else {
    mCallerListener.CloseIdle();
  }
  const auto left =
    mCallerListener.ConnectionCount() + mPeerServer.InFlightCount();
  if (left == 0 || phase == DrainPhase::Over) {
    Log("stop",
        { { "left", std::to_string(left) },
          { "abandoned", std::to_string(mAbandoned) } });
    QCoreApplication::exit(0);
  }
}

}
