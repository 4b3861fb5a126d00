#pragma once

#include "LibDecision/Instant.h"
#include "LibRelay/SessionState.h"
#include "LibRelay/UpstreamChannel.h"

#include <deque>

namespace papayaline {

using StatementHandler = std::function<void(const StatementAnswer&)>;

/// Learns what every answer of a database tells: that it lives, and where its
/// log stands.
class AnswerObserver
{
public:
  virtual ~AnswerObserver() = default;
  virtual void OnAsked(const std::string& aUpstream, Instant aNow) = 0;
  virtual void OnAnswered(const std::string& aUpstream,
                          const StatementAnswer& aAnswer,
                          Instant aAskedAt) = 0;
};

/// One connection to a database with the state that belongs to it.
/// Thread safety: one thread.
class UpstreamLink : public std::enable_shared_from_this<UpstreamLink>
{
public:
  enum class State
  {
    Opening,
    Ready,
    Closed,
  };
  using Clock = std::function<Instant()>;
  /// Called once: without an error when the link is ready, with one when it
  /// closed, be it before or after.
  using StateHandler = std::function<void(const std::optional<Error>&)>;

  UpstreamLink(std::string aUpstream, AnswerObserver& aObserver, Clock aClock);

  /// Opens the connection. aOnState is called on the change to Ready and on
  /// that to Closed. Call once, after the link is held by a shared pointer.
  void Open(const ChannelOpener& aOpener,
            const std::string& aGroup,
            StateHandler aOnState);

  /// Sends a command; several may be under way. The handler is called once,
  /// with UpstreamLost when the connection ended first. Precondition: Ready.
  void Run(const UpstreamCommand& aCommand, StatementHandler aHandler);

  /// Closes the connection; handlers of commands under way are not called.
  void Drop();

  const std::string& Upstream() const { return mUpstream; }
  State GetState() const { return mState; }
  TransactionState Transaction() const { return mTransaction; }
  LinkState& Contents() { return mContents; }
  bool IsReady() const { return mState == State::Ready; }
  /// Ready, nothing under way, no transaction.
  bool IsClean() const
  {
    return IsReady() && mPending.empty() &&
           mTransaction == TransactionState::None;
  }
  size_t PendingCount() const { return mPending.size(); }
  /// When the oldest command under way was sent, or the connection was begun.
  Instant WaitingSince() const;
  Instant LastUsedAt() const { return mLastUsedAt; }

private:
  struct Pending
  {
    UpstreamCommand mCommand;
    StatementHandler mHandler;
    Instant mSentAt;
  };

  void OnAnswer(const StatementAnswer& aAnswer);
  void OnClosed(const Error& aError);

  std::string mUpstream;
  AnswerObserver& mObserver;
  Clock mClock;
  StateHandler mOnState;
  std::unique_ptr<UpstreamChannel> mChannel;
  State mState = State::Opening;
  TransactionState mTransaction = TransactionState::None;
  LinkState mContents;
  std::deque<Pending> mPending;
  Instant mOpenedAt;
  Instant mLastUsedAt;
};

using LinkPointer = std::shared_ptr<UpstreamLink>;

}
