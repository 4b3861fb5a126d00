#include "Platform.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>
#include <algorithm>

namespace review {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
/// The store's time for an answer.
constexpr int kAnswerMs = 4;
/// A list holds about so much at most.
constexpr qsizetype kPageBytes = 1'000'000;
const QString kObjectsPath = "/api/objects/";

QByteArray
HeaderOf(const QByteArray& aHead, const QByteArray& aName)
{
  for (const auto& it : aHead.split('\n')) {
    if (it.toLower().startsWith(aName + ":")) {
      return it.mid(aName.size() + 1).trimmed();
    }
  }
  return {};
}

}

Platform::Platform(Network& aNetwork, Record& aRecord)
  : mNetwork(aNetwork)
  , mRecord(aRecord)
{
  auto* timer = new QTimer(this);
  connect(timer, &QTimer::timeout, this, [this] {
    std::erase_if(mWatches, [this](const auto& it) {
      return NowMs() >= it.mEnd && AnswerWatch(it, true);
    });
  });
  timer->start(10);
}

quint16
Platform::PortFor(const std::string& aInstance)
{
  return mNetwork.Listen(
    aInstance, "platform", [=, this](const std::shared_ptr<Pipe>& aPipe) {
      const auto connection = std::make_shared<Connection>();
      connection->mInstance = aInstance;
      connection->mPipe = aPipe;
      aPipe->mOnBytes = [=, this](const QByteArray& aBytes) {
        connection->mBuffer += aBytes;
        Parse(connection);
      };
      aPipe->mOnEnd = [=, this] {
        std::erase_if(mWatches, [&](const auto& it) {
          return it.mConnection == connection;
        });
        QTimer::singleShot(0, this, [connection] {
          connection->mPipe->mOnBytes = nullptr;
          connection->mPipe->mOnEnd = nullptr;
          connection->mPipe.reset();
        });
      };
    });
}

void
Platform::Parse(const ConnectionPointer& aConnection)
{
  auto& buffer = aConnection->mBuffer;
  while (true) {
    const auto end = buffer.indexOf("\r\n\r\n");
    if (end < 0) {
      return;
    }
    const auto head = buffer.left(end);
    const auto length = HeaderOf(head, "content-length").toLongLong();
    if (buffer.size() < end + 4 + length) {
      return;
    }
    const auto body = buffer.mid(end + 4, length);
    buffer.remove(0, end + 4 + length);
    const auto first = head.split('\r').first().split(' ');
    Handle(aConnection, first[0], first.value(1), head, body);
  }
}

void
Platform::Answer(const ConnectionPointer& aConnection,
                 int aStatus,
                 const QJsonObject& aBody)
{
  const auto body = QJsonDocument(aBody).toJson(QJsonDocument::Compact);
  const auto text = "HTTP/1.1 " + QByteArray::number(aStatus) +
                    " X\r\nContent-Type: application/json\r\n"
                    "Content-Length: " +
                    QByteArray::number(body.size()) + "\r\n\r\n" + body;
  QTimer::singleShot(kAnswerMs, this, [=] {
    if (aConnection->mPipe) {
      aConnection->mPipe->Send(text);
    }
  });
}

QJsonObject
Platform::View(const std::string& aInstance,
               const QString& aKind,
               QJsonObject aObject) const
{
  if (mViewOf) {
    aObject["spec"] = mViewOf(aInstance, aKind, aObject["spec"].toObject());
  }
  return aObject;
}

void
Platform::Handle(const ConnectionPointer& aConnection,
                 const QByteArray& aMethod,
                 const QByteArray& aTarget,
                 const QByteArray& aHead,
                 const QByteArray& aBody)
{
  const QUrl url(QString::fromUtf8(aTarget));
  const auto body = QJsonDocument::fromJson(aBody).object();
  const auto& instance = aConnection->mInstance;
  if (url.path() == "/promote") {
    Promote(aConnection, aHead, body);
    return;
  }
  const auto path = url.path().mid(kObjectsPath.size()).split('/');
  const auto& kind = path[0];
  if (aMethod == "POST" || aMethod == "PUT") {
    const auto name =
      path.size() > 1 ? path[1] : body["meta"].toObject()["name"].toString();
    Write(aConnection, kind, name, body, aMethod == "POST");
    return;
  }
  if (path.size() > 1) {
    const auto it = mObjects.find({ kind, path[1] });
    if (it == mObjects.end()) {
      Answer(aConnection, kNotFound, {});
    } else {
      Answer(aConnection, kOk, View(instance, kind, it->second));
    }
    return;
  }
  const QUrlQuery query(url);
  if (query.hasQueryItem("watch")) {
    const Watch watch{ aConnection,
                       kind,
                       query.queryItemValue("watch").toLongLong(),
                       NowMs() + query.queryItemValue("waitMs").toInt() };
    if (!AnswerWatch(watch, false)) {
      mWatches.push_back(watch);
    }
    return;
  }
  QJsonArray items;
  qsizetype size = 0;
  bool hasMore = false;
  const auto after = query.queryItemValue("after");
  for (const auto& [key, object] : mObjects) {
    if (key.first != kind || (!after.isEmpty() && key.second <= after)) {
      continue;
    }
    const auto view = View(instance, kind, object);
    size += QJsonDocument(view).toJson(QJsonDocument::Compact).size();
    hasMore = !items.isEmpty() && size > kPageBytes;
    if (hasMore) {
      break;
    }
    items.append(view);
  }
  Answer(aConnection,
         kOk,
         { { "items", items },
           { "more", hasMore },
           { "storeRevision", mRevision } });
}

