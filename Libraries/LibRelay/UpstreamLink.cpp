#include "LibRelay/UpstreamLink.h"

#include <utility>

namespace papayaline {

UpstreamLink::UpstreamLink(ChannelTarget aTarget,
                           LinkObserver& aObserver,
                           Clock aClock)
  : mTarget(std::move(aTarget))
  , mObserver(aObserver)
  , mClock(std::move(aClock))
  , mOpenedAt(mClock())
  , mLastUsedAt(mOpenedAt)
{
}

void
UpstreamLink::Open(const ChannelOpener& aOpener, StateHandler aOnState)
{
  mOnState = std::move(aOnState);
  // Weak, because the pool may drop the link at any time.
  const std::weak_ptr weak = weak_from_this();
  ChannelEvents events;
  events.mOnAnswer = [weak](const StatementAnswer& aAnswer) {
    if (const auto self = weak.lock()) {
      self->OnAnswer(aAnswer);
    }
  };
  events.mOnClosed = [weak](const Error& aError) {
    if (const auto self = weak.lock()) {
      self->OnClosed(aError);
    }
  };
  mChannel = aOpener(mTarget, std::move(events));
  mObserver.OnRequestSent(mTarget.mUpstream, mOpenedAt);
}

void
UpstreamLink::Run(const UpstreamCommand& aCommand, StatementHandler aHandler)
{
  const auto now = mClock();
  mLastUsedAt = now;
  mCommandsInFlight.push_back({ aCommand, std::move(aHandler), now });
  mObserver.OnRequestSent(mTarget.mUpstream, now);
  mChannel->Send(aCommand);
}

void
UpstreamLink::Close()
{
  if (mState == State::Closed) {
    return;
  }
  mState = State::Closed;
  mCommandsInFlight.clear();
  mChannel.reset();
}

Instant
UpstreamLink::WaitingSince() const
{
  if (mState == State::Opening) {
    return mOpenedAt;
  }
  return mCommandsInFlight.empty() ? mLastUsedAt
                                   : mCommandsInFlight.front().mSentAt;
}

void
UpstreamLink::OnAnswer(const StatementAnswer& aAnswer)
{
  if (mState == State::Opening) {
    if (aAnswer.mError) {
      OnClosed(*aAnswer.mError);
      return;
    }
    mState = State::Ready;
    mObserver.OnAnswered(mTarget.mUpstream, aAnswer, mOpenedAt);
    mOnState(std::nullopt);
    return;
  }
  if (mCommandsInFlight.empty()) {
    OnClosed({ ErrorKind::ProtocolViolation, "answer to nothing" });
    return;
  }
  const auto command = std::move(mCommandsInFlight.front());
  mCommandsInFlight.pop_front();
  mTransaction = aAnswer.mTransactionState;
  if (!aAnswer.mError) {
    mSession.OnAcknowledged(command.mCommand);
  }
  mObserver.OnAnswered(mTarget.mUpstream, aAnswer, command.mSentAt);
  command.mHandler(aAnswer);
}

void
UpstreamLink::OnClosed(const Error& aError)
{
  if (mState == State::Closed) {
    return;
  }
  mState = State::Closed;
  StatementAnswer lost;
  lost.mError = Error{ ErrorKind::UpstreamLost, aError.mMessage };
  const auto commands = std::exchange(mCommandsInFlight, {});
  for (const auto& it : commands) {
    it.mHandler(lost);
  }
  mOnState(aError);
}

}
