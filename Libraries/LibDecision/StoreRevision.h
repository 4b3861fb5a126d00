#pragma once

#include <cstdint>
#include <string>

namespace papayaline {

/// A point in the history of the platform's store. A store that is restored
/// from a copy starts a new era: it loses the changes after the copy and
/// assigns their revision numbers again. Numbers of different eras can't be
/// compared, but the pair of era and number only increases.
struct StoreRevision
{
  /// 0 for a store that does not report eras.
  uint64_t mEra = 0;
  int64_t mNumber = 0;

  auto operator<=>(const StoreRevision&) const = default;

  /// For logs. Pure; any thread.
  std::string ToString() const
  {
    return mEra == 0 ? std::to_string(mNumber)
                     : std::to_string(mEra) + "." + std::to_string(mNumber);
  }
};

}
