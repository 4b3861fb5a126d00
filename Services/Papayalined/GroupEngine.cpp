#include "GroupEngine.h"

#include "Clock.h"
#include "LibCore/EventRing.h"
#include "LibDecision/ConnectionBudget.h"
#include "ReadOperation.h"
#include "WriteOperation.h"

#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr auto kTickInterval = 5ms;
/// An upstream whose last report is older gets no new requests.
constexpr auto kMaxReportAge = 600ms;
/// After this time a leaving upstream gets no new requests.
constexpr auto kLeavingGracePeriod = 3s;
constexpr auto kReportForwardInterval = 25ms;
/// A lower priority than that of any caller class.
constexpr unsigned kLedgerExpiryRank = 1000;
constexpr Milliseconds kMinLedgerExpiryInterval = 1s;
constexpr Milliseconds kMaxLedgerExpiryInterval = 60s;
constexpr unsigned kDefaultQueueLimit = 200;

}

GroupEngine::GroupEngine(ControlState& aControlState, GroupConfiguration aGroup)
  : mControlState(aControlState)
  , mQueue(kDefaultQueueLimit, 1)
{
  connect(&mTickTimer, &QTimer::timeout, this, [this] { OnTick(); });
  mTickTimer.setTimerType(Qt::PreciseTimer);
  connect(
    &mLedgerExpiryTimer, &QTimer::timeout, this, [this] { ExpireLedger(); });
  Configure(aGroup, kDefaultQueueLimit, 1);
}

GroupEngine::~GroupEngine()
{
  const auto active = mActiveOperations;
  for (const auto& [key, it] : active) {
    it->FinishWithError({ ErrorKind::UnknownGroup, "the group was removed" });
  }
}

unsigned
GroupEngine::ConnectionLimit(const UpstreamConfiguration& aUpstream) const
{
  const auto share = DivideConnections(
    aUpstream.mConnections, mGroup.mConnectionReserve, mLiveInstances);
  return share.mStatements;
}

void
GroupEngine::Configure(const GroupConfiguration& aGroup,
                       unsigned aQueueLimit,
                       unsigned aLiveInstances)
{
  mGroup = aGroup;
  mLiveInstances = aLiveInstances;
  mQueue.SetCapacity(aQueueLimit);
  mLedgerExpiryTimer.start(std::clamp(mGroup.mLedgerRetention / 2,
                                      kMinLedgerExpiryInterval,
                                      kMaxLedgerExpiryInterval));
  std::erase_if(mUpstreams, [&](const auto& it) {
    return std::ranges::find(
             mGroup.mUpstreams, it.first, &UpstreamConfiguration::mName) ==
           mGroup.mUpstreams.end();
  });
  std::erase_if(mReports, [&](const auto& it) {
    return !mUpstreams.contains(it.mUpstream);
  });
  unsigned servers = 0;
  for (const auto& it : mGroup.mUpstreams) {
    AddUpstream(it);
    servers += std::min(ConnectionLimit(it), it.mSlots);
  }
  mQueue.SetServers(servers);
}

void
GroupEngine::AddUpstream(const UpstreamConfiguration& aUpstream)
{
  const auto found = mUpstreams.find(aUpstream.mName);
  const bool isSameAddress =
    found != mUpstreams.end() &&
    found->second.mConfiguration.mAddress == aUpstream.mAddress;
  if (!isSameAddress) {
    mUpstreams.erase(aUpstream.mName);
  }
  auto& upstream = mUpstreams[aUpstream.mName];
  upstream.mConfiguration = aUpstream;
  if (!aUpstream.mIsLeaving) {
    upstream.mLeavingSince.reset();
  } else if (!upstream.mLeavingSince) {
    upstream.mLeavingSince = Now();
  }
  if (isSameAddress) {
    upstream.mPool->SetLimit(ConnectionLimit(aUpstream));
    return;
  }
  const auto name = aUpstream.mName;
  upstream.mProber = std::make_unique<UpstreamProber>(
    mGroup,
    aUpstream,
    nullptr,
    [this](const UpstreamReport& aReport) { OnReport(aReport); },
    [this, name] {
      Q_EMIT UpstreamUnreachable(QString::fromStdString(mGroup.mName),
                                 QString::fromStdString(name));
    });
  upstream.mProber->SetProbeRate(mProbeRate);
  upstream.mPool = std::make_unique<UpstreamPool>(
    mGroup, aUpstream, ConnectionLimit(aUpstream), nullptr, [this] {
      RequestDispatch();
    });
}