void
Platform::Promote(const ConnectionPointer& aConnection,
                  const QByteArray& aHead,
                  const QJsonObject& aBody)
{
  const Order order{ aConnection->mInstance,
                     HeaderOf(aHead, "x-lease-holder").toStdString(),
                     HeaderOf(aHead, "x-fencing-token").toULongLong(),
                     aBody["id"].toString().toStdString(),
                     NowMs() };
  mOrders.push_back(order);
  const bool runs = mOnPromote(order.mDatabase);
  mRecord.Write(QString("platform: promote %1 by %2 token %3 -> %4")
                  .arg(QString::fromStdString(order.mDatabase),
                       QString::fromStdString(order.mHolder))
                  .arg(order.mToken)
                  .arg(runs ? kOk : kConflict));
  Answer(aConnection, runs ? kOk : kConflict, {});
}

void
Platform::Write(const ConnectionPointer& aConnection,
                const QString& aKind,
                const QString& aName,
                const QJsonObject& aBody,
                bool aCreates)
{
  const auto it = mObjects.find({ aKind, aName });
  const bool exists = it != mObjects.end();
  const auto expected = aBody["meta"].toObject()["revision"].toInteger();
  const auto actual =
    exists ? it->second["meta"].toObject()["revision"].toInteger() : 0;
  if (exists && (aCreates || (expected != 0 && expected != actual))) {
    Answer(aConnection, kConflict, it->second);
    return;
  }
  if (!exists && !aCreates) {
    Answer(aConnection, kNotFound, {});
    return;
  }
  if (!exists || it->second["spec"] != aBody["spec"]) {
    Put(aKind, aName, aBody["spec"].toObject());
  }
  mLastWriter = aConnection->mInstance;
  if (aKind == "papayaline-duties") {
    mRecord.Write("platform: " + aKind + "/" + aName + " written by " +
                  QString::fromStdString(aConnection->mInstance) +
                  " revision " + QString::number(mRevision));
  }
  Answer(aConnection, kOk, mObjects[{ aKind, aName }]);
}

bool
Platform::AnswerWatch(const Watch& aWatch, bool aIsOver)
{
  QJsonArray events;
  for (const auto& it : mChanges) {
    if (it.mKind == aWatch.mKind && it.mRevision > aWatch.mAfter) {
      events.append(QJsonObject{
        { "deleted", it.mIsDeleted },
        { "object",
          View(aWatch.mConnection->mInstance, it.mKind, it.mObject) } });
    }
  }
  if (events.isEmpty() && !aIsOver) {
    return false;
  }
  Answer(aWatch.mConnection,
         kOk,
         { { "events", events }, { "storeRevision", mRevision } });
  return true;
}

void
Platform::Put(const QString& aKind,
              const QString& aName,
              const QJsonObject& aSpec)
{
  ++mRevision;
  const QJsonObject object{
    { "meta", QJsonObject{ { "name", aName }, { "revision", mRevision } } },
    { "spec", aSpec }
  };
  mObjects[{ aKind, aName }] = object;
  mChanges.push_back({ mRevision, aKind, aName, object, false });
  std::erase_if(mWatches,
                [this](const auto& it) { return AnswerWatch(it, false); });
}

void
Platform::Remove(const QString& aKind, const QString& aName)
{
  const auto it = mObjects.find({ aKind, aName });
  if (it == mObjects.end()) {
    return;
  }
  ++mRevision;
  mChanges.push_back({ mRevision, aKind, aName, it->second, true });
  mObjects.erase(it);
  std::erase_if(mWatches,
                [this](const auto& aIt) { return AnswerWatch(aIt, false); });
}

}
