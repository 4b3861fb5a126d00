#pragma once

#include <QtGlobal>

namespace papayaline {

/// A loopback port that nothing listens on, for a process that is about to
/// start. Thread safety: one thread.
quint16
FreePort();

}
