#include "PeerListener.h"

#include "LibCore/StructuredLog.h"

#include <QHostAddress>
#include <QTimer>
#include <algorithm>
#include <utility>

namespace papayaline {

namespace {

constexpr int kListenBacklog = 1024;
/// Time for the store to list an instance that has just started.
constexpr auto kAdmissionTimeout = std::chrono::milliseconds(500);
/// Further connections from unknown hosts are refused at once.
constexpr size_t kMaxPendingSockets = 256;

std::string
HostOf(const QTcpSocket& aSocket)
{
  return aSocket.peerAddress().toString().toStdString();
}

}

PeerListener::PeerListener(PeerServer& aServer, HostCheck aIsKnownHost)
  : mServer(aServer)
  , mIsKnownHost(std::move(aIsKnownHost))
{
  mTcpServer.setMaxPendingConnections(kListenBacklog);
  mTcpServer.setListenBacklogSize(kListenBacklog);
  connect(&mTcpServer, &QTcpServer::newConnection, this, [this] {
    while (auto* socket = mTcpServer.nextPendingConnection()) {
      HandleIncoming(socket);
    }
  });
}

PeerListener::~PeerListener()
{
  std::ranges::for_each(mPendingSockets, [](auto* it) { delete it; });
}

Result<Done>
PeerListener::Listen(const Address& aAddress)
{
  const QHostAddress host(QString::fromStdString(aAddress.mHost));
  if (!mTcpServer.listen(host, aAddress.mPort)) {
    return Error{ ErrorKind::Unreachable,
                  "can't listen on " + aAddress.ToString() };
  }
  return Done{};
}

void
PeerListener::HandleIncoming(QTcpSocket* aSocket)
{
  aSocket->setParent(nullptr);
  if (mIsKnownHost(HostOf(*aSocket))) {
    Accept(aSocket);
    return;
  }
  if (mPendingSockets.size() >= kMaxPendingSockets) {
    Refuse(aSocket);
    return;
  }
  mPendingSockets.push_back(aSocket);
  QTimer::singleShot(kAdmissionTimeout, aSocket, [this, aSocket] {
    if (std::erase(mPendingSockets, aSocket) > 0) {
      Refuse(aSocket);
    }
  });
}

void
PeerListener::AdmitPending()
{
  const auto pending = std::exchange(mPendingSockets, {});
  for (auto* it : pending) {
    if (mIsKnownHost(HostOf(*it))) {
      Accept(it);
    } else {
      mPendingSockets.push_back(it);
    }
  }
}

void
PeerListener::Refuse(QTcpSocket* aSocket)
{
  StructuredLog::Instance().Write(
    LogPriority::Decision, "peer.refused", { { "host", HostOf(*aSocket) } });
  aSocket->abort();
  aSocket->deleteLater();
}

void
PeerListener::Accept(QTcpSocket* aSocket)
{
  const auto connection = std::make_shared<Connection>();
  connection->mHost = HostOf(*aSocket);
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
PeerListener::Handle(const ConnectionPointer& aConnection,
                     const PeerMessage& aMessage)
{
  const auto handled = aConnection->mSession->Handle(aMessage);
  if (handled.IsError()) {
    Remove(aConnection, handled.GetError());
  }
}

void
PeerListener::Remove(const ConnectionPointer& aConnection, const Error& aError)
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
