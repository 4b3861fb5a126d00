#pragma once

#include "LibDecision/Instant.h"

#include <cstdint>
#include <ctime>

namespace papayaline {

/// The process's monotonic clock. It counts the time of suspensions, so that a
/// machine that was frozen knows that its leases have run out. Decisions never
/// read it themselves.
inline Instant
Now()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::seconds(now.tv_sec) +
                 std::chrono::nanoseconds(now.tv_nsec));
}

/// Wall time in seconds, for ledger rows only.
inline int64_t
WallSeconds()
{
  using namespace std::chrono;
  return duration_cast<seconds>(system_clock::now().time_since_epoch()).count();
}

}
