#pragma once

#include "LibDecision/Instant.h"

#include <cstdint>

namespace papayaline {

/// The process's monotonic clock. Decisions never read it themselves.
inline Instant
Now()
{
  return std::chrono::steady_clock::now();
}

/// Wall time in seconds, for ledger rows only.
inline int64_t
WallSeconds()
{
  using namespace std::chrono;
  return duration_cast<seconds>(system_clock::now().time_since_epoch()).count();
}

}
