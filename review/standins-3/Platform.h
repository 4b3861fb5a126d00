#pragma once

#include <QJsonObject>
#include <QJsonValue>
#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <map>
#include <vector>

namespace review {

struct HttpRequest
{
  QByteArray mMethod;
  QByteArray mTarget;
  std::map<QByteArray, QByteArray> mHeaders;
  QByteArray mBody;
};

/// An HTTP/1.1 server on a free port of 127.0.0.1 that keeps connections open.
class HttpServer : public QObject
{
public:
  /// A status of 0 closes the connection without an answer.
  using Respond = std::function<void(int aStatus, const QJsonObject& aBody)>;
  using Handler = std::function<void(const HttpRequest&, const Respond&)>;

  explicit HttpServer(Handler aHandler);
  ~HttpServer() override;
  quint16 Port() const { return mServer.serverPort(); }

private:
  void Parse(QTcpSocket* aSocket, QByteArray& aBuffer);

  Handler mHandler;
  QTcpServer mServer;
};

/// The metadata store: objects by kind and name, lists, watches, and writes
/// under a condition.
class Store
{
public:
  Store();
  quint16 Port() const { return mHttp.Port(); }
  /// Writes without a condition, as the operator and the databases do.
  void Put(const QString& aKind, const QString& aName, const QJsonValue& aSpec);
  void Remove(const QString& aKind, const QString& aName);
  /// Closes the connections of the watches that wait.
  void CutWatches();

private:
  struct Change
  {
    qint64 mRevision = 0;
    QString mKind;
    QJsonObject mObject;
    bool mIsDeleted = false;
  };
  struct Watch
  {
    QString mKind;
    qint64 mAfter = 0;
    HttpServer::Respond mRespond;
    qint64 mId = 0;
  };

  void Handle(const HttpRequest& aRequest, const HttpServer::Respond& aRespond);
  void HandleList(const QString& aKind,
                  const QString& aQuery,
                  const HttpServer::Respond& aRespond);
  void HandleWrite(const QString& aKind,
                   const QString& aName,
                   bool aCreates,
                   const QJsonObject& aBody,
                   const HttpServer::Respond& aRespond);
  bool Answer(const Watch& aWatch, bool aIsDue);
  void Record(const QString& aKind,
              const QJsonObject& aObject,
              bool aIsDeleted);

  std::map<QString, std::map<QString, QJsonObject>> mObjects;
  std::vector<Change> mChanges;
  std::vector<Watch> mWatches;
  qint64 mRevision = 1;
  qint64 mLastWatch = 0;
  HttpServer mHttp;
};

/// An order that arrived at the platform.
struct PromotionOrder
{
  QString mService;
  QString mDatabase;
  QString mHolder;
  quint64 mToken = 0;
};

/// The promotion duty. It does not check the fence.
class PromotionDuty
{
public:
  /// Returns the status of the answer.
  using Handler = std::function<int(const PromotionOrder&)>;

  explicit PromotionDuty(Handler aHandler);
  quint16 Port() const { return mHttp.Port(); }

private:
  Handler mHandler;
  HttpServer mHttp;
};

}
