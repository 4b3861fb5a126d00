#pragma once

#include "LibCore/Error.h"
#include "LibDecision/LogPosition.h"

#include <optional>
#include <string>
#include <vector>

namespace papayaline {

enum class StatementType
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
  /// The caller's request id, which is forwarded unchanged.
  std::string mId;
  StatementType mType = StatementType::Read;
  /// The statement text as sent, without the id.
  std::string mText;
  /// The name of a session variable or of a prepared statement.
  std::string mName;
  /// SetValue: the value. Prepare: the query text. ExecutePrepared: the
  /// arguments.
  std::string mValue;
  /// Prepare only: the access of the prepared statement.
  Access mAccess = Access::Read;

  bool operator==(const CallerStatement&) const = default;
};

/// The transaction state of a session or a connection between two statements.
enum class TransactionState
{
  None,
  Open,
  /// An error occurred; only COMMIT and ROLLBACK are accepted.
  Failed,
};

/// The complete answer to one statement.
struct StatementAnswer
{
  std::vector<std::string> mRows;
  /// The signature by the database; "-" when no database ran the statement.
  std::string mSignature;
  std::optional<Error> mError;
  TransactionState mTransactionState = TransactionState::None;
  /// The position that the database's log had reached.
  std::optional<LogPosition> mPosition;

  bool operator==(const StatementAnswer&) const = default;
};

enum class CommandType
{
  /// A caller's statement with its id and text unchanged.
  Forward,
  ForwardPrepared,
  Begin,
  BeginReadOnly,
  Rollback,
  SetValue,
  Prepare,
  /// Clears session variables and prepared statements.
  Reset,
  Status,
  Fence,
  Resume,
  StepDown,
};

/// A command that an instance sends to a database.
struct UpstreamCommand
{
  CommandType mType = CommandType::Forward;
  /// Forward and ForwardPrepared only.
  std::string mId;
  std::string mText;
  /// The log position that the database must have applied to run the command.
  std::optional<LogPosition> mMinPosition;
  std::string mName;
  std::string mValue;
  Access mAccess = Access::Read;
  uint64_t mTerm = 0;

  bool operator==(const UpstreamCommand&) const = default;
};

}
