#include "LibPeer/PeerServer.h"

#include "LibDecision/Overloaded.h"

#include <algorithm>
#include <utility>

namespace papayaline {

namespace {

/// The instance that has the caller ends transactions that idle; this one does
/// so for instances that can't.
constexpr Duration kIdleSlack = std::chrono::seconds(2);

Error
Unexpected(const std::string& aWhat)
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
    it.mGroup->Abandon(it.mHold);
  }
}

Result<Done>
PeerServer::Session::Handle(const PeerMessage& aMessage)
{
  const bool isHello = std::holds_alternative<PeerHello>(aMessage);
  if (isHello != mPeer.empty()) {
    return Unexpected("greeting missing or repeated");
  }
  return std::visit(
    Overloaded{
      [&](const PeerHello& it) -> Result<Done> {
        if (it.mVersion != PeerHello::kVersion || it.mInstance.empty()) {
          return Unexpected("greeting of another version");
        }
        mPeer = it.mInstance;
        return Done{};
      },
      [&](const ForwardStatement& it) { return Run(it); },
      [&](const CancelStatement& it) -> Result<Done> {
        Cancel(it.mCall);
        return Done{};
      },
      [&](const AbandonTransaction& it) -> Result<Done> {
        Abandon(it.mTransaction);
        return Done{};
      },
      [&](const PeerPing&) -> Result<Done> {
        mSend(PeerPong{});
        return Done{};
      },
      [&](const WatchObjects& it) -> Result<Done> {
        mServer.mStore.Serve(
          it, [weak = weak_from_this()](const ObjectsAnswer& aAnswer) {
            if (const auto self = weak.lock()) {
              self->mSend(aAnswer);
            }
          });
        return Done{};
      },
      [](const auto&) -> Result<Done> {
        return Unexpected("a message that only answers");
      },
    },
    aMessage);
}

Result<Done>
PeerServer::Session::Run(const ForwardStatement& aStatement)
{
  if (mCalls.contains(aStatement.mCall)) {
    return Unexpected("a call under way was repeated");
  }
  const auto now = mServer.mClock();
  RelayRequest request;
  auto state = std::make_shared<SessionState>();
  state->mValues = aStatement.mValues;
  state->mOwnWrite = aStatement.mOwnWrite;
  request.mStatement = aStatement.mStatement;
  request.mSession = state;
  request.mShape = aStatement.mShape;
  request.mRoute = aStatement.mRoute;
  request.mAccess = aStatement.mAccess;
  request.mMode = aStatement.mMode;
  request.mArrivedAt = now - aStatement.mArrivedAgo;
  request.mAskedAt = now - aStatement.mAskedAgo;

  const auto open = mTransactions.find(aStatement.mTransaction);
  const bool isHeld = open != mTransactions.end();
  const auto group = isHeld
                       ? open->second.mGroup
                       : mServer.mRouter.FindGroup(aStatement.mRoute.mGroup);
  if (!group || (aStatement.mTransaction != 0 && !isHeld)) {
    ForwardAnswer declined;
    declined.mCall = aStatement.mCall;
    declined.mIsDeclined = true;
    mSend(declined);
    return Done{};
  }
  ++mServer.mServed;
  mCalls[aStatement.mCall] = { state, group, aStatement.mTransaction };
  // The session may end before the outcome comes.
  auto handler = [weak = weak_from_this(), group, call = aStatement.mCall](
                   const RelayOutcome& aOutcome) {
    if (const auto self = weak.lock()) {
      self->OnOutcome(call, *group, aOutcome);
    } else if (aOutcome.mHold) {
      group->Abandon(aOutcome.mHold);
    }
  };
  if (isHeld) {
    const auto hold = open->second.mHold;
    mTransactions.erase(open);
    group->Continue(hold, std::move(request), std::move(handler));
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
    // It was cancelled; nobody will go on with its transaction.
    if (aOutcome.mHold) {
      aGroup.Abandon(aOutcome.mHold);
    }
    return;
  }
  const auto call = it->second;
  mCalls.erase(it);
  ForwardAnswer answer;
  answer.mCall = aCall;
  answer.mAnswer = aOutcome.mAnswer;
  if (aOutcome.mHold) {
    answer.mTransaction =
      call.mTransaction != 0 ? call.mTransaction : ++mLastTransaction;
    mTransactions[answer.mTransaction] = { call.mGroup,
                                           aOutcome.mHold,
                                           mServer.mClock() };
  }
  mSend(answer);
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
PeerServer::Session::Abandon(uint64_t aTransaction)
{
  const auto it = mTransactions.find(aTransaction);
  if (it != mTransactions.end()) {
    it->second.mGroup->Abandon(it->second.mHold);
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
  const auto limit = configuration->mTransactionIdle + kIdleSlack;
  std::erase_if(mTransactions, [&](const auto& it) {
    const bool isLate = aNow - it.second.mLastAnswerAt >= limit;
    if (isLate) {
      it.second.mGroup->Abandon(it.second.mHold);
    }
    return isLate;
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
  session->mSend(PeerHello{ PeerHello::kVersion, mInstance });
  if (mIsLeaving) {
    session->mSend(PeerLeaving{});
  }
  return session;
}

void
PeerServer::Leave()
{
  mIsLeaving = true;
  std::ranges::for_each(mSessions, [](auto* it) { it->mSend(PeerLeaving{}); });
}

void
PeerServer::AbandonTransactions()
{
  std::ranges::for_each(mSessions, [](auto* it) {
    const auto open = std::exchange(it->mTransactions, {});
    for (const auto& [id, transaction] : open) {
      transaction.mGroup->Abandon(transaction.mHold);
    }
  });
}

size_t
PeerServer::BusyCount() const
{
  size_t n = 0;
  for (const auto* it : mSessions) {
    n += it->BusyCount();
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
