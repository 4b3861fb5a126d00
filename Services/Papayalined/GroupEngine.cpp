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

constexpr auto kTick = 5ms;
/// New work is not given to an upstream that was silent for longer.
constexpr auto kSilenceLimit = 600ms;
/// A leaving upstream gets nothing new after this time.
constexpr auto kLeavingGrace = 3s;
constexpr auto kForwardInterval = 25ms;
/// Below every class of callers.
constexpr unsigned kExpiryRank = 1000;
constexpr Milliseconds kMinExpiry = 1s;
constexpr Milliseconds kMaxExpiry = 60s;
constexpr unsigned kDefaultQueueLimit = 200;

}

GroupEngine::GroupEngine(Blackboard& aBlackboard, GroupConfiguration aGroup)
  : mBlackboard(aBlackboard)
  , mQueue(kDefaultQueueLimit, 1)
{
  connect(&mTick, &QTimer::timeout, this, [this] { OnTick(); });
  mTick.setTimerType(Qt::PreciseTimer);
  connect(&mExpiry, &QTimer::timeout, this, [this] { ExpireLedger(); });
  Configure(aGroup, kDefaultQueueLimit, 1);
}

GroupEngine::~GroupEngine()
{
  const auto active = mActive;
  for (const auto& [key, it] : active) {
    it->Refuse({ ErrorKind::UnknownGroup, "the group was removed" });
  }
}

unsigned
GroupEngine::WorkLimit(const UpstreamConfiguration& aUpstream) const
{
  const auto share = DivideConnections(
    aUpstream.mConnections, mGroup.mConnectionReserve, mLiveInstances);
  return share.mWork;
}

void
GroupEngine::Configure(const GroupConfiguration& aGroup,
                       unsigned aQueueLimit,
                       unsigned aLiveInstances)
{
  mGroup = aGroup;
  mLiveInstances = aLiveInstances;
  mQueue.SetCapacity(aQueueLimit);
  mExpiry.start(
    std::clamp(mGroup.mLedgerRetention / 2, kMinExpiry, kMaxExpiry));
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
    servers += std::min(WorkLimit(it), it.mSlots);
  }
  mQueue.SetServers(servers);
}

void
GroupEngine::AddUpstream(const UpstreamConfiguration& aUpstream)
{
  const auto found = mUpstreams.find(aUpstream.mName);
  const bool isSame =
    found != mUpstreams.end() &&
    found->second.mConfiguration.mAddress == aUpstream.mAddress;
  if (!isSame) {
    mUpstreams.erase(aUpstream.mName);
  }
  auto& upstream = mUpstreams[aUpstream.mName];
  upstream.mConfiguration = aUpstream;
  if (!aUpstream.mIsLeaving) {
    upstream.mLeavingSince.reset();
  } else if (!upstream.mLeavingSince) {
    upstream.mLeavingSince = Now();
  }
  if (isSame) {
    upstream.mPool->SetLimit(WorkLimit(aUpstream));
    return;
  }
  const auto name = aUpstream.mName;
  upstream.mProber = std::make_unique<UpstreamProber>(
    mGroup,
    aUpstream,
    nullptr,
    [this](const UpstreamReport& aReport) { OnReport(aReport); },
    [this, name] {
      Q_EMIT UpstreamFailing(QString::fromStdString(mGroup.mName),
                             QString::fromStdString(name));
    });
  upstream.mProber->SetPace(mPace);
  upstream.mPool = std::make_unique<UpstreamPool>(
    mGroup, aUpstream, WorkLimit(aUpstream), nullptr, [this] {
      RequestDispatch();
    });
}

void
GroupEngine::SetPace(ProbePace aPace)
{
  mPace = aPace;
  for (auto& [key, it] : mUpstreams) {
    it.mProber->SetPace(aPace);
  }
}

uint64_t
GroupEngine::SubmitRead(Request aRequest, AnswerHandler aHandler)
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
    RefuseAll({ aOperationId },
              { ErrorKind::Cancelled, "cancelled on the caller's request" });
  }
}

void
GroupEngine::SubmitWrite(Request aRequest, AnswerHandler aHandler)
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
  RefuseAll(mQueue.TakeEvicted(),
            { ErrorKind::QueueFull, "displaced by a class of higher rank" });
  if (admission == Admission::QueueFull) {
    aOperation->Refuse({ ErrorKind::QueueFull, "too many requests wait" });
    return;
  }
  if (admission == Admission::DeadlineTooClose) {
    aOperation->Refuse(
      { ErrorKind::DeadlinePassed, "the wait would exceed the deadline" });
    return;
  }
  Dispatch();
}

void
GroupEngine::Track(const std::shared_ptr<Operation>& aOperation)
{
  mActive.emplace(aOperation->Id(), aOperation);
  if (!mTick.isActive()) {
    mTick.start(kTick);
  }
}

void
GroupEngine::RefuseAll(const std::vector<uint64_t>& aIds, const Error& aError)
{
  for (const auto id : aIds) {
    const auto it = mActive.find(id);
    if (it != mActive.end()) {
      const auto operation = it->second;
      operation->Refuse(aError);
    }
  }
}

void
GroupEngine::Requeue(Operation& aOperation)
{
  const auto& request = aOperation.GetRequest();
  mQueue.Readmit({ aOperation.Id(), request.mClass.mRank, request.mDeadline });
  RequestEvidence();
  RequestDispatch();
}

void
GroupEngine::Remove(Operation& aOperation)
{
  mQueue.Remove(aOperation.Id());
  mActive.erase(aOperation.Id());
  if (mActive.empty()) {
    mTick.stop();
  }
}

