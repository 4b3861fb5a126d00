#pragma once

#include <string>
#include <string_view>

namespace papayaline {

/// The closed list of error kinds that any part of the system reports.
enum class ErrorKind
{
  BadInput,
  NotSupported,
  AuthenticationFailed,
  ProtocolViolation,
  MessageTooLarge,
  UnknownGroup,
  NoUpstream,
  TooStale,
  QueueFull,
  DeadlinePassed,
  WriteNotRun,
  OutcomeUnknown,
  RequestIdReused,
  UpstreamLost,
  ShuttingDown,
  Cancelled,
  Conflict,
  NotFound,
  Unreachable,
  /// The database does not lead its group.
  NotPrimary,
  /// Another database answered at this address.
  WrongUpstream,
  ConnectionLimit,
  /// The database ran the statement and it failed.
  StatementFailed,
  StatementTimeout,
  Internal,
};

/// What is known about the effect of a request that ended in an error.
enum class Outcome
{
  NotRun,
  Unknown,
};

/// The answer that belongs to an error kind.
struct ErrorAnswer
{
  ErrorKind mKind;
  std::string_view mName;
  std::string_view mSqlState;
  Outcome mOutcome;
};

/// Looks up the answer of a kind. Thread safety: any thread.
const ErrorAnswer&
AnswerFor(ErrorKind aKind);

/// An error kind with a text for the person who reads it.
struct Error
{
  ErrorKind mKind = ErrorKind::Internal;
  std::string mMessage;

  bool operator==(const Error&) const = default;
};

}
