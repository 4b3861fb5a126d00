#include "LibPeer/PeerPool.h"

#include "LibDecision/Backoff.h"
#include "LibDecision/Overloaded.h"

#include <algorithm>
#include <utility>

namespace papayaline {

PeerPool::PeerPool(std::string aInstance,
                   PeerOpener aOpener,
                   Clock aClock,
                   LogSink aLog,
                   PeerPoolSettings aSettings)
  : mInstance(std::move(aInstance))
  , mOpener(std::move(aOpener))
  , mClock(std::move(aClock))
  , mLog(std::move(aLog))
  , mSettings(aSettings)
{
}

PeerPool::~PeerPool() = default;

void
PeerPool::SetPeers(const std::vector<InstanceInfo>& aInstances)
{
  for (auto& [name, it] : mPeers) {
    it.mIsListed = false;
  }
  for (const auto& it : aInstances) {
    if (it.mName == mInstance || it.mAddress.empty()) {
      continue;
    }
    auto& peer = mPeers[it.mName];
    const bool hasMoved = peer.mInfo.mAddress != it.mAddress;
    peer.mInfo = it;
    peer.mIsListed = true;
    if (hasMoved && peer.mChannel) {
      Close(it.mName, "it has another address now");
      peer.mFailures = 0;
      peer.mRetryAt = {};
    }
  }
}

bool
PeerPool::IsUsable(const std::string& aPeer) const
{
  const auto it = mPeers.find(aPeer);
  if (it == mPeers.end() || it->second.mIsLeaving) {
    return false;
  }
  // One that failed is used again once it has been reached.
  const auto& peer = it->second;
  return peer.mIsOpen ||
         (peer.mFailures == 0 && (peer.mChannel || mClock() >= peer.mRetryAt));
}

PeerPool::Peer&
PeerPool::Connected(const std::string& aPeer)
{
  auto& peer = mPeers.at(aPeer);
  peer.mLastUsedAt = mClock();
  if (!peer.mChannel) {
    Open(aPeer, peer);
  }
  return peer;
}

void
PeerPool::Open(const std::string& aName, Peer& aPeer)
{
  const auto connection = ++mLastConnection;
  aPeer.mConnection = connection;
  aPeer.mIsOpen = false;
  aPeer.mOpenedAt = mClock();
  aPeer.mPingedAt.reset();
  const auto isCurrent = [this, aName, connection] {
    const auto it = mPeers.find(aName);
    return it != mPeers.end() && it->second.mConnection == connection;
  };
  PeerChannelEvents events;
  events.mOnOpened = [=, this] {
    if (isCurrent()) {
      mPeers.at(aName).mChannel->Send(
        PeerHello{ PeerHello::kVersion, mInstance });
    }
  };
  events.mOnMessage = [=, this](const PeerMessage& aMessage) {
    if (isCurrent()) {
      OnMessage(aName, aMessage);
    }
  };
  events.mOnClosed = [=, this](const Error& aError) {
    if (isCurrent()) {
      Close(aName, aError.mMessage);
    }
  };
  aPeer.mChannel = mOpener(aPeer.mInfo.mAddress, std::move(events));
}

void
PeerPool::Send(Peer& aPeer, PeerMessage aMessage)
{
  if (aPeer.mIsOpen) {
    aPeer.mChannel->Send(aMessage);
  } else {
    aPeer.mQueued.push_back(std::move(aMessage));
  }
}

void
PeerPool::Begin(Peer& aPeer, uint64_t aKey, Call aCall, PeerMessage aMessage)
{
  aCall.mBegan = mClock();
  aCall.mIsSent = aPeer.mIsOpen;
  aPeer.mCalls[aKey] = std::move(aCall);
  Send(aPeer, std::move(aMessage));
}

uint64_t
PeerPool::Run(const std::string& aPeer,
              ForwardStatement aStatement,
              ForwardHandler aHandler)
{
  const auto now = mClock();
  auto& peer = Connected(aPeer);
  aStatement.mCall = ++mLastCall;
  // The answer tells whether it goes on.
  peer.mTransactions.erase(aStatement.mTransaction);
  Call call;
  call.mOnForward = std::move(aHandler);
  call.mDeadline = now - aStatement.mAskedAgo + aStatement.mRoute.mTimeout +
                   mSettings.mAnswerSlack;
  const auto key = aStatement.mCall;
  Begin(peer, key, std::move(call), std::move(aStatement));
  return key;
}

void
PeerPool::Watch(const std::string& aPeer,
                WatchObjects aWatch,
                ObjectsHandler aHandler)
{
  const auto now = mClock();
  auto& peer = Connected(aPeer);
  aWatch.mCall = ++mLastCall;
  Call call;
  call.mOnObjects = std::move(aHandler);
  call.mDeadline = now + aWatch.mWait + mSettings.mAnswerSlack;
  const auto key = aWatch.mCall;
  Begin(peer, key, std::move(call), std::move(aWatch));
}

bool
PeerPool::IsHeld(const ForwardedTransaction& aTransaction) const
{
  const auto it = mPeers.find(aTransaction.mPeer);
  return it != mPeers.end() && it->second.mChannel &&
         it->second.mConnection == aTransaction.mConnection;
}

void
PeerPool::Cancel(uint64_t aKey)
{
  for (auto& [name, it] : mPeers) {
    if (it.mCalls.erase(aKey) > 0) {
      Send(it, CancelStatement{ aKey });
    }
  }
}

void
PeerPool::Abandon(const ForwardedTransaction& aTransaction)
{
  if (IsHeld(aTransaction)) {
    auto& peer = mPeers.at(aTransaction.mPeer);
    peer.mTransactions.erase(aTransaction.mId);
    Send(peer, AbandonTransaction{ aTransaction.mId });
  }
}

void
PeerPool::OnGreeted(Peer& aPeer)
{
  aPeer.mIsOpen = true;
  const auto queued = std::exchange(aPeer.mQueued, {});
  for (auto& [id, it] : aPeer.mCalls) {
    it.mIsSent = true;
  }
  for (const auto& it : queued) {
    aPeer.mChannel->Send(it);
  }
}

void
PeerPool::OnMessage(const std::string& aPeer, const PeerMessage& aMessage)
{
  auto& peer = mPeers.at(aPeer);
  peer.mLastHeardAt = mClock();
  peer.mPingedAt.reset();
  if (peer.mFailures > 0) {
    mLog("peer.regained", { { "peer", aPeer } });
    peer.mFailures = 0;
  }
  std::visit(Overloaded{ [&](const PeerHello&) { OnGreeted(peer); },
                         [&](const ForwardAnswer& it) { OnAnswer(peer, it); },
                         [&](const ObjectsAnswer& it) { OnObjects(peer, it); },
                         [&](const PeerLeaving&) {
                           mLog("peer.leaving", { { "peer", aPeer } });
                           peer.mIsLeaving = true;
                         },
                         // An answer to a ping needs nothing but that it was
                         // heard; what only callers send is not expected here.
                         [](const auto&) {} },
             aMessage);
}

void
PeerPool::OnAnswer(Peer& aPeer, const ForwardAnswer& aAnswer)
{
  const auto it = aPeer.mCalls.find(aAnswer.mCall);
  if (it == aPeer.mCalls.end()) {
    // The caller has left meanwhile.
    if (aAnswer.mTransaction != 0) {
      Send(aPeer, AbandonTransaction{ aAnswer.mTransaction });
    }
    return;
  }
  const auto handler = std::move(it->second.mOnForward);
  aPeer.mCalls.erase(it);
  if (!handler) {
    return;
  }
  ForwardOutcome outcome;
  if (!aAnswer.mIsDeclined) {
    outcome.mKind = ForwardOutcome::Kind::Answered;
    outcome.mAnswer = aAnswer.mAnswer;
  }
  if (aAnswer.mTransaction != 0) {
    aPeer.mTransactions.insert(aAnswer.mTransaction);
    outcome.mTransaction = ForwardedTransaction{ aPeer.mInfo.mName,
                                                 aPeer.mConnection,
                                                 aAnswer.mTransaction };
  }
  handler(outcome);
}

void
PeerPool::OnObjects(Peer& aPeer, const ObjectsAnswer& aAnswer)
{
  const auto it = aPeer.mCalls.find(aAnswer.mCall);
  if (it == aPeer.mCalls.end()) {
    return;
  }
  const auto handler = std::move(it->second.mOnObjects);
  aPeer.mCalls.erase(it);
  if (handler) {
    handler(aAnswer);
  }
}

void
PeerPool::Fail(const Call& aCall)
{
  if (aCall.mOnForward) {
    ForwardOutcome outcome;
    outcome.mKind =
      aCall.mIsSent ? ForwardOutcome::Kind::Lost : ForwardOutcome::Kind::NotRun;
    aCall.mOnForward(outcome);
  }
  if (aCall.mOnObjects) {
    ObjectsAnswer unknown;
    unknown.mIsUnknown = true;
    aCall.mOnObjects(unknown);
  }
}

/// Transactions end with their connection; the peer rolls them back.
void
PeerPool::Close(const std::string& aPeer, const std::string& aReason)
{
  const auto now = mClock();
  auto& peer = mPeers.at(aPeer);
  if (!peer.mIsLeaving) {
    if (peer.mFailures == 0) {
      mLog("peer.lost",
           { { "peer", aPeer },
             { "error", aReason },
             { "calls", std::to_string(peer.mCalls.size()) },
             { "transactions", std::to_string(peer.mTransactions.size()) } });
    }
    constexpr unsigned kMaxDoublings = 5;
    const auto delay = std::min<Duration>(
      mSettings.mRetryDelay * (1 << std::min(peer.mFailures, kMaxDoublings)),
      mSettings.mMaxRetryDelay);
    peer.mRetryAt = now + SpreadDelay(delay, now);
    ++peer.mFailures;
  } else {
    peer.mRetryAt = now + mSettings.mLeavingDelay;
    peer.mIsLeaving = false;
  }
  // Events of the old channel that are still to come are not for the next one.
  peer.mConnection = 0;
  peer.mChannel.reset();
  peer.mIsOpen = false;
  peer.mQueued.clear();
  peer.mTransactions.clear();
  const auto calls = std::exchange(peer.mCalls, {});
  for (const auto& [id, it] : calls) {
    Fail(it);
  }
}

void
PeerPool::CheckSilence(const std::string& aName, Peer& aPeer, Instant aNow)
{
  if (!aPeer.mIsOpen) {
    if (aNow - std::max(aPeer.mOpenedAt, mResumedAt) >=
        mSettings.mOpenTimeout) {
      Close(aName, "opening timed out");
    }
    return;
  }
  // The peer answers a watch when something changes; that is no silence.
  const auto oldest = std::ranges::find_if(aPeer.mCalls, [](const auto& it) {
    return static_cast<bool>(it.second.mOnForward);
  });
  const bool isOwing =
    oldest != aPeer.mCalls.end() || !aPeer.mTransactions.empty();
  if (!isOwing) {
    return;
  }
  const auto since =
    std::max({ oldest != aPeer.mCalls.end() ? oldest->second.mBegan : Instant(),
               aPeer.mLastHeardAt,
               mResumedAt });
  if (aNow - since >= mSettings.mSilence && aPeer.mPingedAt) {
    Close(aName, "silent");
  } else if (aNow - since >= mSettings.mPingAfter && !aPeer.mPingedAt) {
    aPeer.mPingedAt = aNow;
    aPeer.mChannel->Send(PeerPing{});
  }
}

void
PeerPool::ExpireCalls(const std::string& aName, Peer& aPeer, Instant aNow)
{
  // After a pause the answers may have come and wait to be read.
  if (mResumedAt == aNow) {
    return;
  }
  std::vector<Call> late;
  std::erase_if(aPeer.mCalls, [&](auto& it) {
    const bool isLate = aNow >= it.second.mDeadline;
    if (isLate) {
      late.push_back(std::move(it.second));
    }
    return isLate;
  });
  const bool isSilent = std::ranges::any_of(late, [&](const auto& it) {
    return it.mIsSent && aPeer.mLastHeardAt < it.mBegan;
  });
  if (isSilent) {
    Close(aName, "no answer in time");
  }
  std::ranges::for_each(late, Fail);
}

bool
PeerPool::IsIdle(const Peer& aPeer, Instant aNow) const
{
  return aPeer.mCalls.empty() && aPeer.mTransactions.empty() &&
         aNow - aPeer.mLastUsedAt >= mSettings.mIdleTimeout;
}

/// Connects again to a peer that failed, for as long as it was used lately.
void
PeerPool::Reopen(const std::string& aName, Peer& aPeer, Instant aNow)
{
  if (aPeer.mChannel || aPeer.mFailures == 0 || aNow < aPeer.mRetryAt) {
    return;
  }
  if (aPeer.mIsListed && aNow - aPeer.mLastUsedAt < mSettings.mIdleTimeout) {
    Open(aName, aPeer);
  } else {
    aPeer.mFailures = 0;
  }
}

void
PeerPool::Tick()
{
  const auto now = mClock();
  if (!mLastTick || now - *mLastTick > mSettings.mMaxTick) {
    mResumedAt = now;
  }
  mLastTick = now;
  std::vector<std::string> connected;
  for (auto& [name, it] : mPeers) {
    Reopen(name, it, now);
    if (it.mChannel) {
      connected.push_back(name);
    }
  }
  for (const auto& name : connected) {
    auto& peer = mPeers.at(name);
    ExpireCalls(name, peer, now);
    if (peer.mChannel) {
      CheckSilence(name, peer, now);
    }
    if (peer.mChannel && IsIdle(peer, now)) {
      peer.mConnection = 0;
      peer.mChannel.reset();
    }
  }
  std::erase_if(mPeers, [](const auto& it) {
    return !it.second.mIsListed && !it.second.mChannel;
  });
}

}
