#include "Platform.h"

#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QPointer>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>
#include <memory>

namespace review {

namespace {

/// The time of an answer that the deployment's sheet names.
constexpr int kAnswerMs = 4;

}

HttpServer::HttpServer(Handler aHandler)
  : mHandler(std::move(aHandler))
{
  mServer.listen(QHostAddress::LocalHost);
  connect(&mServer, &QTcpServer::newConnection, this, [this] {
    while (auto* socket = mServer.nextPendingConnection()) {
      const auto buffer = std::make_shared<QByteArray>();
      socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
      connect(socket, &QTcpSocket::readyRead, this, [this, socket, buffer] {
        *buffer += socket->readAll();
        Parse(socket, *buffer);
      });
      connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    }
  });
}

HttpServer::~HttpServer()
{
  for (auto* it : mServer.findChildren<QTcpSocket*>()) {
    it->disconnect(this);
  }
}

void
HttpServer::Parse(QTcpSocket* aSocket, QByteArray& aBuffer)
{
  while (true) {
    const auto end = aBuffer.indexOf("\r\n\r\n");
    if (end < 0) {
      return;
    }
    HttpRequest request;
    const auto lines = aBuffer.left(end).split('\n');
    for (const auto& it : lines.mid(1)) {
      const auto colon = it.indexOf(':');
      request.mHeaders[it.left(colon).toLower()] = it.mid(colon + 1).trimmed();
    }
    const auto length = request.mHeaders["content-length"].toLongLong();
    if (aBuffer.size() < end + 4 + length) {
      return;
    }
    const auto first = lines[0].trimmed().split(' ');
    request.mMethod = first.value(0);
    request.mTarget = first.value(1);
    request.mBody = aBuffer.mid(end + 4, length);
    aBuffer.remove(0, end + 4 + length);
    const QPointer<QTcpSocket> socket(aSocket);
    mHandler(request, [socket](int aStatus, const QJsonObject& aBody) {
      QTimer::singleShot(kAnswerMs, [socket, aStatus, aBody] {
        if (!socket) {
          return;
        }
        if (aStatus == 0) {
          socket->abort();
          return;
        }
        const auto body = QJsonDocument(aBody).toJson(QJsonDocument::Compact);
        socket->write("HTTP/1.1 " + QByteArray::number(aStatus) +
                      " -\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      QByteArray::number(body.size()) + "\r\n\r\n" + body);
      });
    });
  }
}

Store::Store()
  : mHttp(
      [this](const HttpRequest& aRequest, const HttpServer::Respond& aRespond) {
        Handle(aRequest, aRespond);
      })
{
}

void
Store::Handle(const HttpRequest& aRequest, const HttpServer::Respond& aRespond)
{
  const QUrl url(QString::fromUtf8(aRequest.mTarget));
  const auto path = url.path().split('/', Qt::SkipEmptyParts);
  const auto kind = path.value(2);
  const auto name = path.value(3);
  const auto body = QJsonDocument::fromJson(aRequest.mBody).object();
  if (path.value(0) != "api" || path.value(1) != "objects" || kind.isEmpty()) {
    aRespond(404, {});
  } else if (aRequest.mMethod == "POST") {
    HandleWrite(
      kind, body["meta"].toObject()["name"].toString(), true, body, aRespond);
  } else if (aRequest.mMethod == "PUT") {
    HandleWrite(kind, name, false, body, aRespond);
  } else if (name.isEmpty()) {
    HandleList(kind, url.query(), aRespond);
  } else if (mObjects[kind].contains(name)) {
    aRespond(200, mObjects[kind][name]);
  } else {
    aRespond(404, {});
  }
}

void
Store::HandleList(const QString& aKind,
                  const QString& aQuery,
                  const HttpServer::Respond& aRespond)
{
  const QUrlQuery query(aQuery);
  if (!query.hasQueryItem("watch")) {
    QJsonArray items;
    for (const auto& [name, it] : mObjects[aKind]) {
      items.append(it);
    }
    aRespond(200,
             { { "items", items },
               { "more", false },
               { "storeRevision", mRevision } });
    return;
  }
  const Watch watch{
    aKind, query.queryItemValue("watch").toLongLong(), aRespond, ++mLastWatch
  };
  if (Answer(watch, false)) {
    return;
  }
  mWatches.push_back(watch);
  const auto waitMs = std::min(query.queryItemValue("waitMs").toInt(), 30000);
  QTimer::singleShot(waitMs, [this, id = watch.mId] {
    std::erase_if(mWatches, [&](const auto& it) {
      return it.mId == id && Answer(it, true);
    });
  });
}

bool
Store::Answer(const Watch& aWatch, bool aIsDue)
{
  QJsonArray events;
  for (const auto& it : mChanges) {
    if (it.mKind == aWatch.mKind && it.mRevision > aWatch.mAfter) {
      events.append(
        QJsonObject{ { "deleted", it.mIsDeleted }, { "object", it.mObject } });
    }
  }
  if (events.isEmpty() && !aIsDue) {
    return false;
  }
  aWatch.mRespond(200,
                  { { "events", events }, { "storeRevision", mRevision } });
  return true;
}

void
Store::HandleWrite(const QString& aKind,
                   const QString& aName,
                   bool aCreates,
                   const QJsonObject& aBody,
                   const HttpServer::Respond& aRespond)
{
  auto& objects = mObjects[aKind];
  const auto known = objects.find(aName);
  if (known == objects.end() && !aCreates) {
    aRespond(404, {});
    return;
  }
  const auto expected = aBody["meta"].toObject()["revision"];
  const bool isStale =
    known != objects.end() && !expected.isUndefined() &&
    expected.toInteger() !=
      known->second["meta"].toObject()["revision"].toInteger();
  if (known != objects.end() && (aCreates || isStale)) {
    aRespond(409, known->second);
    return;
  }
  Put(aKind, aName, aBody["spec"]);
  aRespond(200, mObjects[aKind][aName]);
}

void
Store::Put(const QString& aKind, const QString& aName, const QJsonValue& aSpec)
{
  auto& known = mObjects[aKind][aName];
  if (!known.isEmpty() && known["spec"] == aSpec) {
    return;
  }
  const auto created = known["meta"].toObject()["created"].toInteger(0);
  ++mRevision;
  known = QJsonObject{ { "meta",
                         QJsonObject{
                           { "name", aName },
                           { "revision", mRevision },
                           { "created", created == 0 ? mRevision : created },
                           { "finalizers", QJsonArray() },
                           { "deleting", false } } },
                       { "spec", aSpec },
                       { "status", QJsonValue::Null } };
  Record(aKind, known, false);
}

void
Store::Remove(const QString& aKind, const QString& aName)
{
  const auto it = mObjects[aKind].find(aName);
  if (it == mObjects[aKind].end()) {
    return;
  }
  const auto object = it->second;
  mObjects[aKind].erase(it);
  ++mRevision;
  Record(aKind, object, true);
}

void
Store::CutWatches()
{
  const auto watches = std::exchange(mWatches, {});
  for (const auto& it : watches) {
    it.mRespond(0, {});
  }
}

void
Store::Record(const QString& aKind, const QJsonObject& aObject, bool aIsDeleted)
{
  mChanges.push_back({ mRevision, aKind, aObject, aIsDeleted });
  std::erase_if(mWatches, [this](const auto& it) { return Answer(it, false); });
}

PromotionDuty::PromotionDuty(Handler aHandler)
  : mHandler(std::move(aHandler))
  , mHttp(
      [this](const HttpRequest& aRequest, const HttpServer::Respond& aRespond) {
        const auto header = [&](const char* aName) {
          const auto it = aRequest.mHeaders.find(aName);
          return it != aRequest.mHeaders.end() ? it->second : QByteArray();
        };
        if (aRequest.mMethod != "POST" || aRequest.mTarget != "/promote") {
          aRespond(404, {});
          return;
        }
        const auto body = QJsonDocument::fromJson(aRequest.mBody).object();
        aRespond(mHandler({ body["backend"].toString(),
                            body["id"].toString(),
                            QString::fromUtf8(header("x-lease-holder")),
                            header("x-fencing-token").toULongLong() }),
                 {});
      })
{
}

}
