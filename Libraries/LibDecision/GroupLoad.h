#pragma once

#include "LibDecision/Instant.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace papayaline {

/// How long a statement is expected to wait at a home of a group before it is
/// sent to a database.
struct GroupLoad
{
  /// By rank of the route; ranks beyond the end wait as long as the last one.
  /// Empty when nothing waits.
  std::vector<Duration> mWaitByRank;

  /// The wait of one rank; unset when nothing waits.
  std::optional<Duration> WaitOf(unsigned aRank) const
  {
    return mWaitByRank.empty()
             ? std::nullopt
             : std::optional(
                 mWaitByRank[std::min<size_t>(aRank, mWaitByRank.size() - 1)]);
  }

  bool operator==(const GroupLoad&) const = default;
};

}