void
GroupEngine::SetProbeRate(ProbeRate aProbeRate)
{
  mProbeRate = aProbeRate;
  for (auto& [key, it] : mUpstreams) {
    it.mProber->SetProbeRate(aProbeRate);
  }
}

uint64_t
GroupEngine::SubmitRead(Request aRequest, ResponseHandler aHandler)
{
  const auto operation = std::make_shared<ReadOperation>(
    *this, std::move(aRequest), std::move(aHandler));
  Submit(operation);
  return operation->Id();
}

void
GroupEngine::CancelQueuedRead(uint64_t aOperationId)
{
  if (std::ranges::count(mQueue.Order(), aOperationId) > 0) {
    FinishAllWithError({ aOperationId },
                       { ErrorKind::Cancelled, "cancelled by the caller" });
  }
}

void
GroupEngine::SubmitWrite(Request aRequest, ResponseHandler aHandler)
{
  Submit(std::make_shared<WriteOperation>(
    *this, std::move(aRequest), std::move(aHandler)));
}

void
GroupEngine::Submit(const std::shared_ptr<Operation>& aOperation)
{
  const auto& request = aOperation->GetRequest();
  Track(aOperation);
  const auto admission = mQueue.Offer(
    { aOperation->Id(), request.mClass.mRank, request.mDeadline }, Now());
  FinishAllWithError(
    mQueue.TakeEvicted(),
    { ErrorKind::QueueFull, "evicted by a request of a class of higher rank" });
  if (admission == Admission::QueueFull) {
    aOperation->FinishWithError(
      { ErrorKind::QueueFull, "the request queue is full" });
    return;
  }
  if (admission == Admission::DeadlineTooClose) {
    aOperation->FinishWithError(
      { ErrorKind::DeadlinePassed,
        "the expected queue wait exceeds the deadline" });
    return;
  }
  Dispatch();
}

void
GroupEngine::Track(const std::shared_ptr<Operation>& aOperation)
{
  mActiveOperations.emplace(aOperation->Id(), aOperation);
  if (!mTickTimer.isActive()) {
    mTickTimer.start(kTickInterval);
  }
}

void
GroupEngine::FinishAllWithError(const std::vector<uint64_t>& aIds,
                                const Error& aError)
{
  for (const auto id : aIds) {
    const auto it = mActiveOperations.find(id);
    if (it != mActiveOperations.end()) {
      const auto operation = it->second;
      operation->FinishWithError(aError);
    }
  }
}

void
GroupEngine::Requeue(Operation& aOperation)
{
  const auto& request = aOperation.GetRequest();
  mQueue.Requeue({ aOperation.Id(), request.mClass.mRank, request.mDeadline });
  RequestEvidence();
  RequestDispatch();
}

void
GroupEngine::Remove(Operation& aOperation)
{
  mQueue.Remove(aOperation.Id());
  mActiveOperations.erase(aOperation.Id());
  if (mActiveOperations.empty()) {
    mTickTimer.stop();
  }
}

void
GroupEngine::RequestEvidence()
{
  for (auto& [key, it] : mUpstreams) {
    it.mProber->RequestReport();
  }
}

void
GroupEngine::RequestDispatch()
{
  if (mQueue.Size() > 0 && !std::exchange(mIsDispatchPosted, true)) {
    QMetaObject::invokeMethod(
      this, [this] { Dispatch(); }, Qt::QueuedConnection);
  }
}

void
GroupEngine::Dispatch()
{
  mIsDispatchPosted = false;
  const auto now = Now();
  bool awaitsEvidence = false;
  for (const auto id : mQueue.Order()) {
    const auto it = mActiveOperations.find(id);
    if (it == mActiveOperations.end()) {
      continue;
    }
    const auto operation = it->second;
    if (operation->TryStart(now) == StartResult::Started) {
      mQueue.Remove(id);
    } else {
      awaitsEvidence = awaitsEvidence || operation->AwaitsEvidence();
    }
  }
  if (awaitsEvidence) {
    RequestEvidence();
  }
}

