#include "Balancer.h"

#include "Record.h"

#include <QHostAddress>
#include <QTcpSocket>

namespace review {

namespace {

constexpr int kProbeMs = 1'000;
constexpr int kProbeTimeoutMs = 900;
constexpr int kMisses = 2;

}

Balancer::Balancer(std::vector<Instance*> aNodes)
  : mNodes(std::move(aNodes))
{
  connect(&mTimer, &QTimer::timeout, this, [this] {
    for (auto* it : mNodes) {
      Probe(it);
    }
  });
  mTimer.start(kProbeMs);
}

void
Balancer::Probe(Instance* aNode)
{
  auto* socket = new QTcpSocket(this);
  const auto isOk = std::make_shared<bool>(false);
  connect(socket, &QTcpSocket::connected, socket, [socket] {
    socket->write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
  });
  connect(socket, &QTcpSocket::readyRead, socket, [socket, isOk] {
    *isOk = *isOk || socket->readAll().split(' ').value(1) == "200";
  });
  QTimer::singleShot(kProbeTimeoutMs, socket, [=, this] {
    auto& misses = mMisses[aNode];
    misses = *isOk ? 0 : misses + 1;
    if (misses == kMisses) {
      Record("platform: " + aNode->mSettings.mName + " is out of rotation");
    }
    socket->abort();
    socket->deleteLater();
  });
  socket->connectToHost(QHostAddress(QHostAddress::LocalHost),
                        aNode->mReadyPort);
}

Instance&
Balancer::Choose()
{
  std::vector<Instance*> nodes;
  for (auto* it : mNodes) {
    if (mMisses[it] < kMisses) {
      nodes.push_back(it);
    }
  }
  if (nodes.size() * 2 < mNodes.size()) {
    nodes = mNodes;
  }
  return *nodes[mNext++ % nodes.size()];
}

}
