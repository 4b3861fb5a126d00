#include "PeerClient.h"

#include "LibCore/EventRing.h"
#include "Metrics.h"

#include <QJsonDocument>
#include <QNetworkReply>

namespace papayaline {

namespace {

constexpr int kRequestTimeoutMs = 1000;
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
WithHybridTime(QJsonObject aMessage)
{
  const auto time = EventRing::Instance().NextHybridTime();
  aMessage[kWallKey] = static_cast<qint64>(time.mWallUs);
  aMessage[kLogicalKey] = static_cast<qint64>(time.mLogical);
  return aMessage;
}

void
ObserveHybridTime(const QJsonObject& aMessage)
{
  EventRing::Instance().ObserveHybridTime(
    { aMessage[kWallKey].toInteger(),
      static_cast<uint32_t>(aMessage[kLogicalKey].toInteger()) });
}

QNetworkRequest
PeerClient::MakeRequest(const std::string& aAddress, const QString& aPath) const
{
  QNetworkRequest request{ QUrl("http://" + QString::fromStdString(aAddress) +
                                aPath) };
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  request.setTransferTimeout(kRequestTimeoutMs);
  return request;
}

void
PeerClient::HandleReply(QNetworkReply* aReply, const Handler& aHandler)
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
    ObserveHybridTime(message);
    aHandler(message);
  });
}

void
PeerClient::Get(const std::string& aAddress,
                const QString& aPath,
                Handler aHandler)
{
  CountMessage(aPath.size());
  HandleReply(mNetwork.get(MakeRequest(aAddress, aPath)), aHandler);
}

void
PeerClient::Post(const std::string& aAddress,
                 const QString& aPath,
                 const QJsonObject& aBody,
                 Handler aHandler)
{
  const auto bytes =
    QJsonDocument(WithHybridTime(aBody)).toJson(QJsonDocument::Compact);
  CountMessage(bytes.size());
  HandleReply(mNetwork.post(MakeRequest(aAddress, aPath), bytes), aHandler);
}

}
