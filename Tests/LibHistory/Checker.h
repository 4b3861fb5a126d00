#pragma once

#include "History.h"

namespace papayaline {

/// Checks a history against the invariants; returns one line for each
/// violation. A booking with an unknown outcome may have taken effect once or
/// not at all.
std::vector<std::string>
CheckHistory(const History& aHistory);

}
