#include "LineStore.h"

#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>
#include <algorithm>
#include <memory>

namespace papayaline {

namespace {

constexpr int kConflict = 409;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
const QString kObjectsPath = "/api/objects/";

}

LineStore::LineStore()
{
  mServer.listen(QHostAddress::LocalHost);
  connect(&mServer, &QTcpServer::newConnection, this, [this] {
    while (auto* socket = mServer.nextPendingConnection()) {
      const auto buffer = std::make_shared<QByteArray>();
      connect(socket, &QTcpSocket::readyRead, this, [=, this] {
        *buffer += socket->readAll();
        ParseRequests(socket, *buffer);
      });
      connect(socket, &QTcpSocket::disconnected, this, [=, this] {
        std::erase_if(mWatches,
                      [=](const auto& aIt) { return aIt.mSocket == socket; });
        socket->deleteLater();
      });
    }
  });
}

LineStore::~LineStore()
{
  // The sockets are destroyed with the server, after the members that their
  // signal handlers use.
  for (auto* it : mServer.findChildren<QTcpSocket*>()) {
    it->disconnect(this);
  }
}

void
LineStore::ParseRequests(QTcpSocket* aSocket, QByteArray& aBuffer)
{
  while (true) {
    const auto end = aBuffer.indexOf("\r\n\r\n");
    if (end < 0) {
      return;
    }
    const auto head = aBuffer.left(end);
    qsizetype length = 0;
    for (const auto& it : head.split('\n')) {
      if (it.toLower().startsWith("content-length:")) {
        length = it.mid(15).trimmed().toLongLong();
      }
    }
    if (aBuffer.size() < end + 4 + length) {
      return;
    }
    const auto body = aBuffer.mid(end + 4, length);
    aBuffer.remove(0, end + 4 + length);
    const auto first = head.split('\r').first().split(' ');
    if (!mIsUnresponsive) {
      HandleRequest(aSocket, first[0], first[1], head, body);
    }
  }
}

void
LineStore::Send(QTcpSocket* aSocket, const Answer& aAnswer)
{
  if (mIsDroppingAnswers) {
    return;
  }
  auto body = QJsonDocument(aAnswer.mBody).toJson(QJsonDocument::Compact);
  for (const auto& [key, text] : mTexts) {
    body.replace(key, text);
  }
  aSocket->write("HTTP/1.1 " + QByteArray::number(aAnswer.mStatus) +
                 " X\r\nStore-Era: " + QByteArray::number(mEra) +
                 "\r\nContent-Type: application/json\r\nContent-Length: " +
                 QByteArray::number(body.size()) + "\r\n\r\n" + body);
}

void
LineStore::HandleRequest(QTcpSocket* aSocket,
                         const QByteArray& aMethod,
                         const QByteArray& aTarget,
                         const QByteArray& aHead,
                         const QByteArray& aBody)
{
  const QUrl url(QString::fromUtf8(aTarget));
  const auto body = QJsonDocument::fromJson(aBody).object();
  if (url.path() == "/promote") {
    const auto at = aHead.toLower().indexOf("x-fencing-token:");
    mFencingTokens.push_back(
      aHead.mid(at + 16).split('\r').first().trimmed().toULongLong());
    Send(aSocket, { mOnPromote(body["id"].toString()) ? 200 : kConflict, {} });
    return;
  }
  const auto path = url.path().mid(kObjectsPath.size()).split('/');
  const auto& kind = path[0];
  if (aMethod == "POST" || aMethod == "PUT") {
    const auto name =
      path.size() > 1 ? path[1] : body["meta"].toObject()["name"].toString();
    Send(aSocket, WriteObject(kind, name, body, aMethod == "POST"));
    return;
  }
  if (path.size() > 1) {
    const auto it = mObjects.find({ kind, path[1] });
    Send(aSocket,
         it != mObjects.end() ? Answer{ 200, it->second }
                              : Answer{ kNotFound, {} });
    return;
  }
  const QUrlQuery query(url);
  if (!query.hasQueryItem("watch")) {
    QJsonArray items;
    for (const auto& [key, object] : mObjects) {
      if (key.first == kind) {
        items.append(object);
      }
    }
    Send(aSocket,
         { 200,
           { { "items", items },
             { "more", false },
             { "storeRevision", mRevision } } });
    return;
  }
  const Watch watch{ aSocket,
                     kind,
                     query.queryItemValue("watch").toLongLong() };
  if (watch.mAfterRevision > mRevision) {
    Send(aSocket, { kGone, {} });
    return;
  }
  if (CompleteWatch(watch, false)) {
    return;
  }
  mWatches.push_back(watch);
  const auto waitMs = query.queryItemValue("waitMs").toInt();
  mLongestWaitMs = std::max(mLongestWaitMs, waitMs);
  QTimer::singleShot(waitMs, aSocket, [=, this] {
    const auto n = std::erase_if(mWatches, [&](const auto& aIt) {
      return aIt.mSocket == aSocket &&
             aIt.mAfterRevision == watch.mAfterRevision;
    });
    if (n > 0 && !mIsUnresponsive) {
      CompleteWatch(watch, true);
    }
  });
}

bool
LineStore::CompleteWatch(const Watch& aWatch, bool aHasTimedOut)
{
  QJsonArray events;
  for (const auto& it : mChanges) {
    if (it.mKind == aWatch.mKind && it.mRevision > aWatch.mAfterRevision) {
      events.append(
        QJsonObject{ { "deleted", it.mIsDeleted }, { "object", it.mObject } });
    }
  }
  if (events.isEmpty() && !aHasTimedOut) {
    return false;
  }
  Send(aWatch.mSocket,
       { 200, { { "events", events }, { "storeRevision", mRevision } } });
  return true;
}

void
LineStore::CompleteWatches()
{
  std::erase_if(mWatches, [this](const auto& aIt) {
    return !mIsUnresponsive && CompleteWatch(aIt, false);
  });
}

void
LineStore::RecordChange(const QString& aKind,
                        const QJsonObject& aObject,
                        bool aIsDeleted)
{
  mChanges.push_back({ mRevision, aKind, aObject, aIsDeleted });
  CompleteWatches();
}

LineStore::Answer
LineStore::WriteObject(const QString& aKind,
                       const QString& aName,
                       const QJsonObject& aBody,
                       bool aCreates)
{
  const auto it = mObjects.find({ aKind, aName });
  const bool exists = it != mObjects.end();
  const auto expected = aBody["meta"].toObject()["revision"].toInteger();
  if (exists &&
      (aCreates ||
       (expected != 0 &&
        expected != it->second["meta"].toObject()["revision"].toInteger()))) {
    return { kConflict, it->second };
  }
  if (!exists && !aCreates) {
    return { kNotFound, {} };
  }
  Put(aKind, aName, aBody["spec"].toObject());
  return { 200, mObjects[{ aKind, aName }] };
}

void
LineStore::Put(const QString& aKind,
               const QString& aName,
               const QJsonObject& aSpec)
{
  ++mRevision;
  const QJsonObject object{
    { "meta", QJsonObject{ { "name", aName }, { "revision", mRevision } } },
    { "spec", aSpec }
  };
  mObjects[{ aKind, aName }] = object;
  RecordChange(aKind, object, false);
}

void
LineStore::Remove(const QString& aKind, const QString& aName)
{
  ++mRevision;
  const auto object = mObjects[{ aKind, aName }];
  mObjects.erase({ aKind, aName });
  RecordChange(aKind, object, true);
}

void
LineStore::PutText(const QString& aKind,
                   const QString& aName,
                   const QByteArray& aText)
{
  const auto key = "text " + QByteArray::number(mTexts.size());
  mTexts['"' + key + '"'] = aText;
  ++mRevision;
  const QJsonObject object{
    { "meta", QJsonObject{ { "name", aName }, { "revision", mRevision } } },
    { "spec", QString::fromLatin1(key) }
  };
  mObjects[{ aKind, aName }] = object;
  RecordChange(aKind, object, false);
}

void
LineStore::Restore(const Copy& aCopy)
{
  ++mEra;
  mRevision = aCopy.mRevision;
  mObjects = aCopy.mObjects;
  std::erase_if(mChanges,
                [this](const auto& it) { return it.mRevision > mRevision; });
  const auto watches = std::exchange(mWatches, {});
  for (const auto& it : watches) {
    it.mSocket->abort();
  }
}

QJsonObject
LineStore::Find(const QString& aKind, const QString& aName) const
{
  const auto it = mObjects.find({ aKind, aName });
  return it != mObjects.end() ? it->second["spec"].toObject() : QJsonObject();
}

}
