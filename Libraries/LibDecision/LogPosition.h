#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace papayaline {

/// The place of an entry in a replicated log: the term that wrote it and its
/// offset from the start of the log.
struct LogPosition
{
  uint64_t mTerm = 0;
  uint64_t mOffset = 0;

  auto operator<=>(const LogPosition&) const = default;
};

/// A session token: what a caller must be able to read.
struct SessionToken
{
  std::string mGroup;
  LogPosition mPosition;

  auto operator<=>(const SessionToken&) const = default;
};

}
