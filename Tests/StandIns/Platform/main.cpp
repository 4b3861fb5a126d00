#include "ObjectStore.h"

#include <QCoreApplication>
#include <QHttpServer>
#include <QJsonDocument>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <QUrlQuery>
#include <cstdio>
#include <docopt.h>
#include <list>

namespace {

using namespace papayaline;
using StatusCode = QHttpServerResponder::StatusCode;
using Method = QHttpServerRequest::Method;

constexpr const char kUsage[] =
  R"(Stand-in for the platform's object API.

Usage:
  standin-platform [options]

Options:
  --port=N   Port to listen on; 0 picks a free one [default: 0].
)";

/// The faults that a test has set.
struct Faults
{
  /// "none", "refuse" (503 at once) or "hang" (no answer).
  QString mOutage = "none";
  int mDelayMs = 0;
  /// The number of coming changes that take effect but whose answer is lost.
  int mAnswersToLose = 0;
  bool mStaleReads = false;
};

/// An open watch request that streams changes as JSON lines.
struct Watch
{
  QHttpServerResponder mResponder;
  QPointer<QTcpSocket> mSocket;
  QString mKind;
  qint64 mSentVersion;
};

class PlatformServer
{
public:
  PlatformServer()
  {
    mServer.setMissingHandler([this](const QHttpServerRequest& aRequest,
                                     QHttpServerResponder&& aResponder) {
      HandleRequest(aRequest, std::move(aResponder));
    });
  }

  quint16 Listen(quint16 aPort)
  {
    return mServer.listen(QHostAddress::LocalHost, aPort);
  }

private:
  void HandleRequest(const QHttpServerRequest& aRequest,
                     QHttpServerResponder&& aResponder)
  {
    const auto parts = aRequest.url().path().split('/', Qt::SkipEmptyParts);
    if (parts.value(0) == "control") {
      HandleControlRequest(parts, aRequest, aResponder);
      return;
    }
    if (mFaults.mOutage == "refuse") {
      aResponder.write(StatusCode::ServiceUnavailable);
      return;
    }
    if (mFaults.mOutage == "hang") {
      mUnansweredRequests.push_back(std::move(aResponder));
      return;
    }
    auto responder =
      std::make_shared<QHttpServerResponder>(std::move(aResponder));
    const auto method = aRequest.method();
    const auto body = QJsonDocument::fromJson(aRequest.body()).object();
    const auto from = QUrlQuery(aRequest.url()).queryItemValue("from");
    const QPointer socket = responder->socket();
    QTimer::singleShot(
      mFaults.mDelayMs, &mServer, [=, this, fromVersion = from.toLongLong()] {
        if (socket) {
          HandleApiRequest(
            parts, method, body, fromVersion, std::move(*responder));
        }
      });
  }

  void HandleApiRequest(const QStringList& aParts,
                        Method aMethod,
                        const QJsonObject& aBody,
                        qint64 aFrom,
                        QHttpServerResponder aResponder)
  {
    const auto what = aParts.value(1);
    const auto kind = aParts.value(2);
    if (what == "instances") {
      CountRequest("instances");
      aResponder.write(QJsonDocument(QJsonObject{ { "items", mInstances } }));
    } else if (what == "watch") {
      CountRequest("watch");
      StartWatch(kind, aFrom, std::move(aResponder));
    } else if (aMethod == Method::Put) {
      CountRequest("put");
      Put(kind, aParts.value(3), aBody, std::move(aResponder));
    } else if (aParts.size() == 3) {
      CountRequest("list");
      aResponder.write(QJsonDocument(QJsonObject{
        { "version", mStore.Version() }, { "items", mStore.List(kind) } }));
    } else {
      CountRequest("get");
      Get(kind, aParts.value(3), aResponder);
    }
  }

  void Get(const QString& aKind,
           const QString& aName,
           QHttpServerResponder& aResponder)
  {
    const auto& store = mFaults.mStaleReads ? mStaleStore : mStore;
    const auto object = store.Get(aKind, aName);
    if (object) {
      aResponder.write(QJsonDocument(*object));
    } else {
      aResponder.write(StatusCode::NotFound);
    }
  }

