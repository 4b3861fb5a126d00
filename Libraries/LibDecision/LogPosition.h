#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace papayaline {

/// The position of an entry in a replicated log: the term in which it was
/// written and its offset from the start of the log.
struct LogPosition
{
  uint64_t mTerm = 0;
  uint64_t mOffset = 0;

  auto operator<=>(const LogPosition&) const = default;
};

/// A session token: the position in a group's log that the reads of a session
/// must include.
struct SessionToken
{
  std::string mGroup;
  LogPosition mPosition;

  auto operator<=>(const SessionToken&) const = default;
};

}
