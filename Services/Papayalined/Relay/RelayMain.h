#pragma once

#include "LibConfiguration/RelaySettings.h"

namespace papayaline {

/// Runs a relay instance until a signal stops it. Returns the exit code.
int
ServeRelay(const RelaySettings& aSettings);

}
