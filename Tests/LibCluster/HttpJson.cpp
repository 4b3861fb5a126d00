#include "HttpJson.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkReply>

namespace papayaline {

namespace {

constexpr int kTimeoutMs = 5000;

QNetworkRequest
Request(const QString& aUrl)
{
  QNetworkRequest request{ QUrl(aUrl) };
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  request.setTransferTimeout(kTimeoutMs);
  return request;
}

HttpAnswer
AwaitReply(QNetworkReply* aReply)
{
  QEventLoop loop;
  QObject::connect(aReply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
  if (!aReply->isFinished()) {
    loop.exec();
  }
  HttpAnswer answer;
  answer.mStatus =
    aReply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  answer.mBody = aReply->readAll();
  answer.mJson = QJsonDocument::fromJson(answer.mBody).object();
  aReply->deleteLater();
  return answer;
}

QByteArray
SerializeJson(const QJsonObject& aBody)
{
  return QJsonDocument(aBody).toJson(QJsonDocument::Compact);
}

}

HttpAnswer
HttpGet(const QString& aUrl)
{
  QNetworkAccessManager network;
  return AwaitReply(network.get(Request(aUrl)));
}

HttpAnswer
HttpPut(const QString& aUrl, const QJsonObject& aBody)
{
  QNetworkAccessManager network;
  return AwaitReply(network.put(Request(aUrl), SerializeJson(aBody)));
}

HttpAnswer
HttpPost(const QString& aUrl, const QJsonObject& aBody)
{
  QNetworkAccessManager network;
  return AwaitReply(network.post(Request(aUrl), SerializeJson(aBody)));
}

}
