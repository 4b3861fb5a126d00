#include "PeerPort.h"

#include "LibCore/StructuredLog.h"

#include <QHostAddress>

namespace papayaline {

namespace {

constexpr int kListenBacklog = 1024;

}

PeerPort::PeerPort(PeerServer& aServer, Admission aAdmit)
  : mServer(aServer)
  , mAdmit(std::move(aAdmit))
{
  mListener.setMaxPendingConnections(kListenBacklog);
  mListener.setListenBacklogSize(kListenBacklog);
  connect(&mListener, &QTcpServer::newConnection, this, [this] {
    while (auto* socket = mListener.nextPendingConnection()) {
      Accept(socket);
    }
  });
}

PeerPort::~PeerPort() = default;

Result<Done>
PeerPort::Listen(const Address& aAddress)
{
  const QHostAddress host(QString::fromStdString(aAddress.mHost));
  if (!mListener.listen(host, aAddress.mPort)) {
    return Error{ ErrorKind::Unreachable,
                  "can't listen on " + aAddress.ToString() };
  }
  return Done{};
}

void
PeerPort::Accept(QTcpSocket* aSocket)
{
  const auto host = aSocket->peerAddress().toString().toStdString();
  if (!mAdmit(host)) {
    StructuredLog::Instance().Write(
      LogPriority::Decision, "peer.refused", { { "host", host } });
    aSocket->abort();
    aSocket->deleteLater();
    return;
  }
  aSocket->setParent(nullptr);
  const auto connection = std::make_shared<Connection>();
  connection->mHost = host;
  const std::weak_ptr weak = connection;
  PeerChannelEvents events;
  events.mOnMessage = [this, weak](const PeerMessage& aMessage) {
    if (const auto it = weak.lock()) {
      Handle(it, aMessage);
    }
  };
  events.mOnClosed = [this, weak](const Error& aError) {
    if (const auto it = weak.lock()) {
      Remove(it, aError);
    }
  };
  connection->mSocket =
    std::make_unique<PeerSocket>(aSocket, std::move(events));
  mConnections.push_back(connection);
  connection->mSession = mServer.Accept([weak](const PeerMessage& aMessage) {
    const auto it = weak.lock();
    if (it && it->mSocket) {
      it->mSocket->Send(aMessage);
    }
  });
}

void
PeerPort::Handle(const ConnectionPointer& aConnection,
                 const PeerMessage& aMessage)
{
  const auto handled = aConnection->mSession->Handle(aMessage);
  if (handled.IsError()) {
    Remove(aConnection, handled.GetError());
  }
}

void
PeerPort::Remove(const ConnectionPointer& aConnection, const Error& aError)
{
  if (aError.mKind == ErrorKind::ProtocolViolation ||
      aError.mKind == ErrorKind::MessageTooLarge) {
    StructuredLog::Instance().Write(
      LogPriority::Decision,
      "peer.malformed",
      { { "host", aConnection->mHost }, { "error", aError.mMessage } });
  }
  aConnection->mSession.reset();
  aConnection->mSocket.reset();
  std::erase(mConnections, aConnection);
}

}
