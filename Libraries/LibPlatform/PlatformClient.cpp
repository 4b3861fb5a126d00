#include "LibPlatform/PlatformClient.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QNetworkReply>
#include <algorithm>

namespace papayaline {

namespace {

constexpr int kCallTimeoutMs = 2000;
constexpr int kConflict = 409;
constexpr int kNotFound = 404;
constexpr int kGone = 410;

int
StatusOf(const QNetworkReply& aReply)
{
  return aReply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

Error
ErrorOf(const QNetworkReply& aReply)
{
  const auto text = aReply.errorString().toStdString();
  switch (StatusOf(aReply)) {
    case kConflict:
      return { ErrorKind::Conflict, "the object has changed" };
    case kNotFound:
    case kGone:
      return { ErrorKind::NotFound, text };
    default:
      return { ErrorKind::Unreachable, text };
  }
}

PlatformObject
ObjectFromJson(const QJsonObject& aJson)
{
  return { aJson["kind"].toString(),
           aJson["name"].toString(),
           aJson["version"].toInteger(),
           aJson["spec"].toObject() };
}

}

std::vector<InstanceInfo>
InstancesFromJson(const QJsonArray& aItems)
{
  std::vector<InstanceInfo> instances;
  for (const auto& it : aItems) {
    const auto item = it.toObject();
    instances.push_back({ item["name"].toString().toStdString(),
                          item["failureDomain"].toString().toStdString(),
                          item["address"].toString().toStdString(),
                          item["leaving"].toBool() });
  }
  return instances;
}

QJsonArray
InstancesToJson(const std::vector<InstanceInfo>& aInstances)
{
  QJsonArray items;
  for (const auto& it : aInstances) {
    items.append(QJsonObject{
      { "name", QString::fromStdString(it.mName) },
      { "failureDomain", QString::fromStdString(it.mFailureDomain) },
      { "address", QString::fromStdString(it.mAddress) },
      { "leaving", it.mIsLeaving } });
  }
  return items;
}

PlatformClient::PlatformClient(const std::string& aAddress, QObject* aParent)
  : QObject(aParent)
  , mBaseUrl("http://" + QString::fromStdString(aAddress) + "/v1/")
{
}

QNetworkRequest
PlatformClient::Request(const QString& aPath) const
{
  QNetworkRequest request{ QUrl(mBaseUrl + aPath) };
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  request.setTransferTimeout(kCallTimeoutMs);
  return request;
}

void
PlatformClient::Finish(QNetworkReply* aReply, const ObjectHandler& aHandler)
{
  connect(aReply, &QNetworkReply::finished, this, [aReply, aHandler] {
    aReply->deleteLater();
    if (aReply->error() != QNetworkReply::NoError) {
      aHandler(ErrorOf(*aReply));
      return;
    }
    const auto json = QJsonDocument::fromJson(aReply->readAll()).object();
    aHandler(ObjectFromJson(json));
  });
}

void
PlatformClient::Get(const QString& aKind,
                    const QString& aName,
                    ObjectHandler aHandler)
{
  ++mCounts.mReads;
  Finish(mNetwork.get(Request("objects/" + aKind + "/" + aName)), aHandler);
}

void
PlatformClient::Put(const QString& aKind,
                    const QString& aName,
                    int64_t aVersion,
                    const QJsonObject& aSpec,
                    ObjectHandler aHandler)
{
  ++mCounts.mWrites;
  const QJsonObject body{ { "version", static_cast<qint64>(aVersion) },
                          { "spec", aSpec } };
  Finish(mNetwork.put(Request("objects/" + aKind + "/" + aName),
                      QJsonDocument(body).toJson(QJsonDocument::Compact)),
         aHandler);
}

void
PlatformClient::ListInstances(InstancesHandler aHandler)
{
  ++mCounts.mInstanceLists;
  auto* reply = mNetwork.get(Request("instances"));
  connect(reply, &QNetworkReply::finished, this, [reply, aHandler] {
    reply->deleteLater();
    if (reply->error() != QNetworkReply::NoError) {
      aHandler(ErrorOf(*reply));
      return;
    }
    const auto json = QJsonDocument::fromJson(reply->readAll()).object();
    aHandler(InstancesFromJson(json["items"].toArray()));
  });
}

void
PlatformClient::Watch(const QString& aKind,
                      int64_t aFromVersion,
                      std::function<void(const PlatformObject&)> aOnChange,
                      std::function<void(const Error&)> aOnEnd)
{
  StopWatch();
  ++mCounts.mWatches;
  auto request =
    Request("watch/" + aKind + "?from=" + QString::number(aFromVersion));
  request.setTransferTimeout(0);
  auto* reply = mNetwork.get(request);
  mWatchReply = reply;
  connect(reply, &QNetworkReply::readyRead, this, [reply, aOnChange] {
    while (reply->canReadLine()) {
      const auto line = reply->readLine().trimmed();
      if (!line.isEmpty()) {
        aOnChange(ObjectFromJson(QJsonDocument::fromJson(line).object()));
      }
    }
  });
  connect(reply, &QNetworkReply::finished, this, [reply, aOnEnd] {
    reply->deleteLater();
    const bool isTooOld = StatusOf(*reply) == kGone;
    aOnEnd({ isTooOld ? ErrorKind::NotFound : ErrorKind::Unreachable,
             reply->errorString().toStdString() });
  });
}

void
PlatformClient::StopWatch()
{
  if (mWatchReply) {
    mWatchReply->disconnect(this);
    mWatchReply->abort();
    mWatchReply->deleteLater();
    mWatchReply.clear();
  }
}

}
