#pragma once

#include <QtGlobal>

namespace papayaline {

/// Returns a loopback port on which no process listens, for a process that is
/// about to start; 0 if there is none. Call from one thread only.
quint16
FreePort();

}
