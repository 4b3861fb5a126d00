#pragma once

#include <chrono>

namespace papayaline {

/// A point on one process's monotonic clock. Instants of different processes
/// are never compared.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

}
