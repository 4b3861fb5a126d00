#pragma once

#include <string>
#include <string_view>

namespace papayaline {

/// All kinds of errors that any component reports.
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
  /// The database is not the primary of its group.
  NotPrimary,
  /// The database that answered at this address is not the expected one.
  WrongUpstream,
  ConnectionLimit,
  /// The database executed the statement and returned an error.
  StatementFailed,
  StatementTimeout,
  Internal,
  /// The operation is beyond the quota of its client account.
  QuotaExceeded,
  /// Nothing confirms, or not recently enough, that the caller may run
  /// statements.
  AuthorityExpired,
};

/// The last kind of the list.
constexpr auto kLastErrorKind = ErrorKind::AuthorityExpired;

/// Whether a request that ended with an error may have taken effect.
enum class Outcome
{
  /// The request had no effect.
  NotRun,
  /// The request may have taken effect.
  Unknown,
};

/// How an error kind is reported: its name in logs and metrics, its SQLSTATE,
/// and what it says about the effect of the request.
struct ErrorProperties
{
  ErrorKind mKind;
  std::string_view mName;
  std::string_view mSqlState;
  Outcome mOutcome;
};

/// Looks up the properties of a kind; those of Internal when the kind is not
/// listed. Thread safety: any thread.
const ErrorProperties&
AnswerFor(ErrorKind aKind);

/// An error kind with a message for a human reader.
struct Error
{
  ErrorKind mKind = ErrorKind::Internal;
  std::string mMessage;

  bool operator==(const Error&) const = default;
};

}
