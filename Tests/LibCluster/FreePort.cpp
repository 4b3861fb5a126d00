#include "FreePort.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpServer>

namespace papayaline {

quint16
FreePort()
{
  // The range is below the kernel's ephemeral ports, since an outgoing
  // connection could take one of those before the new process listens on it.
  // Concurrent test programs start at different offsets.
  constexpr quint32 kFirstPort = 10'000;
  constexpr quint32 kPortCount = 20'000;
  constexpr quint32 kPortsPerProgram = 101;
  static auto sNextOffset =
    static_cast<quint32>(QCoreApplication::applicationPid()) * kPortsPerProgram;
  for (quint32 attempts = 0; attempts < kPortCount; ++attempts) {
    const auto port =
      static_cast<quint16>(kFirstPort + sNextOffset++ % kPortCount);
    QTcpServer server;
    if (server.listen(QHostAddress::LocalHost, port)) {
      return port;
    }
  }
  return 0;
}

}
