#pragma once

#include "History.h"

namespace papayaline {

/// Checks a history against the promises; returns one line a violation.
/// An unknown booking may be there once or not at all.
std::vector<std::string>
CheckHistory(const History& aHistory);

}
