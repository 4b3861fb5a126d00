#include "Network.h"

#include <QHostAddress>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

Pipe::Pipe(QTcpSocket* aSocket, const bool& aIsCut)
  : mIsCut(aIsCut)
  , mWasOpenedCut(aIsCut)
  , mSocket(aSocket)
  , mDescriptor(
      fcntl(static_cast<int>(aSocket->socketDescriptor()), F_DUPFD_CLOEXEC, 0))
{
  mSocket->setParent(this);
  mSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  connect(mSocket, &QTcpSocket::readyRead, this, [this] {
    mIncoming += mSocket->readAll();
    Deliver();
  });
  connect(mSocket, &QTcpSocket::disconnected, this, [this] {
    mIncoming += mSocket->readAll();
    if (WasReset() || (mWasOpenedCut && mIsCut)) {
      mIncoming.clear();
    }
    CloseDescriptor();
    mIsClosedThere = true;
    Deliver();
  });
}

Pipe::~Pipe()
{
  mSocket->disconnect(this);
  CloseDescriptor();
}

bool
Pipe::WasReset() const
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  return getsockopt(mDescriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
         info.tcpi_state == TCP_CLOSE;
}

void
Pipe::CloseDescriptor()
{
  if (const auto descriptor = std::exchange(mDescriptor, -1); descriptor >= 0) {
    ::close(descriptor);
  }
}

void
Pipe::Send(const QByteArray& aBytes)
{
  mOutgoing += aBytes;
  Deliver();
}

void
Pipe::Close()
{
  mHasEnded = true;
  mIncoming.clear();
  mOutgoing.clear();
  mSocket->disconnect(this);
  mSocket->abort();
  CloseDescriptor();
}

void
Pipe::Deliver()
{
  if (mIsCut || mHasEnded) {
    return;
  }
  if (!mIncoming.isEmpty() && mOnBytes) {
    mOnBytes(std::exchange(mIncoming, {}));
  }
  if (!mOutgoing.isEmpty() && !mIsClosedThere) {
    mSocket->write(std::exchange(mOutgoing, {}));
    mSocket->flush();
  }
  if (mIsClosedThere && !mHasEnded) {
    mHasEnded = true;
    if (mOnEnd) {
      mOnEnd();
    }
  }
}

Network::Link
Network::LinkOf(const std::string& aOne, const std::string& aOther)
{
  return std::minmax(aOne, aOther);
}

quint16
Network::Listen(const std::string& aInstance,
                const std::string& aServer,
                Acceptor aAcceptor)
{
  auto& isCut = mIsCut[LinkOf(aInstance, aServer)];
  auto server = std::make_unique<QTcpServer>();
  server->setListenBacklogSize(256);
  server->listen(QHostAddress::LocalHost);
  const auto port = server->serverPort();
  auto* listening = server.get();
  connect(listening, &QTcpServer::newConnection, this, [=, this, &isCut] {
    while (auto* socket = listening->nextPendingConnection()) {
      socket->setParent(nullptr);
      const auto pipe = std::make_shared<Pipe>(socket, isCut);
      std::erase_if(mPipes, [](const auto& it) { return it.expired(); });
      mPipes.push_back(pipe);
      aAcceptor(pipe);
    }
  });
  mPorts.push_back({ aServer, std::move(server), port });
  return port;
}

void
Network::SetListening(const std::string& aServer, bool aIsListening)
{
  for (auto& it : mPorts) {
    if (it.mServer != aServer) {
      continue;
    }
    if (aIsListening) {
      it.mServerSocket->listen(QHostAddress::LocalHost, it.mPort);
    } else {
      it.mServerSocket->close();
    }
  }
}

void
Network::Cut(const std::string& aOne, const std::string& aOther)
{
  mIsCut[LinkOf(aOne, aOther)] = true;
}

void
Network::Heal()
{
  for (auto& [link, isCut] : mIsCut) {
    isCut = false;
  }
  const auto pipes = mPipes;
  for (const auto& it : pipes) {
    if (const auto pipe = it.lock()) {
      pipe->Deliver();
    }
  }
}

bool
Network::IsCut(const std::string& aOne, const std::string& aOther) const
{
  const auto it = mIsCut.find(LinkOf(aOne, aOther));
  return it != mIsCut.end() && it->second;
}

}
