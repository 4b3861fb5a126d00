#include "PeerSocket.h"

#include "LibConfiguration/Configuration.h"

#include <QHostAddress>

namespace papayaline {

namespace {

/// The connection is aborted when a peer that does not read lets more than this
/// accumulate.
constexpr qint64 kMaxUnsentBytes = 16 * 1024 * 1024;

}

struct PeerSocket::Core
{
  QTcpSocket* mSocket = nullptr;
  PeerChannelEvents mEvents;
  PeerFrameReader mFrames;
  bool mIsClosed = false;

  void Close(const Error& aError)
  {
    if (!std::exchange(mIsClosed, true)) {
      mEvents.mOnClosed(aError);
    }
  }

  void Read()
  {
    mFrames.Append(mSocket->readAll());
    while (!mIsClosed) {
      const auto frame = mFrames.Next();
      if (frame.IsError()) {
        Close(frame.GetError());
        return;
      }
      if (!frame.Value()) {
        return;
      }
      const auto message = DecodePeerMessage(*frame.Value());
      if (message.IsError()) {
        Close(message.GetError());
        return;
      }
      mEvents.mOnMessage(message.Value());
    }
  }
};

std::unique_ptr<PeerSocket>
PeerSocket::Connect(const std::string& aAddress, PeerChannelEvents aEvents)
{
  auto* socket = new QTcpSocket;
  auto channel = std::make_unique<PeerSocket>(socket, std::move(aEvents));
  const auto address = ParseAddress(aAddress);
  const std::weak_ptr weak = channel->mCore;
  QObject::connect(socket, &QTcpSocket::connected, socket, [=] {
    if (const auto core = weak.lock(); core && !core->mIsClosed) {
      core->mEvents.mOnOpened();
    }
  });
  // Queued, because no event may be delivered before the call has returned.
  QMetaObject::invokeMethod(
    socket,
    [=] {
      const auto core = weak.lock();
      if (!core) {
        return;
      }
      if (address.IsError()) {
        core->Close(address.GetError());
        return;
      }
      socket->connectToHost(
        QHostAddress(QString::fromStdString(address.Value().mHost)),
        address.Value().mPort);
    },
    Qt::QueuedConnection);
  return channel;
}

PeerSocket::PeerSocket(QTcpSocket* aSocket, PeerChannelEvents aEvents)
  : mCore(std::make_shared<Core>())
{
  mCore->mSocket = aSocket;
  mCore->mEvents = std::move(aEvents);
  aSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  aSocket->setSocketOption(QAbstractSocket::KeepAliveOption, 1);
  const std::weak_ptr weak = mCore;
  QObject::connect(aSocket, &QTcpSocket::readyRead, aSocket, [=] {
    if (const auto core = weak.lock(); core && !core->mIsClosed) {
      core->Read();
    }
  });
  const auto onDisconnected = [=] {
    if (const auto core = weak.lock()) {
      core->Close(
        { ErrorKind::Unreachable, aSocket->errorString().toStdString() });
    }
  };
  // Queued, because a write may detect that the connection has ended, and the
  // owner must not be notified from within its own Send().
  QObject::connect(aSocket,
                   &QTcpSocket::disconnected,
                   aSocket,
                   onDisconnected,
                   Qt::QueuedConnection);
  QObject::connect(aSocket,
                   &QTcpSocket::errorOccurred,
                   aSocket,
                   onDisconnected,
                   Qt::QueuedConnection);
}

PeerSocket::~PeerSocket()
{
  auto* socket = mCore->mSocket;
  mCore->mIsClosed = true;
  QObject::disconnect(socket, nullptr, socket, nullptr);
  socket->abort();
  socket->deleteLater();
}

void
PeerSocket::Send(const PeerMessage& aMessage)
{
  auto* socket = mCore->mSocket;
  if (mCore->mIsClosed) {
    return;
  }
  if (socket->bytesToWrite() > kMaxUnsentBytes) {
    socket->abort();
    return;
  }
  socket->write(FramePeerMessage(EncodePeerMessage(aMessage)));
  socket->flush();
}

}
