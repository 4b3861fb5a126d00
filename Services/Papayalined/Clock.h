#pragma once

#include "LibDecision/Instant.h"

#include <cstdint>
#include <ctime>

namespace papayaline {

/// Returns the time of the monotonic clock. The clock includes time spent
/// suspended, so that leases expire on a machine that was frozen. The classes
/// of LibDecision don't read it; they get the time as an argument.
inline Instant
Now()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::seconds(now.tv_sec) +
                 std::chrono::nanoseconds(now.tv_nsec));
}

/// Returns the wall-clock time in seconds since 1970, for ledger rows only.
inline int64_t
UnixTimeSeconds()
{
  using namespace std::chrono;
  return duration_cast<seconds>(system_clock::now().time_since_epoch()).count();
}

}
