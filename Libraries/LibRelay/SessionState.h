#pragma once

#include "LibRelay/Statement.h"

#include <map>
#include <vector>

namespace papayaline {

/// A statement that a caller prepared: its access and its query text.
struct PreparedQuery
{
  Access mAccess = Access::Read;
  std::string mText;

  auto operator<=>(const PreparedQuery&) const = default;
};

/// The state of a session as its caller sees it: session variables, prepared
/// statements, and the log positions that its reads must include.
/// Thread safety: one thread.
struct SessionState
{
  static constexpr size_t kMaxValues = 256;
  static constexpr size_t kMaxPrepared = 1024;

  std::map<std::string, std::string> mValues;
  std::map<std::string, PreparedQuery> mPrepared;
  /// The positions of the last acknowledged writes by group; those of different
  /// groups can't be compared.
  std::map<std::string, LogPosition> mLastWrites;

  /// The position that reads in a group must include; unset before the first
  /// write in it.
  std::optional<LogPosition> LastWriteIn(const std::string& aGroup) const;
  /// Records the position of a write that was acknowledged in a group.
  void RecordWrite(const std::string& aGroup, LogPosition aPosition);

  bool operator==(const SessionState&) const = default;
};

/// The session state of one connection to a database: the variables set and
/// the statements prepared on the connection, which several sessions use in
/// turn. Thread safety: one thread.
class UpstreamSessionState
{
public:
  /// A connection with this many prepared statements is reset before another
  /// one is prepared.
  static constexpr size_t kMaxPrepared = 200;

  /// The commands, in order, that bring the connection to the state of aSession
  /// and prepare aQuery if given. Empty when the state matches already.
  std::vector<UpstreamCommand> PreparationCommands(
    const SessionState& aSession,
    const std::optional<PreparedQuery>& aQuery) const;

  /// The number of preparation commands for aSession without a prepared
  /// statement.
  size_t PreparationCount(const SessionState& aSession) const;

  /// Records that a command succeeded; only preparation commands have an
  /// effect.
  void OnAcknowledged(const UpstreamCommand& aCommand);

  /// The name of a prepared statement on this connection. Precondition: aQuery
  /// is prepared on the connection.
  const std::string& StatementNameOf(const PreparedQuery& aQuery) const;

private:
  bool NeedsReset(const SessionState& aSession,
                  const std::optional<PreparedQuery>& aQuery) const;

  std::map<std::string, std::string> mValues;
  std::map<PreparedQuery, std::string> mPrepared;
};

}
