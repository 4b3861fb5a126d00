#pragma once

#include "LibDecision/Instant.h"
#include "LibDecision/LogPosition.h"

#include <cstdint>
#include <string>

namespace papayaline {

/// The replication role that a database reports.
enum class Role
{
  Primary,
  Replica,
  Fenced,
};

/// The state of one database as it reported it in answer to a status request.
struct UpstreamReport
{
  std::string mUpstream;
  uint64_t mFencedTerm = 0;
  std::string mAttempt;
  Role mRole = Role::Fenced;
  LogPosition mLast;
  std::string mFollows;
  uint32_t mOpenWrites = 0;
  bool mQuiesced = false;
  /// When the status request was sent, on the clock of the requesting instance.
  Instant mRequestedAt;

  bool operator==(const UpstreamReport&) const = default;
};

}
