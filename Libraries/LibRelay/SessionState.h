#pragma once

#include "LibRelay/Statement.h"

#include <map>
#include <vector>

namespace papayaline {

/// A statement that a caller prepared: databases know it by its shape.
struct PreparedShape
{
  Access mAccess = Access::Read;
  std::string mShape;

  auto operator<=>(const PreparedShape&) const = default;
};

/// What a session was told that it has: values, prepared statements and the
/// position that its reads must include. Thread safety: one thread.
struct SessionState
{
  static constexpr size_t kMaxValues = 256;
  static constexpr size_t kMaxPrepared = 1024;

  std::map<std::string, std::string> mValues;
  std::map<std::string, PreparedShape> mPrepared;
  std::optional<LogPosition> mOwnWrite;

  bool operator==(const SessionState&) const = default;
};

/// What a connection has: the values set on it and the statements prepared on
/// it, which sessions share. Thread safety: one thread.
class LinkState
{
public:
  /// Prepared statements on one connection before it is reset.
  static constexpr size_t kMaxPrepared = 200;

  /// The commands that make the connection fit for a session, in order, for a
  /// statement that runs aShape if given. Empty when it fits as it is.
  std::vector<UpstreamCommand> Preparation(
    const SessionState& aSession,
    const std::optional<PreparedShape>& aShape) const;

  /// How many commands that would take.
  size_t Distance(const SessionState& aSession) const;

  /// One of these commands was acknowledged.
  void OnAcknowledged(const UpstreamCommand& aCommand);

  /// The connection's own name of a shape. Precondition: it is prepared.
  const std::string& NameOf(const PreparedShape& aShape) const;

private:
  bool NeedsReset(const SessionState& aSession,
                  const std::optional<PreparedShape>& aShape) const;

  std::map<std::string, std::string> mValues;
  std::map<PreparedShape, std::string> mPrepared;
};

}
