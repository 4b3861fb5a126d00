#pragma once

#include "LibCore/Error.h"
#include "LibDecision/LogPosition.h"

#include <optional>
#include <string>
#include <vector>

namespace papayaline {

enum class StatementForm
{
  Begin,
  BeginReadOnly,
  Commit,
  Rollback,
  Read,
  Write,
  SetValue,
  Prepare,
  ExecutePrepared,
  ClosePrepared,
};

enum class Access
{
  Read,
  Write,
};

/// A statement as a caller sent it.
struct CallerStatement
{
  /// The caller's id of the request; it travels unchanged.
  std::string mId;
  StatementForm mForm = StatementForm::Read;
  /// The text as sent, without the id.
  std::string mText;
  /// The name of a session value or of a prepared statement.
  std::string mName;
  /// SetValue: the value. Prepare: the shape. ExecutePrepared: its arguments.
  std::string mValue;
  /// Of a Prepare.
  Access mAccess = Access::Read;

  bool operator==(const CallerStatement&) const = default;
};

/// Where a session or a connection stands between two statements.
enum class TransactionState
{
  None,
  Open,
  /// Failed; only its end is accepted.
  Failed,
};

/// The whole answer to one statement.
struct StatementAnswer
{
  std::vector<std::string> mRows;
  /// The database's signature; "-" when no database ran the statement.
  std::string mSignature;
  std::optional<Error> mError;
  TransactionState mState = TransactionState::None;
  /// Where the database's log stood.
  std::optional<LogPosition> mPosition;

  bool operator==(const StatementAnswer&) const = default;
};

enum class CommandForm
{
  /// A caller's statement with id and text unchanged.
  Forward,
  ForwardPrepared,
  Begin,
  BeginReadOnly,
  Rollback,
  SetValue,
  Prepare,
  /// Clears session values and prepared statements.
  Reset,
  Status,
  Fence,
  Resume,
  StepDown,
};

/// What an instance sends to a database.
struct UpstreamCommand
{
  CommandForm mForm = CommandForm::Forward;
  /// Forward and ForwardPrepared only.
  std::string mId;
  std::string mText;
  /// The position that the database must have applied.
  std::optional<LogPosition> mAfter;
  std::string mName;
  std::string mValue;
  Access mAccess = Access::Read;
  uint64_t mTerm = 0;

  bool operator==(const UpstreamCommand&) const = default;
};

}
