#include "PromotionApi.h"

#include "Record.h"

#include <QHostAddress>
#include <QJsonDocument>
#include <QJsonObject>
#include <memory>

namespace review {

namespace {

QByteArray
HeaderOf(const QByteArray& aHead, const QByteArray& aName)
{
  for (const auto& it : aHead.split('\n')) {
    if (it.toLower().startsWith(aName.toLower() + ":")) {
      return it.mid(aName.size() + 1).trimmed();
    }
  }
  return {};
}

}

PromotionApi::PromotionApi()
{
  mServer.listen(QHostAddress::LocalHost);
  connect(&mServer, &QTcpServer::newConnection, this, [this] {
    while (auto* socket = mServer.nextPendingConnection()) {
      const auto buffer = std::make_shared<QByteArray>();
      connect(socket, &QTcpSocket::readyRead, this, [=, this] {
        *buffer += socket->readAll();
        Read(socket, *buffer);
      });
      connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    }
  });
}

void
PromotionApi::Read(QTcpSocket* aSocket, QByteArray& aBuffer)
{
  while (true) {
    const auto end = aBuffer.indexOf("\r\n\r\n");
    if (end < 0) {
      return;
    }
    const auto head = aBuffer.left(end);
    const auto length = HeaderOf(head, "Content-Length").toLongLong();
    if (aBuffer.size() < end + 4 + length) {
      return;
    }
    const auto body =
      QJsonDocument::fromJson(aBuffer.mid(end + 4, length)).object();
    aBuffer.remove(0, end + 4 + length);
    const PromotionOrder order{ HeaderOf(head, "X-Lease-Holder"),
                                HeaderOf(head, "X-Fencing-Token").toULongLong(),
                                body["backend"].toString().toUtf8(),
                                body["id"].toString().toUtf8(),
                                NowMs() };
    mOrders.push_back(order);
    const auto status = mOnOrder(order);
    Record("platform: POST /promote " + order.mGroup + " " + order.mDatabase +
           " holder " + order.mHolder + " token " +
           QByteArray::number(order.mToken) + " -> " +
           QByteArray::number(status));
    aSocket->write("HTTP/1.1 " + QByteArray::number(status) +
                   " X\r\nContent-Type: application/json\r\n"
                   "Content-Length: 2\r\n\r\n{}");
  }
}

}
