#include "LibPeer/PeerServer.h"

#include "LibDecision/Overloaded.h"

#include <algorithm>
#include <utility>

namespace papayaline {

namespace {

/// The forwarding instance rolls back idle transactions itself. This instance
/// does so after an additional margin, in case the other one is frozen.
constexpr Duration kIdleTimeoutMargin = std::chrono::seconds(2);

Error
MakeProtocolViolation(const std::string& aWhat)
{
  return { ErrorKind::ProtocolViolation, aWhat };
}

}

PeerServer::Session::Session(PeerServer& aServer, Sender aSend)
  : mServer(aServer)
  , mSend(std::move(aSend))
{
  mServer.mSessions.insert(this);
}

PeerServer::Session::~Session()
{
  mServer.mSessions.erase(this);
  for (const auto& [id, it] : mCalls) {
    it.mGroup->Cancel(*it.mState);
  }
  for (const auto& [id, it] : mTransactions) {
    it.mGroup->RollBack(it.mTransaction);
  }
}

Result<Done>
PeerServer::Session::Handle(const PeerMessage& aMessage)
{
  const bool isHello = std::holds_alternative<PeerHello>(aMessage);
  if (isHello != mPeer.empty()) {
    return MakeProtocolViolation("hello message missing or repeated");
  }
  return std::visit(
    Overloaded{
      [&](const PeerHello& it) -> Result<Done> {
        if (it.mVersion != PeerHello::kVersion || it.mInstance.empty()) {
          return MakeProtocolViolation("hello message with another protocol "
                                       "version or without an instance name");
        }
        mPeer = it.mInstance;
        return Done{};
      },
      [&](const ForwardStatement& it) { return RunStatement(it); },
      [&](const CancelStatement& it) -> Result<Done> {
        Cancel(it.mCall);
        return Done{};
      },
      [&](const RollBackTransaction& it) -> Result<Done> {
        RollBack(it.mTransaction);
        return Done{};
      },
      [&](const PeerPing&) -> Result<Done> {
        mSend(PeerPong{ mServer.mClock() });
        return Done{};
      },
      [&](const WatchObjects& it) -> Result<Done> {
        mServer.mStore.ServeWatch(
          it, [weak = weak_from_this()](const ObjectsAnswer& aAnswer) {
            if (const auto self = weak.lock()) {
              self->mSend(aAnswer);
            }
          });
        return Done{};
      },
      [&](const QuotaRequest& it) -> Result<Done> {
        ServeQuota(it);
        return Done{};
      },
      [](const auto&) -> Result<Done> {
        return MakeProtocolViolation(
          "message that only the accepting instance may send");
      },
    },
    aMessage);
}

Result<Done>
PeerServer::Session::RunStatement(const ForwardStatement& aStatement)
{
  if (mCalls.contains(aStatement.mCall)) {
    return MakeProtocolViolation("id of a call in flight was used again");
  }
  const auto now = mServer.mClock();
  RelayRequest request;
  auto state = std::make_shared<SessionState>();
  state->mValues = aStatement.mValues;
  if (aStatement.mLastWritePosition) {
    state->RecordWrite(aStatement.mRoute.mGroup,
                       *aStatement.mLastWritePosition);
  }
  request.mStatement = aStatement.mStatement;
  request.mSession = state;
  request.mPreparedQuery = aStatement.mPreparedQuery;
  request.mRoute = aStatement.mRoute;
  request.mAuthority.mAccount = aStatement.mAccount;
  request.mAuthority.mAccountRank = aStatement.mAccountRank;
  request.mAuthority.mConfirmedAt = aStatement.mConfirmedAt;
  request.mAccess = aStatement.mAccess;
  request.mMode = aStatement.mMode;
  request.mStartedAt = now - aStatement.mStartedAgo;
  request.mReceivedAt = now - aStatement.mReceivedAgo;

  const auto open = mTransactions.find(aStatement.mTransaction);
  const bool isContinued = open != mTransactions.end();
  const auto group = isContinued
                       ? open->second.mGroup
                       : mServer.mRouter.FindGroup(aStatement.mRoute.mGroup);
  // Instances of an older version don't tell the account.
  const bool lacksAccount = aStatement.mAccount.empty() &&
                            mServer.mRouter.NeedsAccount(aStatement.mRoute);
  const bool isDeclined =
    !isContinued && (mServer.mIsDeclining || lacksAccount);
  if (!group || isDeclined || (aStatement.mTransaction != 0 && !isContinued)) {
    ForwardAnswer declined;
    declined.mCall = aStatement.mCall;
    declined.mIsDeclined = true;
    mSend(declined);
    return Done{};
  }
  ++mServer.mServedCount;
  mCalls[aStatement.mCall] = {
    state, group, aStatement.mTransaction, request.Kind()
  };
  // The session may be destroyed before the outcome arrives.
  auto handler = [weak = weak_from_this(), group, call = aStatement.mCall](
                   const RelayOutcome& aOutcome) {
    if (const auto self = weak.lock()) {
      self->OnOutcome(call, *group, aOutcome);
    } else if (aOutcome.mTransaction) {
      group->RollBack(aOutcome.mTransaction);
    }
  };
  if (isContinued) {
    const auto transaction = open->second.mTransaction;
    mTransactions.erase(open);
    group->Continue(transaction, std::move(request), std::move(handler));
  } else {
    group->Submit(std::move(request), std::move(handler));
  }
  return Done{};
}

void
PeerServer::Session::OnOutcome(uint64_t aCall,
                               RelayGroup& aGroup,
                               const RelayOutcome& aOutcome)
{
  const auto it = mCalls.find(aCall);
  if (it == mCalls.end()) {
    // The call was cancelled, so no statement will continue the transaction.
    if (aOutcome.mTransaction) {
      aGroup.RollBack(aOutcome.mTransaction);
    }
    return;
  }
  const auto call = it->second;
  mCalls.erase(it);
  ForwardAnswer answer;
  answer.mCall = aCall;
  answer.mAnswer = aOutcome.mAnswer;
  answer.mLoad = aGroup.LoadOf(call.mKind);
  answer.mClock = mServer.mClock();
  if (aOutcome.mTransaction) {
    answer.mTransaction =
      call.mTransaction != 0 ? call.mTransaction : ++mLastTransaction;
    mTransactions[answer.mTransaction] = { call.mGroup,
                                           aOutcome.mTransaction,
                                           mServer.mClock() };
  }
  mSend(answer);
}

void
PeerServer::Session::ServeQuota(const QuotaRequest& aRequest)
{
  if (!mServer.mQuota) {
    mSend(QuotaAnswer{ aRequest.mCall, 0, {} });
    return;
  }
  mServer.mQuota->ServeQuota(
    aRequest, [weak = weak_from_this()](const QuotaAnswer& aAnswer) {
      if (const auto self = weak.lock()) {
        self->mSend(aAnswer);
      }
    });
}

void
PeerServer::Session::Cancel(uint64_t aCall)
{
  const auto it = mCalls.find(aCall);
  if (it != mCalls.end()) {
    it->second.mGroup->Cancel(*it->second.mState);
    mCalls.erase(it);
  }
}

void
PeerServer::Session::RollBack(uint64_t aTransaction)
{
  const auto it = mTransactions.find(aTransaction);
  if (it != mTransactions.end()) {
    it->second.mGroup->RollBack(it->second.mTransaction);
    mTransactions.erase(it);
  }
}

void
PeerServer::Session::ExpireTransactions(Instant aNow)
{
  const auto* configuration = mServer.mRouter.Configuration();
  if (!configuration) {
    return;
  }
  const auto limit = configuration->mTransactionIdle + kIdleTimeoutMargin;
  std::erase_if(mTransactions, [&](const auto& it) {
    const bool isExpired = aNow - it.second.mLastAnswerAt >= limit;
    if (isExpired) {
      it.second.mGroup->RollBack(it.second.mTransaction);
    }
    return isExpired;
  });
}

PeerServer::PeerServer(std::string aInstance,
                       RelayRouter& aRouter,
                       SharedObjectStore& aStore,
                       Clock aClock)
  : mInstance(std::move(aInstance))
  , mRouter(aRouter)
  , mStore(aStore)
  , mClock(std::move(aClock))
{
}

std::shared_ptr<PeerServer::Session>
PeerServer::Accept(Sender aSend)
{
  auto session = std::make_shared<Session>(*this, std::move(aSend));
  session->mSend(PeerHello{
    PeerHello::kVersion, mInstance, PeerHello::kFeatureLevel, mClock() });
  if (mIsLeaving) {
    session->mSend(PeerLeaving{});
  }
  return session;
}

void
PeerServer::AnnounceShutdown()
{
  mIsLeaving = true;
  std::ranges::for_each(mSessions, [](auto* it) { it->mSend(PeerLeaving{}); });
}

void
PeerServer::RollBackTransactions()
{
  std::ranges::for_each(mSessions, [](auto* it) {
    const auto open = std::exchange(it->mTransactions, {});
    for (const auto& [id, transaction] : open) {
      transaction.mGroup->RollBack(transaction.mTransaction);
    }
  });
}

size_t
PeerServer::InFlightCount() const
{
  size_t n = 0;
  for (const auto* it : mSessions) {
    n += it->InFlightCount();
  }
  return n;
}

void
PeerServer::Tick()
{
  const auto now = mClock();
  std::ranges::for_each(mSessions,
                        [=](auto* it) { it->ExpireTransactions(now); });
}

}
