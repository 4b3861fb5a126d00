#pragma once

#include "LibConfiguration/RelaySettings.h"

namespace papayaline {

/// Runs a relaying instance until it is told to stop; returns the exit code.
int
ServeRelay(const RelaySettings& aSettings);

}