void
GroupEngine::RequestEvidence()
{
  for (auto& [key, it] : mUpstreams) {
    it.mProber->Demand();
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
    const auto it = mActive.find(id);
    if (it == mActive.end()) {
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
  const bool hasLeft =
    aUpstream.mLeavingSince && aNow - *aUpstream.mLeavingSince >= kLeavingGrace;
  return !hasLeft && aNow - aUpstream.mHeardAt < kSilenceLimit;
}

std::vector<ReadCandidate>
GroupEngine::Candidates(Usable aUsable) const
{
  const auto now = Now();
  std::vector<ReadCandidate> candidates;
  for (const auto& it : mReports) {
    const auto& upstream = mUpstreams.at(it.mUpstream);
    const auto& pool = *upstream.mPool;
    const bool isLeavingReplica =
      upstream.mLeavingSince && it.mRole != Role::Primary;
    const bool isFree = aUsable == Usable::Up ||
                        (pool.MayRunStatement() &&
                         (pool.HasIdle() || pool.InUse() < pool.Limit()));
    ReadCandidate candidate;
    candidate.mReport = it;
    candidate.mIsUsable = isFree && pool.IsUp() && !isLeavingReplica &&
                          MayReceiveWork(upstream, now);
    candidate.mInUse = pool.InUse();
    candidate.mSlots = upstream.mConfiguration.mSlots;
    candidate.mIsSameDomain = upstream.mConfiguration.mFailureDomain ==
                              mBlackboard.GetSettings().mFailureDomain;
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
  static const auto sStart = QByteArray::number(
    std::chrono::system_clock::now().time_since_epoch().count());
  return QByteArray::fromStdString(mBlackboard.GetSettings().mInstance) + "/" +
         sStart + "/" + QByteArray::number(quint64(++mLastRequestId));
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
      Q_EMIT CommandAnswer(QString::fromStdString(mGroup.mName), aAnswer);
    });
}

void
GroupEngine::OnReport(const UpstreamReport& aReport)
{
  const auto now = Now();
  mUpstreams.at(aReport.mUpstream).mHeardAt = now;
  const auto it =
    std::ranges::find(mReports, aReport.mUpstream, &UpstreamReport::mUpstream);
  if (it != mReports.end()) {
    *it = aReport;
  } else {
    mReports.push_back(aReport);
  }
  RecordFrontiers();
  FollowPrimary();
  mBlackboard.SetReports(mGroup.mName, mReports);
  ForwardReport(aReport, now);
  const auto active = mActive;
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

/// Tells the failover controller of every change that matters to it, and of the
/// rest at a lower pace, since under load reports arrive every millisecond.
void
GroupEngine::ForwardReport(const UpstreamReport& aReport, Instant aNow)
{
  auto& upstream = mUpstreams.at(aReport.mUpstream);
  const auto& last = upstream.mForwarded;
  const bool isSignificant = !last || last->mRole != aReport.mRole ||
                             last->mFencedTerm != aReport.mFencedTerm ||
                             last->mFollows != aReport.mFollows ||
                             aReport.mQuiesced ||
                             last->mQuiesced != aReport.mQuiesced;
  const auto* primary = FindPrimary(mReports);
  const bool isSwitching = primary && primary->mQuiesced;
  if (isSignificant || isSwitching ||
      aNow - upstream.mForwardedAt >= kForwardInterval) {
    upstream.mForwarded = aReport;
    upstream.mForwardedAt = aNow;
    Q_EMIT Reported(QString::fromStdString(mGroup.mName), aReport);
  }
  if (isSwitching) {
    RequestEvidence();
  }
}

/// Confirms a frontier from each set of the most recent reports: a larger set
/// allows a lower position, a smaller one is fresher.
void
GroupEngine::RecordFrontiers()
{
  for (const auto& it : mReports) {
    const auto frontier = ConfirmFrontier(mReports, GroupSize(), it.mAskedAt);
    if (frontier) {
      mFrontiers.Record(*frontier);
    }
  }
}

/// Once a higher term has a primary, what runs at the older one can't be
/// acknowledged any more and is resolved in the new term.
void
GroupEngine::FollowPrimary()
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
    it->second.mPool->Abandon();
  }
  RequestDispatch();
}

/// Holders delete old request ids; that several do so does no harm.
void
GroupEngine::ExpireLedger()
{
  const auto now = Now();
  if (mPace != ProbePace::Fast || !WritablePrimary(now)) {
    return;
  }
  const auto retention =
    std::chrono::duration_cast<std::chrono::seconds>(mGroup.mLedgerRetention);
  Request request;
  request.mStatement =
    UpstreamDialect::Default().ExpireLedger(WallSeconds() - retention.count());
  request.mClass.mName = "ledger-expiry";
  request.mClass.mRank = kExpiryRank;
  request.mArrivedAt = now;
  request.mDeadline = now + request.mClass.mTimeout;
  SubmitWrite(std::move(request), [](const Answer&) {});
}

void
GroupEngine::OnTick()
{
  const auto now = Now();
  const auto active = mActive;
  for (const auto& [key, it] : active) {
    if (!it->IsFinished() && now >= it->GetRequest().mDeadline) {
      it->OnDeadline();
    }
  }
  for (auto& [key, it] : mUpstreams) {
    const bool isSilent = now - it.mHeardAt >= kSilenceLimit;
    const bool isPrimary = it.mConfiguration.mName == mPrimary;
    // Reads stuck at a silent replica are tried elsewhere. Writes at a silent
    // primary wait for the term to end, which settles them.
    if (isSilent && !isPrimary && it.mPool->InUse() > 0) {
      it.mPool->Abandon();
    }
  }
  Dispatch();
}

}
