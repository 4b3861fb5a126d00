#include "LibPeer/PeerPool.h"

#include "LibDecision/Backoff.h"
#include "LibDecision/Overloaded.h"

#include <algorithm>
#include <utility>

namespace papayaline {

namespace {

/// The feature level of instances that read requests for tokens.
constexpr int kQuotaFeatureLevel = 1;
/// Longer than a request for tokens is valid; the handler ignores late answers.
constexpr Duration kQuotaTimeout = std::chrono::seconds(1);

/// The ages in a forwarded statement are those at the time of sending. They are
/// rounded down; see MakeForwardStatement.
void
AddToAges(PeerMessage& aMessage, Duration aTime)
{
  if (auto* statement = std::get_if<ForwardStatement>(&aMessage)) {
    const auto time = std::chrono::floor<Milliseconds>(aTime);
    statement->mStartedAgo += time;
    statement->mReceivedAgo += time;
  }
}

}

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
    it.mIsInFleet = false;
  }
  for (const auto& it : aInstances) {
    if (it.mName == mInstance || it.mAddress.empty()) {
      continue;
    }
    auto& peer = mPeers[it.mName];
    const bool hasNewAddress = peer.mInfo.mAddress != it.mAddress;
    peer.mInfo = it;
    peer.mIsInFleet = true;
    if (hasNewAddress && peer.mChannel) {
      Close(it.mName, "the address of the peer has changed");
      peer.mConsecutiveFailures = 0;
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
  // A peer that failed is used again only after Reopen has connected to it.
  const auto& peer = it->second;
  return peer.mIsOpen || (peer.mConsecutiveFailures == 0 &&
                          (peer.mChannel || mClock() >= peer.mRetryAt));
}

PeerPool::Peer&
PeerPool::EnsureConnected(const std::string& aPeer)
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
  const auto connection = ++mLastConnectionId;
  aPeer.mConnection = connection;
  aPeer.mIsOpen = false;
  aPeer.mOpenedAt = mLastTick.mRunTime;
  aPeer.mIsPinged = false;
  aPeer.mClockOffset = {};
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
PeerPool::StartCall(Peer& aPeer,
                    uint64_t aCallId,
                    Call aCall,
                    PeerMessage aMessage)
{
  aCall.mStartedAt = mLastTick.mRunTime;
  if (aPeer.mIsOpen) {
    aPeer.mCalls[aCallId] = std::move(aCall);
    Send(aPeer, std::move(aMessage));
  } else {
    aCall.mUnsent = { std::move(aMessage), mClock() };
    aPeer.mCalls[aCallId] = std::move(aCall);
  }
}

uint64_t
PeerPool::Forward(const std::string& aPeer,
                  ForwardStatement aStatement,
                  ForwardHandler aHandler)
{
  const auto now = mClock();
  auto& peer = EnsureConnected(aPeer);
  aStatement.mCall = ++mLastCallId;
  // The answer tells whether the transaction remains open.
  peer.mTransactions.erase(aStatement.mTransaction);
  Call call;
  call.mOnForward = std::move(aHandler);
  call.mDeadline = now - aStatement.mReceivedAgo + aStatement.mRoute.mTimeout +
                   mSettings.mAnswerMargin;
  const auto id = aStatement.mCall;
  StartCall(peer, id, std::move(call), std::move(aStatement));
  return id;
}

void
PeerPool::Watch(const std::string& aPeer,
                WatchObjects aWatch,
                ObjectsHandler aHandler)
{
  const auto now = mClock();
  auto& peer = EnsureConnected(aPeer);
  aWatch.mCall = ++mLastCallId;
  Call call;
  call.mOnObjects = std::move(aHandler);
  call.mDeadline = now + aWatch.mMaxWait + mSettings.mAnswerMargin;
  const auto id = aWatch.mCall;
  StartCall(peer, id, std::move(call), std::move(aWatch));
}

void
PeerPool::AskQuota(const std::string& aPeer,
                   QuotaRequest aRequest,
                   QuotaHandler aHandler)
{
  auto& peer = EnsureConnected(aPeer);
  aRequest.mCall = ++mLastCallId;
  Call call;
  call.mOnQuota = std::move(aHandler);
  call.mDeadline = mClock() + kQuotaTimeout;
  const auto id = aRequest.mCall;
  StartCall(peer, id, std::move(call), std::move(aRequest));
}

std::optional<int>
PeerPool::FeatureLevelOf(const std::string& aPeer) const
{
  const auto it = mPeers.find(aPeer);
  return it != mPeers.end() && it->second.mIsOpen
           ? std::optional(it->second.mFeatureLevel)
           : std::nullopt;
}

bool
PeerPool::IsTransactionAlive(const ForwardedTransaction& aTransaction) const
{
  const auto it = mPeers.find(aTransaction.mPeer);
  return it != mPeers.end() && it->second.mChannel &&
         it->second.mConnection == aTransaction.mConnection;
}

bool
PeerPool::Cancel(uint64_t aCallId)
{
  for (auto& [name, it] : mPeers) {
    const auto call = it.mCalls.find(aCallId);
    if (call == it.mCalls.end()) {
      continue;
    }
    const bool isSent = !call->second.mUnsent;
    it.mCalls.erase(call);
    if (isSent) {
      it.mChannel->Send(CancelStatement{ aCallId });
    }
    return !isSent;
  }
  return false;
}

void
PeerPool::RollBack(const ForwardedTransaction& aTransaction)
{
  if (IsTransactionAlive(aTransaction)) {
    auto& peer = mPeers.at(aTransaction.mPeer);
    peer.mTransactions.erase(aTransaction.mId);
    peer.mChannel->Send(RollBackTransaction{ aTransaction.mId });
  }
}

/// Sends the calls that wait for the connection. After a stall the deadline of
/// some may have passed; they are left to expire as not run.
void
PeerPool::OnHello(Peer& aPeer, const PeerHello& aHello)
{
  const auto now = mClock();
  aPeer.mIsOpen = true;
  aPeer.mFeatureLevel = aHello.mFeatureLevel;
  for (auto& [id, it] : aPeer.mCalls) {
    const bool isUnreadable =
      it.mOnQuota && aPeer.mFeatureLevel < kQuotaFeatureLevel;
    if (!it.mUnsent || now >= it.mDeadline || isUnreadable) {
      continue;
    }
    auto unsent = *std::exchange(it.mUnsent, std::nullopt);
    AddToAges(unsent.mMessage, now - unsent.mQueuedAt);
    Send(aPeer, std::move(unsent.mMessage));
  }
}

/// Sends a message whose instants are on this instance's clock.
void
PeerPool::Send(Peer& aPeer, PeerMessage aMessage) const
{
  if (auto* statement = std::get_if<ForwardStatement>(&aMessage);
      statement && statement->mConfirmedAt) {
    statement->mConfirmedAt =
      aPeer.mClockOffset.ToPeerTime(*statement->mConfirmedAt, mClock());
  }
  aPeer.mChannel->Send(aMessage);
}

void
PeerPool::ObserveClock(Peer& aPeer, const std::optional<Instant>& aClock) const
{
  if (aClock) {
    aPeer.mClockOffset.Observe(*aClock, mClock());
  }
}

void
PeerPool::OnMessage(const std::string& aPeer, const PeerMessage& aMessage)
{
  auto& peer = mPeers.at(aPeer);
  peer.mLastReceivedAt = mLastTick.mRunTime;
  peer.mIsPinged = false;
  if (peer.mConsecutiveFailures > 0) {
    mLog("peer.regained", { { "peer", aPeer } });
    peer.mConsecutiveFailures = 0;
  }
  std::visit(
    Overloaded{ [&](const PeerHello& it) {
                 ObserveClock(peer, it.mClock);
                 OnHello(peer, it);
               },
                [&](const ForwardAnswer& it) {
                  ObserveClock(peer, it.mClock);
                  OnAnswer(peer, it);
                },
                [&](const PeerPong& it) { ObserveClock(peer, it.mClock); },
                [&](const ObjectsAnswer& it) { OnObjects(peer, it); },
                [&](const QuotaAnswer& it) { OnQuota(peer, it); },
                [&](const PeerLeaving&) {
                  mLog("peer.leaving", { { "peer", aPeer } });
                  peer.mIsLeaving = true;
                },
                // Messages that only the connecting side sends are
                // ignored.
                [](const auto&) {} },
    aMessage);
}

void
PeerPool::OnAnswer(Peer& aPeer, const ForwardAnswer& aAnswer)
{
  const auto it = aPeer.mCalls.find(aAnswer.mCall);
  if (it == aPeer.mCalls.end()) {
    // The call was cancelled.
    if (aAnswer.mTransaction != 0) {
      aPeer.mChannel->Send(RollBackTransaction{ aAnswer.mTransaction });
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
    outcome.mLoad = aAnswer.mLoad;
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
PeerPool::OnQuota(Peer& aPeer, const QuotaAnswer& aAnswer)
{
  const auto it = aPeer.mCalls.find(aAnswer.mCall);
  if (it == aPeer.mCalls.end()) {
    return;
  }
  const auto handler = std::move(it->second.mOnQuota);
  aPeer.mCalls.erase(it);
  if (handler) {
    handler(aAnswer);
  }
}

void
PeerPool::FailCall(const Call& aCall, const Error& aError)
{
  if (aCall.mOnForward) {
    ForwardOutcome outcome;
    outcome.mKind = aCall.mUnsent ? ForwardOutcome::Kind::NotRun
                                  : ForwardOutcome::Kind::Unknown;
    aCall.mOnForward(outcome);
  }
  if (aCall.mOnObjects) {
    aCall.mOnObjects(aError);
  }
  if (aCall.mOnQuota) {
    aCall.mOnQuota(aError);
  }
}

/// Closes the connection and fails its calls. The peer rolls back the
/// transactions of the connection.
void
PeerPool::Close(const std::string& aPeer, const std::string& aReason)
{
  const auto now = mClock();
  auto& peer = mPeers.at(aPeer);
  if (!peer.mIsLeaving) {
    if (peer.mConsecutiveFailures == 0) {
      mLog("peer.lost",
           { { "peer", aPeer },
             { "error", aReason },
             { "calls", std::to_string(peer.mCalls.size()) },
             { "transactions", std::to_string(peer.mTransactions.size()) } });
    }
    constexpr unsigned kMaxDoublings = 5;
    const auto delay = std::min<Duration>(
      mSettings.mRetryDelay *
        (1 << std::min(peer.mConsecutiveFailures, kMaxDoublings)),
      mSettings.mMaxRetryDelay);
    peer.mRetryAt = now + AddJitter(delay, now);
    ++peer.mConsecutiveFailures;
  } else {
    peer.mRetryAt = now + mSettings.mLeavingRetryDelay;
    peer.mIsLeaving = false;
  }
  // Late events of the old channel must not reach the next one.
  peer.mConnection = 0;
  peer.mChannel.reset();
  peer.mIsOpen = false;
  peer.mTransactions.clear();
  const auto calls = std::exchange(peer.mCalls, {});
  for (const auto& [id, it] : calls) {
    FailCall(it, { ErrorKind::Unreachable, aReason });
  }
}

void
PeerPool::CheckLiveness(const std::string& aName, Peer& aPeer, Instant aRunTime)
{
  if (!aPeer.mIsOpen) {
    if (aRunTime - aPeer.mOpenedAt >= mSettings.mOpenTimeout) {
      Close(aName, "opening timed out");
    }
    return;
  }
  // A watch is answered only when something changes, so a late answer to a
  // watch is no sign of a failure.
  const auto oldest = std::ranges::find_if(aPeer.mCalls, [](const auto& it) {
    return static_cast<bool>(it.second.mOnForward);
  });
  const bool isInUse =
    oldest != aPeer.mCalls.end() || !aPeer.mTransactions.empty();
  if (!isInUse) {
    return;
  }
  const auto since = std::max(
    oldest != aPeer.mCalls.end() ? oldest->second.mStartedAt : Instant(),
    aPeer.mLastReceivedAt);
  if (aRunTime - since >= mSettings.mLivenessTimeout && aPeer.mIsPinged) {
    Close(aName, "silent");
  } else if (aRunTime - since >= mSettings.mPingAfter && !aPeer.mIsPinged) {
    aPeer.mIsPinged = true;
    aPeer.mChannel->Send(PeerPing{});
  }
}

void
PeerPool::ExpireCalls(const std::string& aName, Peer& aPeer, Instant aDue)
{
  std::vector<Call> expired;
  std::erase_if(aPeer.mCalls, [&](auto& it) {
    const bool isExpired = aDue >= it.second.mDeadline;
    if (isExpired) {
      expired.push_back(std::move(it.second));
    }
    return isExpired;
  });
  const bool isUnresponsive = std::ranges::any_of(expired, [&](const auto& it) {
    return !it.mUnsent && aPeer.mLastReceivedAt <= it.mStartedAt;
  });
  if (isUnresponsive) {
    Close(aName, "no answer in time");
  }
  for (const auto& it : expired) {
    FailCall(it, { ErrorKind::DeadlinePassed, "the peer did not answer" });
  }
}

bool
PeerPool::IsIdle(const Peer& aPeer, Instant aNow) const
{
  return aPeer.mCalls.empty() && aPeer.mTransactions.empty() &&
         aNow - aPeer.mLastUsedAt >= mSettings.mIdleTimeout;
}

/// Reconnects to a peer that failed, unless it has been unused for the idle
/// timeout.
void
PeerPool::Reopen(const std::string& aName, Peer& aPeer, Instant aNow)
{
  if (aPeer.mChannel || aPeer.mConsecutiveFailures == 0 ||
      aNow < aPeer.mRetryAt) {
    return;
  }
  if (aPeer.mIsInFleet && aNow - aPeer.mLastUsedAt < mSettings.mIdleTimeout) {
    Open(aName, aPeer);
  } else {
    aPeer.mConsecutiveFailures = 0;
  }
}

void
PeerPool::Tick()
{
  const auto now = mClock();
  const auto previous = mLastTick;
  const auto interval = now - previous.mNow;
  mLastTick = {
    now, previous.mRunTime + std::min(interval, mSettings.mMaxTickInterval)
  };
  // After a late tick, what was due at the previous one has been read.
  const auto& due =
    interval > mSettings.mMaxTickInterval ? previous : mLastTick;
  std::vector<std::string> connected;
  for (auto& [name, it] : mPeers) {
    Reopen(name, it, now);
    if (it.mChannel) {
      connected.push_back(name);
    }
  }
  for (const auto& name : connected) {
    auto& peer = mPeers.at(name);
    ExpireCalls(name, peer, due.mNow);
    if (peer.mChannel) {
      CheckLiveness(name, peer, due.mRunTime);
    }
    if (peer.mChannel && IsIdle(peer, now)) {
      peer.mConnection = 0;
      peer.mChannel.reset();
    }
  }
  std::erase_if(mPeers, [](const auto& it) {
    return !it.second.mIsInFleet && !it.second.mChannel;
  });
}

}