bool
GroupEngine::MayReceiveWork(const Upstream& aUpstream, Instant aNow) const
{
  const bool isGracePeriodOver =
    aUpstream.mLeavingSince &&
    aNow - *aUpstream.mLeavingSince >= kLeavingGracePeriod;
  return !isGracePeriodOver && aNow - aUpstream.mLastReportAt < kMaxReportAge;
}

std::vector<ReadCandidate>
GroupEngine::Candidates(UsableWhen aUsableWhen) const
{
  const auto now = Now();
  std::vector<ReadCandidate> candidates;
  for (const auto& it : mReports) {
    const auto& upstream = mUpstreams.at(it.mUpstream);
    const auto& pool = *upstream.mPool;
    const bool isLeavingReplica =
      upstream.mLeavingSince && it.mRole != Role::Primary;
    const bool isFree = aUsableWhen == UsableWhen::Reachable ||
                        (pool.HasFreeSlot() && (pool.HasIdleConnection() ||
                                                pool.InUse() < pool.Limit()));
    ReadCandidate candidate;
    candidate.mReport = it;
    candidate.mIsUsable = isFree && pool.IsReachable() && !isLeavingReplica &&
                          MayReceiveWork(upstream, now);
    candidate.mInUse = pool.InUse();
    candidate.mSlots = upstream.mConfiguration.mSlots;
    candidate.mIsSameDomain = upstream.mConfiguration.mFailureDomain ==
                              mControlState.GetSettings().mFailureDomain;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

PooledConnection
GroupEngine::TryAcquire(const std::string& aUpstream, ConnectionUse aUse)
{
  const auto it = mUpstreams.find(aUpstream);
  return it != mUpstreams.end() ? it->second.mPool->TryAcquire(aUse)
                                : PooledConnection();
}

std::optional<std::string>
GroupEngine::WritablePrimary(Instant aNow) const
{
  const auto* primary = FindPrimary(mReports);
  if (!primary || primary->mQuiesced ||
      !MayReceiveWork(mUpstreams.at(primary->mUpstream), aNow)) {
    return std::nullopt;
  }
  return primary->mUpstream;
}

std::optional<GroupEngine::PrimaryConnection>
GroupEngine::TryAcquirePrimary(Instant aNow)
{
  const auto primary = WritablePrimary(aNow);
  if (!primary) {
    return std::nullopt;
  }
  auto connection = TryAcquire(*primary);
  if (!connection) {
    return std::nullopt;
  }
  return PrimaryConnection{ std::move(connection), *primary };
}

QByteArray
GroupEngine::NextRequestId()
{
  static const auto sStartTime = QByteArray::number(
    std::chrono::system_clock::now().time_since_epoch().count());
  return QByteArray::fromStdString(mControlState.GetSettings().mInstance) +
         "/" + sStartTime + "/" + QByteArray::number(quint64(++mLastRequestId));
}

void
GroupEngine::SendCommand(const papayaline::SendCommand& aCommand)
{
  const auto it = mUpstreams.find(aCommand.mUpstream);
  if (it == mUpstreams.end()) {
    return;
  }
  const auto target = mUpstreams.find(aCommand.mTarget);
  const auto address = target != mUpstreams.end()
                         ? target->second.mConfiguration.mReplicationAddress
                         : Address();
  it->second.mProber->Send(
    aCommand, address, [this](const CommandAnswered& aAnswer) {
      Q_EMIT CommandCompleted(QString::fromStdString(mGroup.mName), aAnswer);
    });
}

void
GroupEngine::OnReport(const UpstreamReport& aReport)
{
  const auto now = Now();
  mUpstreams.at(aReport.mUpstream).mLastReportAt = now;
  const auto it =
    std::ranges::find(mReports, aReport.mUpstream, &UpstreamReport::mUpstream);
  if (it != mReports.end()) {
    *it = aReport;
  } else {
    mReports.push_back(aReport);
  }
  RecordFrontiers();
  UpdatePrimary();
  mControlState.SetReports(mGroup.mName, mReports);
  ForwardReport(aReport, now);
  const auto active = mActiveOperations;
  bool awaitsEvidence = false;
  for (const auto& [key, operation] : active) {
    if (!operation->IsFinished()) {
      operation->OnEvidence(now);
      awaitsEvidence = awaitsEvidence || (!operation->IsFinished() &&
                                          operation->AwaitsEvidence());
    }
  }
  if (awaitsEvidence) {
    RequestEvidence();
  }
  if (mQueue.Size() > 0) {
    Dispatch();
  }
}

/// Forwards a report to the failover controller at once when a field changed
/// that failover depends on. Other reports are rate-limited, because under load
/// one arrives every millisecond.
void
GroupEngine::ForwardReport(const UpstreamReport& aReport, Instant aNow)
{
  auto& upstream = mUpstreams.at(aReport.mUpstream);
  const auto& last = upstream.mLastForwardedReport;
  const bool isSignificant = !last || last->mRole != aReport.mRole ||
                             last->mFencedTerm != aReport.mFencedTerm ||
                             last->mFollows != aReport.mFollows ||
                             aReport.mQuiesced ||
                             last->mQuiesced != aReport.mQuiesced;
  const auto* primary = FindPrimary(mReports);
  const bool isSwitching = primary && primary->mQuiesced;
  if (isSignificant || isSwitching ||
      aNow - upstream.mLastForwardedAt >= kReportForwardInterval) {
    upstream.mLastForwardedReport = aReport;
    upstream.mLastForwardedAt = aNow;
    Q_EMIT ReportReceived(QString::fromStdString(mGroup.mName), aReport);
  }
  if (isSwitching) {
    RequestEvidence();
  }
}

/// Tries to confirm a frontier at the request time of each report. Each time
/// gives a different set of reports: a larger set allows a lower position, a
/// smaller one confirms a more recent time.
void
GroupEngine::RecordFrontiers()
{
  for (const auto& it : mReports) {
    const auto frontier =
      ConfirmFrontier(mReports, GroupSize(), it.mRequestedAt);
    if (frontier) {
      mFrontiers.Record(*frontier);
    }
  }
}

/// Switches to the primary of a higher term. Writes that are in flight at the
/// previous primary can't be acknowledged, so its connections are closed and
/// the writes are resolved in the new term.
void
GroupEngine::UpdatePrimary()
{
  const auto* primary = FindPrimary(mReports);
  if (!primary || primary->mFencedTerm <= mPrimaryTerm) {
    return;
  }
  const auto old = std::exchange(mPrimary, primary->mUpstream);
  mPrimaryTerm = primary->mFencedTerm;
  EventRing::Instance().Record("routing",
                               "primary-changed",
                               QString::fromStdString(mGroup.mName),
                               mPrimaryTerm,
                               QString::fromStdString(mPrimary));
  const auto it = mUpstreams.find(old);
  if (it != mUpstreams.end() && old != mPrimary) {
    it->second.mPool->CloseAll();
  }
  RequestDispatch();
}

/// Deletes expired request ids from the ledger. Runs on each failover
/// coordinator of the group, which is harmless because the deletion is
/// idempotent.
void
GroupEngine::ExpireLedger()
{
  const auto now = Now();
  if (mProbeRate != ProbeRate::Fast || !WritablePrimary(now)) {
    return;
  }
  const auto retention =
    std::chrono::duration_cast<std::chrono::seconds>(mGroup.mLedgerRetention);
  Request request;
  request.mStatement = UpstreamDialect::Default().ExpireLedger(
    UnixTimeSeconds() - retention.count());
  request.mClass.mName = "ledger-expiry";
  request.mClass.mRank = kLedgerExpiryRank;
  request.mArrivedAt = now;
  request.mDeadline = now + request.mClass.mTimeout;
  SubmitWrite(std::move(request), [](const Response&) {});
}

void
GroupEngine::OnTick()
{
  const auto now = Now();
  const auto active = mActiveOperations;
  for (const auto& [key, it] : active) {
    if (!it->IsFinished() && now >= it->GetRequest().mDeadline) {
      it->OnDeadline();
    }
  }
  for (auto& [key, it] : mUpstreams) {
    const bool isReportOverdue = now - it.mLastReportAt >= kMaxReportAge;
    const bool isPrimary = it.mConfiguration.mName == mPrimary;
    // Reads in flight at an unresponsive replica fail and are retried at
    // another upstream. Writes at an unresponsive primary stay in flight: only
    // a primary of a higher term determines their outcome.
    if (isReportOverdue && !isPrimary && it.mPool->InUse() > 0) {
      it.mPool->CloseAll();
    }
  }
  Dispatch();
}

}
