#include "PeerClient.h"

#include "LibCore/EventRing.h"
#include "Metrics.h"

#include <QJsonDocument>
#include <QNetworkReply>

namespace papayaline {

namespace {

constexpr int kPeerTimeoutMs = 1000;
constexpr auto kWallKey = "hybridWallUs";
constexpr auto kLogicalKey = "hybridLogical";

void
CountMessage(qsizetype aBytes)
{
  Metrics::Instance().Add(Counter::PeerMessages);
  Metrics::Instance().Add(Counter::PeerBytes, aBytes);
}

}

QJsonObject
Stamped(QJsonObject aMessage)
{
  const auto time = EventRing::Instance().Stamp();
  aMessage[kWallKey] = static_cast<qint64>(time.mWallUs);
  aMessage[kLogicalKey] = static_cast<qint64>(time.mLogical);
  return aMessage;
}

void
ObserveStamp(const QJsonObject& aMessage)
{
  EventRing::Instance().Observe(
    { aMessage[kWallKey].toInteger(),
      static_cast<uint32_t>(aMessage[kLogicalKey].toInteger()) });
}

QNetworkRequest
PeerClient::Request(const std::string& aAddress, const QString& aPath) const
{
  QNetworkRequest request{ QUrl("http://" + QString::fromStdString(aAddress) +
                                aPath) };
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  request.setTransferTimeout(kPeerTimeoutMs);
  return request;
}

void
PeerClient::Finish(QNetworkReply* aReply, const Handler& aHandler)
{
  connect(aReply, &QNetworkReply::finished, this, [aReply, aHandler] {
    aReply->deleteLater();
    if (aReply->error() != QNetworkReply::NoError) {
      aHandler(
        Error{ ErrorKind::Unreachable, aReply->errorString().toStdString() });
      return;
    }
    const auto bytes = aReply->readAll();
    CountMessage(bytes.size());
    const auto message = QJsonDocument::fromJson(bytes).object();
    ObserveStamp(message);
    aHandler(message);
  });
}

void
PeerClient::Get(const std::string& aAddress,
                const QString& aPath,
                Handler aHandler)
{
  CountMessage(aPath.size());
  Finish(mNetwork.get(Request(aAddress, aPath)), aHandler);
}

void
PeerClient::Post(const std::string& aAddress,
                 const QString& aPath,
                 const QJsonObject& aBody,
                 Handler aHandler)
{
  const auto bytes =
    QJsonDocument(Stamped(aBody)).toJson(QJsonDocument::Compact);
  CountMessage(bytes.size());
  Finish(mNetwork.post(Request(aAddress, aPath), bytes), aHandler);
}

}
