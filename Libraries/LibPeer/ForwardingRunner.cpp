#include "LibPeer/ForwardingRunner.h"

#include <algorithm>

namespace papayaline {

namespace {

/// Instances to which one statement is given in turn.
constexpr size_t kMaxForwards = 3;

bool
NeedsPrimary(const RelayRequest& aRequest)
{
  return aRequest.mAccess == Access::Write ||
         aRequest.mMode == TransactionMode::ReadWrite ||
         aRequest.mRoute.mFreshness == Freshness::Latest;
}

/// Whether a database may have kept something once the statement was sent.
bool
MayHaveEffect(const RelayRequest& aRequest)
{
  return aRequest.mStatement.mForm == StatementForm::Commit ||
         (aRequest.mAccess == Access::Write &&
          aRequest.mMode == TransactionMode::None);
}

ForwardStatement
MakeForward(const RelayRequest& aRequest, Instant aNow)
{
  ForwardStatement statement;
  statement.mStatement = aRequest.mStatement;
  statement.mRoute = aRequest.mRoute;
  statement.mAccess = aRequest.mAccess;
  statement.mMode = aRequest.mMode;
  // Rounded down: an arrival that seems later asks for fresher data.
  statement.mArrivedAgo =
    std::chrono::floor<Milliseconds>(aNow - aRequest.mArrivedAt);
  statement.mAskedAgo =
    std::chrono::floor<Milliseconds>(aNow - aRequest.mAskedAt);
  statement.mValues = aRequest.mSession->mValues;
  statement.mOwnWrite = aRequest.mSession->mOwnWrite;
  statement.mShape = aRequest.mShape;
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
{
}

void
ForwardingRunner::Submit(RelayRequest aRequest, OutcomeHandler aHandler)
{
  const auto trip = std::make_shared<Trip>();
  trip->mRequest = std::move(aRequest);
  trip->mHandler = std::move(aHandler);
  Route(trip);
}

void
ForwardingRunner::Route(const TripPointer& aTrip)
{
  const auto peer = ChooseInstance(*aTrip);
  if (peer && *peer != mHomes.Self().mName) {
    Forward(aTrip, *peer, 0);
  } else {
    RunHere(aTrip);
  }
}

/// This instance when nothing else is known to serve.
std::optional<std::string>
ForwardingRunner::ChooseInstance(const Trip& aTrip) const
{
  const auto& plan = mHomes.PlanOf(*mGroup);
  const auto& self = mHomes.Self();
  const bool isExhausted = aTrip.mTried.size() >= kMaxForwards;
  if (isExhausted || (plan.mAreAllHome && !aTrip.mWasRefusedHere)) {
    return std::nullopt;
  }
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
        ? !aTrip.mWasRefusedHere
        : !aTrip.mTried.contains(it.mName) && mPeers.IsUsable(it.mName);
    candidates.push_back(candidate);
  }
  const auto choice = ChooseHome({ mGroup->Name(),
                                   self.mName,
                                   self.mFailureDomain,
                                   HomeDirectory::PrimaryDomain(*mGroup),
                                   NeedsPrimary(aTrip.mRequest) },
                                 candidates);
  return choice ? std::optional(candidates[*choice].mName) : std::nullopt;
}

void
ForwardingRunner::RunHere(const TripPointer& aTrip)
{
  mGroup->Submit(aTrip->mRequest, [=, this](const RelayOutcome& aOutcome) {
    const auto& error = aOutcome.mAnswer.mError;
    if (error && !aTrip->mWasRefusedHere && MayTryElsewhere(*aTrip, *error)) {
      aTrip->mWasRefusedHere = true;
      if (const auto peer = ChooseInstance(*aTrip)) {
        ++mCounts.mDetours;
        Forward(aTrip, *peer, 0);
        return;
      }
    }
    Finish(aTrip, aOutcome);
  });
}

/// Whether an instance refused a statement because it is cut off, early enough
/// for another to run it.
bool
ForwardingRunner::MayTryElsewhere(const Trip& aTrip, const Error& aError) const
{
  const auto& request = aTrip.mRequest;
  const bool isCutOff = aError.mKind == ErrorKind::NoUpstream ||
                        aError.mKind == ErrorKind::TooStale;
  return isCutOff && mClock() - request.mAskedAt < request.mRoute.mTimeout / 2;
}

void
ForwardingRunner::Forward(const TripPointer& aTrip,
                          const std::string& aPeer,
                          uint64_t aTransaction)
{
  ++(aTrip->mTried.empty() ? mCounts.mForwarded : mCounts.mRerouted);
  aTrip->mTried.insert(aPeer);
  auto statement = MakeForward(aTrip->mRequest, mClock());
  statement.mTransaction = aTransaction;
  mTrips.push_back(aTrip);
  aTrip->mCall = mPeers.Run(
    aPeer, std::move(statement), [=, this](const ForwardOutcome& aOutcome) {
      aTrip->mCall = 0;
      std::erase(mTrips, aTrip);
      OnOutcome(aTrip, aPeer, aOutcome);
    });
}

void
ForwardingRunner::OnOutcome(const TripPointer& aTrip,
                            const std::string& aPeer,
                            const ForwardOutcome& aOutcome)
{
  switch (aOutcome.mKind) {
    case ForwardOutcome::Kind::Answered: {
      const auto& error = aOutcome.mAnswer.mError;
      if (error && !aTrip->mIsContinued && MayTryElsewhere(*aTrip, *error)) {
        Route(aTrip);
        return;
      }
      RelayOutcome outcome{ aOutcome.mAnswer, {} };
      if (aOutcome.mTransaction) {
        outcome.mHold = std::make_shared<TransactionHold>();
        outcome.mHold->mForwarded = aOutcome.mTransaction;
      }
      Finish(aTrip, outcome);
      return;
    }
    case ForwardOutcome::Kind::NotRun:
      OnNotRun(aTrip, aPeer);
      return;
    case ForwardOutcome::Kind::Lost:
      OnLost(aTrip, aPeer);
      return;
  }
}

void
ForwardingRunner::OnNotRun(const TripPointer& aTrip, const std::string& aPeer)
{
  if (aTrip->mIsContinued) {
    Refuse(
      aTrip, aPeer, { ErrorKind::UpstreamLost, "the transaction has ended" });
  } else {
    Route(aTrip);
  }
}

void
ForwardingRunner::OnLost(const TripPointer& aTrip, const std::string& aPeer)
{
  const auto& request = aTrip->mRequest;
  if (MayHaveEffect(request)) {
    Refuse(aTrip,
           aPeer,
           { ErrorKind::OutcomeUnknown, "the instance that ran it was lost" });
  } else if (aTrip->mIsContinued || request.mAccess == Access::Write) {
    // The transaction is rolled back with the connection.
    Refuse(aTrip,
           aPeer,
           { ErrorKind::UpstreamLost, "the instance that ran it was lost" });
  } else {
    Route(aTrip);
  }
}

void
ForwardingRunner::Refuse(const TripPointer& aTrip,
                         const std::string& aPeer,
                         const Error& aError)
{
  const auto& request = aTrip->mRequest;
  const auto waited =
    std::chrono::duration_cast<Milliseconds>(mClock() - request.mAskedAt);
  mLog("request.lost",
       { { "request", request.mStatement.mId },
         { "group", mGroup->Name() },
         { "peer", aPeer },
         { "error", std::string(AnswerFor(aError.mKind).mName) },
         { "waitedMs", std::to_string(waited.count()) } });
  RelayOutcome outcome;
  outcome.mAnswer.mError = aError;
  Finish(aTrip, outcome);
}

void
ForwardingRunner::Finish(const TripPointer& aTrip, const RelayOutcome& aOutcome)
{
  const auto handler = std::exchange(aTrip->mHandler, nullptr);
  handler(aOutcome);
}

void
ForwardingRunner::Continue(const std::shared_ptr<TransactionHold>& aHold,
                           RelayRequest aRequest,
                           OutcomeHandler aHandler)
{
  if (!aHold->mForwarded) {
    mGroup->Continue(aHold, std::move(aRequest), std::move(aHandler));
    return;
  }
  const auto transaction = *aHold->mForwarded;
  const auto trip = std::make_shared<Trip>();
  trip->mRequest = std::move(aRequest);
  trip->mHandler = std::move(aHandler);
  trip->mIsContinued = true;
  if (!mPeers.IsHeld(transaction)) {
    Refuse(trip,
           transaction.mPeer,
           { ErrorKind::UpstreamLost, "the transaction's instance was lost" });
    return;
  }
  Forward(trip, transaction.mPeer, transaction.mId);
}

void
ForwardingRunner::Cancel(const SessionState& aSession)
{
  std::erase_if(mTrips, [&](const auto& it) {
    const bool isCancelled = it->mRequest.mSession.get() == &aSession;
    if (isCancelled) {
      mPeers.Cancel(it->mCall);
    }
    return isCancelled;
  });
  mGroup->Cancel(aSession);
}

void
ForwardingRunner::Abandon(const std::shared_ptr<TransactionHold>& aHold)
{
  if (aHold->mForwarded) {
    mPeers.Abandon(*aHold->mForwarded);
  } else {
    mGroup->Abandon(aHold);
  }
}

}