  void Put(const QString& aKind,
           const QString& aName,
           const QJsonObject& aBody,
           QHttpServerResponder aResponder)
  {
    const auto stored = mStore.Put(
      aKind, aName, aBody["version"].toInteger(), aBody["spec"].toObject());
    if (stored) {
      NotifyWatches();
    }
    if (stored && mFaults.mAnswersToLose > 0) {
      --mFaults.mAnswersToLose;
      if (auto* socket = aResponder.socket()) {
        socket->abort();
      }
      return;
    }
    if (stored) {
      aResponder.write(QJsonDocument(*stored));
    } else {
      aResponder.write(
        QJsonDocument(mStore.Get(aKind, aName).value_or(QJsonObject())),
        StatusCode::Conflict);
    }
  }

  void StartWatch(const QString& aKind,
                  qint64 aFrom,
                  QHttpServerResponder aResponder)
  {
    if (!mStore.ChangesAfter(aKind, aFrom)) {
      aResponder.write(StatusCode::Gone);
      return;
    }
    aResponder.writeStatusLine(StatusCode::Ok);
    aResponder.writeHeaders(
      { { "Content-Type", "application/json" }, { "Connection", "close" } });
    aResponder.writeBody("\n");
    QPointer socket = aResponder.socket();
    mWatches.push_back({ std::move(aResponder), socket, aKind, aFrom });
    NotifyWatches();
  }

  void NotifyWatches()
  {
    mWatches.remove_if([](const auto& it) {
      return !it.mSocket ||
             it.mSocket->state() != QAbstractSocket::ConnectedState;
    });
    for (auto& it : mWatches) {
      const auto changes = mStore.ChangesAfter(it.mKind, it.mSentVersion);
      it.mSentVersion = mStore.Version();
      for (const auto& change : changes.value_or(QJsonArray())) {
        it.mSocket->write(
          QJsonDocument(change.toObject()).toJson(QJsonDocument::Compact) +
          "\n");
      }
    }
  }

  void AbortWatches()
  {
    for (auto& it : mWatches) {
      if (it.mSocket) {
        it.mSocket->abort();
      }
    }
    mWatches.clear();
  }

  /// Handles the control requests: POST /control sets the faults, PUT
  /// /control/instances sets the list of instances, and GET /control/counts
  /// returns the number of requests by kind.
  void HandleControlRequest(const QStringList& aParts,
                            const QHttpServerRequest& aRequest,
                            QHttpServerResponder& aResponder)
  {
    const auto body = QJsonDocument::fromJson(aRequest.body()).object();
    if (aParts.value(1) == "counts") {
      NotifyWatches();
      mCounts["open_watches"] = static_cast<qint64>(mWatches.size());
      aResponder.write(QJsonDocument(mCounts));
      return;
    }
    if (aParts.value(1) == "instances") {
      mInstances = body["items"].toArray();
    } else {
      SetFaults(body);
    }
    aResponder.write(QJsonDocument(QJsonObject{ { "ok", true } }));
  }

  void SetFaults(const QJsonObject& aBody)
  {
    mFaults.mOutage = aBody["outage"].toString("none");
    mFaults.mDelayMs = aBody["slow_ms"].toInt();
    mFaults.mAnswersToLose = aBody["lost_answers"].toInt();
    const bool wasStale = mFaults.mStaleReads;
    mFaults.mStaleReads = aBody["stale_reads"].toBool();
    if (mFaults.mStaleReads && !wasStale) {
      mStaleStore = mStore;
    }
    if (mFaults.mOutage == "none") {
      mUnansweredRequests.clear();
    } else {
      AbortWatches();
    }
  }

  void CountRequest(const QString& aKind)
  {
    mCounts[aKind] = mCounts[aKind].toInteger() + 1;
  }

  QHttpServer mServer;
  ObjectStore mStore;
  ObjectStore mStaleStore;
  Faults mFaults;
  std::list<Watch> mWatches;
  std::list<QHttpServerResponder> mUnansweredRequests;
  QJsonArray mInstances;
  QJsonObject mCounts;
};

}

int
main(int argc, char* argv[])
{
  QCoreApplication application(argc, argv);
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
  PlatformServer server;
  const auto port =
    server.Listen(static_cast<quint16>(arguments["--port"].asLong()));
  if (port == 0) {
    std::fprintf(stderr, "can't listen\n");
    return 1;
  }
  std::printf("listening on %d\n", port);
  std::fflush(stdout);
  return QCoreApplication::exec();
}
