#include "LibPeer/ForwardingRunner.h"

#include <algorithm>

namespace papayaline {

namespace {

/// Maximum number of instances that one statement is forwarded to.
constexpr size_t kMaxForwards = 3;

/// Spreads statements evenly over 0 up to 1.
double
DrawFor(const std::string& aId)
{
  constexpr size_t kSteps = 1 << 16;
  return static_cast<double>(std::hash<std::string>()(aId) % kSteps) / kSteps;
}

HomeTraffic
TrafficOf(const RelayRequest& aRequest)
{
  return aRequest.Kind() == QueueKind::AtPrimary ? HomeTraffic::NeedsPrimary
                                                 : HomeTraffic::Read;
}

size_t
SizeOf(const RelayRequest& aRequest, const StatementAnswer& aAnswer)
{
  auto size = aRequest.mStatement.mText.size();
  for (const auto& it : aAnswer.mRows) {
    size += it.size();
  }
  return size;
}

/// Whether the route's timeout has passed. Nobody waits for the answer then.
bool
IsOverdue(const RelayRequest& aRequest, Instant aNow)
{
  return aNow - aRequest.mReceivedAt >= aRequest.mRoute.mTimeout;
}

ForwardStatement
MakeForwardStatement(const RelayRequest& aRequest, Instant aNow)
{
  ForwardStatement statement;
  statement.mStatement = aRequest.mStatement;
  statement.mRoute = aRequest.mRoute;
  statement.mAccess = aRequest.mAccess;
  statement.mMode = aRequest.mMode;
  // The ages are rounded down, since a later arrival requires fresher data.
  statement.mStartedAgo =
    std::chrono::floor<Milliseconds>(aNow - aRequest.mStartedAt);
  statement.mReceivedAgo =
    std::chrono::floor<Milliseconds>(aNow - aRequest.mReceivedAt);
  statement.mValues = aRequest.mSession->mValues;
  statement.mLastWritePosition =
    aRequest.mSession->LastWriteIn(aRequest.mRoute.mGroup);
  statement.mPreparedQuery = aRequest.mPreparedQuery;
  statement.mAccount = aRequest.mAuthority.mAccount;
  statement.mAccountRank = aRequest.mAuthority.mAccountRank;
  // On this instance's clock; PeerPool converts it.
  statement.mConfirmedAt = aRequest.mAuthority.mConfirmedAt;
  return statement;
}

}

ForwardingRunner::ForwardingRunner(std::shared_ptr<RelayGroup> aGroup,
                                   HomeDirectory& aHomes,
                                   PeerPool& aPeers,
                                   PeerPool::Clock aClock,
                                   PeerPool::LogSink aLog,
                                   ForwardCounts& aCounts)
  : mGroup(std::move(aGroup))
  , mHomes(aHomes)
  , mPeers(aPeers)
  , mClock(std::move(aClock))
  , mLog(std::move(aLog))
  , mCounts(aCounts)
  , mExchange(mGroup->Name(), mHomes.Self().mName, mLog)
{
}

void
ForwardingRunner::Submit(RelayRequest aRequest, OutcomeHandler aHandler)
{
  const auto pending = std::make_shared<PendingRequest>();
  pending->mRequest = std::move(aRequest);
  pending->mHandler = std::move(aHandler);
  const auto choice = ChooseFirst(pending);
  if (choice.IsError()) {
    RefuseForWait(pending, choice.GetError());
  } else {
    Send(pending, choice.Value());
  }
}

void
ForwardingRunner::Send(const PendingRequestPointer& aPending,
                       const std::optional<std::string>& aInstance)
{
  if (aInstance && *aInstance != mHomes.Self().mName) {
    Forward(aPending, *aInstance, 0);
  } else {
    RunLocally(aPending);
  }
}

Result<std::optional<std::string>>
ForwardingRunner::ChooseFirst(const PendingRequestPointer& aPending)
{
  if (mHomes.PlanOf(*mGroup).mAreAllHome) {
    return std::optional<std::string>();
  }
  const auto candidates = Candidates(*aPending);
  const auto nearest = ChooseHome(RequirementsOf(*aPending), candidates);
  if (!nearest) {
    return std::optional<std::string>();
  }
  const auto preferred = ChooseDomain(aPending, candidates, *nearest);
  const auto home = ChooseForWait(*aPending, candidates, preferred);
  if (home.IsError() || home.Value() != preferred) {
    EndExchange(*aPending, HomeExchange::Ending::Other);
  }
  return std::optional(candidates[PL_TRY(home)].mName);
}

size_t
ForwardingRunner::ChooseDomain(const PendingRequestPointer& aPending,
                               std::span<const HomeCandidate> aCandidates,
                               size_t aNearest)
{
  const auto& nearest = aCandidates[aNearest];
  const auto requirements = RequirementsOf(*aPending);
  std::vector<HomeCandidate> others(aCandidates.begin(), aCandidates.end());
  for (auto& it : others) {
    it.mIsUsable =
      it.mIsUsable && it.mIsHome && it.mFailureDomain != nearest.mFailureDomain;
  }
  const auto far = ChooseHome(requirements, others);
  const auto traffic = TrafficOf(aPending->mRequest);
  const auto now = mClock();
  if (!far || !nearest.mIsHome) {
    mExchange.OnNoAlternative(traffic, now);
    return aNearest;
  }
  const auto distanceTo = [&](const HomeCandidate& aHome) {
    return mHomes.GetTopology().Between(requirements.mFailureDomain,
                                        aHome.mFailureDomain);
  };
  aPending->mSentAt = now;
  aPending->mExchanged =
    mExchange.Choose(traffic,
                     { nearest.mName,
                       aCandidates[*far].mName,
                       distanceTo(nearest),
                       distanceTo(aCandidates[*far]) },
                     aPending->mRequest.mRoute.mTargetLatency,
                     now);
  const bool isLeaving = aPending->mExchanged->mHome != nearest.mName;
  mCounts.mLeft += isLeaving ? 1 : 0;
  if (const auto share = mExchange.Share(); share > 0) {
    mCounts.mLeavingShares[mGroup->Name()] = share;
  } else {
    mCounts.mLeavingShares.erase(mGroup->Name());
  }
  return isLeaving ? *far : aNearest;
}

/// Tells mExchange how the first attempt of a statement ended. Later calls have
/// no effect.
void
ForwardingRunner::EndExchange(PendingRequest& aPending,
                              HomeExchange::Ending aEnding)
{
  if (const auto choice = std::exchange(aPending.mExchanged, std::nullopt)) {
    const auto now = mClock();
    mExchange.OnEnded(TrafficOf(aPending.mRequest),
                      *choice,
                      aEnding,
                      now - aPending.mSentAt,
                      aPending.mRequest.mRoute.mTargetLatency,
                      now);
  }
}

/// Runs a statement again that has had no effect at aPeer, unless the route's
/// timeout has passed.
void
ForwardingRunner::Reroute(const PendingRequestPointer& aPending,
                          const std::string& aPeer)
{
  if (IsOverdue(aPending->mRequest, mClock())) {
    FinishWithError(
      aPending,
      aPeer,
      { ErrorKind::DeadlinePassed, "no instance ran the statement in time" });
  } else {
    Send(aPending, ChooseInstance(*aPending));
  }
}

/// Returns the instance that is to run the statement; it may be this one. Empty
/// when all instances are home to the group and this one has not refused the
/// statement, when kMaxForwards instances were tried, or when none is usable.
std::optional<std::string>
ForwardingRunner::ChooseInstance(const PendingRequest& aPending) const
{
  const auto& plan = mHomes.PlanOf(*mGroup);
  const bool isExhausted = aPending.mTriedPeers.size() >= kMaxForwards;
  if (isExhausted || (plan.mAreAllHome && !aPending.mWasRefusedLocally)) {
    return std::nullopt;
  }
  const auto candidates = Candidates(aPending);
  const auto choice = ChooseHome(RequirementsOf(aPending), candidates);
  return choice ? std::optional(candidates[*choice].mName) : std::nullopt;
}

std::vector<HomeCandidate>
ForwardingRunner::Candidates(const PendingRequest& aPending) const
{
  const auto& plan = mHomes.PlanOf(*mGroup);
  const auto& self = mHomes.Self();
  std::vector<HomeCandidate> candidates;
  for (size_t n = 0; n < plan.mRanked.size(); ++n) {
    const auto& it = plan.mRanked[n];
    HomeCandidate candidate;
    candidate.mName = it.mName;
    candidate.mFailureDomain = it.mFailureDomain;
    candidate.mIsHome = n < plan.mHomes;
    candidate.mIsSelf = it.mName == self.mName;
    candidate.mIsUsable =
      candidate.mIsSelf
        ? !aPending.mWasRefusedLocally
        : !aPending.mTriedPeers.contains(it.mName) && mPeers.IsUsable(it.mName);
    candidates.push_back(candidate);
  }
  return candidates;
}

HomeRequirements
ForwardingRunner::RequirementsOf(const PendingRequest& aPending) const
{
  const auto& self = mHomes.Self();
  return { mGroup->Name(),
           self.mName,
           self.mFailureDomain,
           HomeDirectory::PrimaryDomain(*mGroup),
           aPending.mRequest.Kind() == QueueKind::AtPrimary,
           aPending.mRequest.mAuthority.mAccount,
           HomeDirectory::HasReplicaBesidePrimary(*mGroup),
           &mHomes.GetTopology() };
}

Result<size_t>
ForwardingRunner::ChooseForWait(const PendingRequest& aPending,
                                std::span<const HomeCandidate> aCandidates,
                                size_t aPreferred)
{
  const auto& request = aPending.mRequest;
  std::vector<size_t> homes;
  std::vector<HomeWait> waits;
  for (size_t n = 0; n < aCandidates.size(); ++n) {
    const auto& it = aCandidates[n];
    if (it.mIsUsable && (it.mIsHome || n == aPreferred)) {
      homes.push_back(n);
      waits.push_back({ WaitAt(it.mName, request) });
    }
  }
  const auto preferred = std::ranges::find(homes, aPreferred) - homes.begin();
  const auto timeLeft =
    request.mReceivedAt + request.mRoute.mTimeout - mClock();
  const auto choice =
    ChooseByWait(waits, preferred, timeLeft, DrawFor(request.mStatement.mId));
  if (!choice) {
    return Error{ ErrorKind::QueueFull,
                  "no home is expected to serve the statement in time" };
  }
  mCounts.mMovedForWait += homes[*choice] != aPreferred ? 1 : 0;
  return homes[*choice];
}

std::optional<Duration>
ForwardingRunner::WaitAt(const std::string& aHome,
                         const RelayRequest& aRequest) const
{
  const auto rank = aRequest.mRoute.mRank;
  if (aHome != mHomes.Self().mName) {
    return mNews.WaitAt(aHome, aRequest.Kind(), rank, mClock());
  }
  const auto load = mGroup->LoadOf(aRequest.Kind());
  return load ? load->WaitOf(rank) : std::nullopt;
}

void
ForwardingRunner::RefuseForWait(const PendingRequestPointer& aPending,
                                const Error& aError)
{
  const auto& request = aPending->mRequest;
  const auto waited =
    std::chrono::duration_cast<Milliseconds>(mClock() - request.mReceivedAt);
  ++mCounts.mRefusedForWait;
  mLog("request.refused",
       { { "request", request.mStatement.mId },
         { "group", mGroup->Name() },
         { "database", request.mRoute.mDatabase },
         { "error", std::string(AnswerFor(aError.mKind).mName) },
         { "reason", aError.mMessage },
         { "waitedMs", std::to_string(waited.count()) } });
  RelayOutcome outcome;
  outcome.mAnswer.mError = aError;
  Finish(aPending, outcome);
}

void
ForwardingRunner::RunLocally(const PendingRequestPointer& aPending)
{
  mGroup->Submit(aPending->mRequest, [=, this](const RelayOutcome& aOutcome) {
    EndExchange(*aPending, HomeExchange::EndingOf(aOutcome.mAnswer));
    const auto& error = aOutcome.mAnswer.mError;
    if (error && !aPending->mWasRefusedLocally &&
        MayReroute(*aPending, *error)) {
      aPending->mWasRefusedLocally = true;
      if (const auto peer = ChooseInstance(*aPending)) {
        ++mCounts.mDetours;
        Forward(aPending, *peer, 0);
        return;
      }
    }
    Finish(aPending, aOutcome);
  });
}

/// Whether the error says that the instance is partitioned from the group, and
/// enough time remains to run the statement at another one.
bool
ForwardingRunner::MayReroute(const PendingRequest& aPending,
                             const Error& aError) const
{
  const auto& request = aPending.mRequest;
  const bool isPartitioned = aError.mKind == ErrorKind::NoUpstream ||
                             aError.mKind == ErrorKind::TooStale;
  return isPartitioned &&
         mClock() - request.mReceivedAt < request.mRoute.mTimeout / 2;
}

void
ForwardingRunner::Forward(const PendingRequestPointer& aPending,
                          const std::string& aPeer,
                          uint64_t aTransaction)
{
  ++(aPending->mTriedPeers.empty() ? mCounts.mForwarded : mCounts.mRerouted);
  aPending->mTriedPeers.insert(aPeer);
  const auto distance = static_cast<size_t>(mHomes.DistanceTo(*mGroup, aPeer));
  ++mCounts.mByDistance[distance];
  auto statement = MakeForwardStatement(aPending->mRequest, mClock());
  statement.mTransaction = aTransaction;
  mPendingRequests.push_back(aPending);
  aPending->mCallId = mPeers.Forward(
    aPeer, std::move(statement), [=, this](const ForwardOutcome& aOutcome) {
      aPending->mCallId = 0;
      std::erase(mPendingRequests, aPending);
      const bool isAnswered = aOutcome.mKind == ForwardOutcome::Kind::Answered;
      mCounts.mBytesByDistance[distance] +=
        isAnswered ? SizeOf(aPending->mRequest, aOutcome.mAnswer) : 0;
      EndExchange(*aPending,
                  isAnswered ? HomeExchange::EndingOf(aOutcome.mAnswer)
                             : HomeExchange::Ending::Overloaded);
      OnOutcome(aPending, aPeer, aOutcome);
    });
}

void
ForwardingRunner::OnOutcome(const PendingRequestPointer& aPending,
                            const std::string& aPeer,
                            const ForwardOutcome& aOutcome)
{
  if (aOutcome.mLoad) {
    mNews.Record(aPeer, aPending->mRequest.Kind(), *aOutcome.mLoad, mClock());
  }
  switch (aOutcome.mKind) {
    case ForwardOutcome::Kind::Answered: {
      const auto& error = aOutcome.mAnswer.mError;
      if (error && !aPending->mIsInOpenTransaction &&
          MayReroute(*aPending, *error)) {
        Send(aPending, ChooseInstance(*aPending));
        return;
      }
      RelayOutcome outcome{ aOutcome.mAnswer, {} };
      if (aOutcome.mTransaction) {
        outcome.mTransaction = std::make_shared<OpenTransaction>();
        outcome.mTransaction->mForwarded = aOutcome.mTransaction;
      }
      Finish(aPending, outcome);
      return;
    }
    case ForwardOutcome::Kind::NotRun:
      OnNotRun(aPending, aPeer);
      return;
    case ForwardOutcome::Kind::Unknown:
      OnUnknownOutcome(aPending, aPeer);
      return;
  }
}

void
ForwardingRunner::OnNotRun(const PendingRequestPointer& aPending,
                           const std::string& aPeer)
{
  if (aPending->mIsInOpenTransaction) {
    FinishWithError(aPending,
                    aPeer,
                    { ErrorKind::UpstreamLost,
                      "the transaction is not open at its instance" });
  } else {
    Reroute(aPending, aPeer);
  }
}

void
ForwardingRunner::OnUnknownOutcome(const PendingRequestPointer& aPending,
                                   const std::string& aPeer)
{
  const auto& request = aPending->mRequest;
  if (request.MayHaveEffect()) {
    FinishWithError(
      aPending,
      aPeer,
      { ErrorKind::OutcomeUnknown,
        "lost the connection to the instance that ran the statement" });
  } else if (aPending->mIsInOpenTransaction ||
             request.mAccess == Access::Write) {
    // The peer rolls the transaction back when the connection closes.
    FinishWithError(
      aPending,
      aPeer,
      { ErrorKind::UpstreamLost,
        "lost the connection to the instance that ran the statement" });
  } else {
    Reroute(aPending, aPeer);
  }
}

void
ForwardingRunner::FinishWithError(const PendingRequestPointer& aPending,
                                  const std::string& aPeer,
                                  const Error& aError)
{
  const auto& request = aPending->mRequest;
  const auto waited =
    std::chrono::duration_cast<Milliseconds>(mClock() - request.mReceivedAt);
  mLog("request.lost",
       { { "request", request.mStatement.mId },
         { "group", mGroup->Name() },
         { "peer", aPeer },
         { "error", std::string(AnswerFor(aError.mKind).mName) },
         { "waitedMs", std::to_string(waited.count()) } });
  RelayOutcome outcome;
  outcome.mAnswer.mError = aError;
  Finish(aPending, outcome);
}

void
ForwardingRunner::Finish(const PendingRequestPointer& aPending,
                         const RelayOutcome& aOutcome)
{
  const auto handler = std::exchange(aPending->mHandler, nullptr);
  handler(aOutcome);
}

void
ForwardingRunner::Continue(const std::shared_ptr<OpenTransaction>& aTransaction,
                           RelayRequest aRequest,
                           OutcomeHandler aHandler)
{
  if (!aTransaction->mForwarded) {
    mGroup->Continue(aTransaction, std::move(aRequest), std::move(aHandler));
    return;
  }
  const auto forwarded = *aTransaction->mForwarded;
  const auto pending = std::make_shared<PendingRequest>();
  pending->mRequest = std::move(aRequest);
  pending->mHandler = std::move(aHandler);
  pending->mIsInOpenTransaction = true;
  if (!mPeers.IsTransactionAlive(forwarded)) {
    FinishWithError(
      pending,
      forwarded.mPeer,
      { ErrorKind::UpstreamLost,
        "lost the connection to the instance that holds the transaction" });
    return;
  }
  Forward(pending, forwarded.mPeer, forwarded.mId);
}

bool
ForwardingRunner::Cancel(const SessionState& aSession)
{
  bool isUnsent = false;
  std::erase_if(mPendingRequests, [&](const auto& it) {
    const bool isCancelled = it->mRequest.mSession.get() == &aSession;
    if (isCancelled) {
      isUnsent |= mPeers.Cancel(it->mCallId);
      EndExchange(*it, HomeExchange::Ending::Other);
    }
    return isCancelled;
  });
  return mGroup->Cancel(aSession) || isUnsent;
}

void
ForwardingRunner::RollBack(const std::shared_ptr<OpenTransaction>& aTransaction)
{
  if (aTransaction->mForwarded) {
    mPeers.RollBack(*aTransaction->mForwarded);
  } else {
    mGroup->RollBack(aTransaction);
  }
}

}
