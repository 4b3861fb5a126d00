#pragma once

#include "LoadWorld.h"

#include <span>

namespace papayaline {

/// The loads that the tests and the tool play, each named after what it
/// answers.
std::span<const LoadPattern>
LoadPatterns();

/// Returns null when there is no pattern of that name.
const LoadPattern*
FindLoadPattern(const std::string& aName);

/// Draws a deployment with the routes of aPattern: 3 to 60 instances, 1 to 8
/// slots, and rates that load the slots as aPattern does.
LoadPattern
DrawDeployment(const LoadPattern& aPattern, unsigned aSeed);

}
