#include "FreePort.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpServer>

namespace papayaline {

quint16
FreePort()
{
  // Below the ports that the kernel gives to outgoing connections: one of those
  // may be taken again before the process listens on it. Test programs that run
  // side by side begin at different places.
  constexpr quint32 kFirst = 10'000;
  constexpr quint32 kCount = 20'000;
  constexpr quint32 kPortsOfAProgram = 101;
  static auto sNext =
    static_cast<quint32>(QCoreApplication::applicationPid()) * kPortsOfAProgram;
  for (quint32 tries = 0; tries < kCount; ++tries) {
    const auto port = static_cast<quint16>(kFirst + sNext++ % kCount);
    QTcpServer server;
    if (server.listen(QHostAddress::LocalHost, port)) {
      return port;
    }
  }
  return 0;
}

}
