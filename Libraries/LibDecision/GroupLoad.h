#pragma once

#include "LibDecision/Instant.h"

#include <vector>

namespace papayaline {

/// How long a statement is expected to wait at a home of a group before it is
/// sent to a database.
struct GroupLoad
{
  /// By rank of the route; ranks beyond the end wait as long as the last one.
  /// Empty when nothing waits.
  std::vector<Duration> mWaitByRank;

  bool operator==(const GroupLoad&) const = default;
};

}
