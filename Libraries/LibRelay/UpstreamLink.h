#pragma once

#include "LibDecision/Instant.h"
#include "LibRelay/SessionState.h"
#include "LibRelay/UpstreamChannel.h"

#include <deque>

namespace papayaline {

using StatementHandler = std::function<void(const StatementAnswer&)>;

/// Observes the requests to a database and their answers, each of which shows
/// that the database is reachable and where its log stands.
class LinkObserver
{
public:
  virtual ~LinkObserver() = default;
  virtual void OnRequestSent(const std::string& aUpstream, Instant aNow) = 0;
  virtual void OnAnswered(const std::string& aUpstream,
                          const StatementAnswer& aAnswer,
                          Instant aSentAt) = 0;
};

/// A connection to a database with its session and transaction state.
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
  /// Called without an error when the link becomes ready, and with one when it
  /// fails, before or after that; at most once each.
  using StateHandler = std::function<void(const std::optional<Error>&)>;

  UpstreamLink(ChannelTarget aTarget, LinkObserver& aObserver, Clock aClock);

  /// Opens the connection. aOnState is called when the link becomes Ready and
  /// when it fails, but not by Close. Precondition: called once, on a link that
  /// a shared pointer owns.
  void Open(const ChannelOpener& aOpener, StateHandler aOnState);

  /// Sends a command; several may be in flight. aHandler is called once, with
  /// UpstreamLost when the connection closes before the answer.
  /// Precondition: Ready.
  void Run(const UpstreamCommand& aCommand, StatementHandler aHandler);

  /// Closes the connection; handlers of commands in flight are not called.
  void Close();

  const std::string& Upstream() const { return mTarget.mUpstream; }
  /// The client account that the connection belongs to; may be empty.
  const std::string& Account() const { return mTarget.mAccount; }
  State GetState() const { return mState; }
  TransactionState Transaction() const { return mTransaction; }
  UpstreamSessionState& Session() { return mSession; }
  bool IsReady() const { return mState == State::Ready; }
  /// Whether the link is ready without a command in flight or a transaction.
  bool IsClean() const
  {
    return IsReady() && mCommandsInFlight.empty() &&
           mTransaction == TransactionState::None;
  }
  size_t InFlightCount() const { return mCommandsInFlight.size(); }
  /// When opening began while the link is Opening, else when the oldest command
  /// in flight was sent, or when the link was last used if none is.
  Instant WaitingSince() const;
  Instant LastUsedAt() const { return mLastUsedAt; }

private:
  struct CommandInFlight
  {
    UpstreamCommand mCommand;
    StatementHandler mHandler;
    Instant mSentAt;
  };

  void OnAnswer(const StatementAnswer& aAnswer);
  void OnClosed(const Error& aError);

  ChannelTarget mTarget;
  LinkObserver& mObserver;
  Clock mClock;
  StateHandler mOnState;
  std::unique_ptr<UpstreamChannel> mChannel;
  State mState = State::Opening;
  TransactionState mTransaction = TransactionState::None;
  UpstreamSessionState mSession;
  std::deque<CommandInFlight> mCommandsInFlight;
  Instant mOpenedAt;
  Instant mLastUsedAt;
};

using LinkPointer = std::shared_ptr<UpstreamLink>;

}
