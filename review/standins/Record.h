#pragma once

#include <QByteArray>

namespace review {

/// Milliseconds since the driver started.
qint64
NowMs();

/// Appends a line with the time to record.txt in the working directory of the
/// driver.
void
Record(const QByteArray& aText);

/// Whether the disruption is to be left out (TROUBLE=0).
bool
IsCalm();

}
