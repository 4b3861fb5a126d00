#pragma once

#include <chrono>

namespace papayaline {

/// A point in time on the monotonic clock of this process. Instants of
/// different processes must not be compared.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

}
