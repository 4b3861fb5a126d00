#include "UpstreamSocket.h"

#include <QHostAddress>

namespace papayaline {

struct UpstreamSocket::Core
{
  std::unique_ptr<UpstreamProtocol> mProtocol;
  ChannelEvents mEvents;
  QTcpSocket* mSocket = new QTcpSocket;
  bool mIsClosed = false;

  void Close(const Error& aError)
  {
    if (!std::exchange(mIsClosed, true)) {
      mEvents.mOnClosed(aError);
    }
  }

  void Read()
  {
    const auto bytes = mSocket->readAll();
    mProtocol->Append(bytes.constData(), static_cast<size_t>(bytes.size()));
    while (!mIsClosed) {
      const auto next = mProtocol->Next();
      if (next.IsError()) {
        Close(next.GetError());
      } else if (next.Value()) {
        mEvents.mOnAnswer(*next.Value());
      } else {
        return;
      }
    }
  }
};

UpstreamSocket::UpstreamSocket(const Address& aAddress,
                               const ChannelTarget& aTarget,
                               std::unique_ptr<UpstreamProtocol> aProtocol,
                               ChannelEvents aEvents)
  : mCore(std::make_shared<Core>())
{
  mCore->mProtocol = std::move(aProtocol);
  mCore->mEvents = std::move(aEvents);
  auto* socket = mCore->mSocket;
  const std::weak_ptr weak = mCore;
  QObject::connect(socket, &QTcpSocket::connected, socket, [=] {
    if (const auto core = weak.lock()) {
      socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
      socket->write(
        QByteArray::fromStdString(core->mProtocol->EncodeStartup(aTarget)));
      socket->flush();
    }
  });
  QObject::connect(socket, &QTcpSocket::readyRead, socket, [=] {
    if (const auto core = weak.lock()) {
      core->Read();
    }
  });
  const auto onDisconnected = [=] {
    if (const auto core = weak.lock()) {
      core->Close(
        { ErrorKind::Unreachable, socket->errorString().toStdString() });
    }
  };
  QObject::connect(socket, &QTcpSocket::disconnected, socket, onDisconnected);
  QObject::connect(socket, &QTcpSocket::errorOccurred, socket, onDisconnected);
  // Queued, because no event may be delivered before the constructor has
  // returned.
  QMetaObject::invokeMethod(
    socket,
    [=] {
      if (!weak.expired()) {
        socket->connectToHost(
          QHostAddress(QString::fromStdString(aAddress.mHost)), aAddress.mPort);
      }
    },
    Qt::QueuedConnection);
}

UpstreamSocket::~UpstreamSocket()
{
  auto* socket = mCore->mSocket;
  mCore->mIsClosed = true;
  QObject::disconnect(socket, nullptr, socket, nullptr);
  socket->abort();
  socket->deleteLater();
}

void
UpstreamSocket::Send(const UpstreamCommand& aCommand)
{
  if (!mCore->mIsClosed) {
    mCore->mSocket->write(
      QByteArray::fromStdString(mCore->mProtocol->EncodeCommand(aCommand)));
    mCore->mSocket->flush();
  }
}

}
