#pragma once

#include <QJsonObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <map>

namespace papayaline {

/// The platform's metadata store and its promotion call, in the test's event
/// loop.
class LineStore : public QObject
{
public:
  LineStore();
  ~LineStore() override;

  quint16 Port() const { return mServer.serverPort(); }
  /// Writes as the operator or a database does.
  void Put(const QString& aKind,
           const QString& aName,
           const QJsonObject& aSpec);
  void Remove(const QString& aKind, const QString& aName);
  QJsonObject Find(const QString& aKind, const QString& aName) const;
  /// While set, connections are accepted and nothing is answered.
  void SetSilent(bool aIsSilent) { mIsSilent = aIsSilent; }

  /// While set, calls take effect and their answers are lost.
  void SetLosingAnswers(bool aIsLosing) { mIsLosingAnswers = aIsLosing; }

  /// Answers whether a promotion is accepted.
  std::function<bool(const QString&)> mOnPromote;
  std::vector<quint64> mTokens;

private:
  struct Reply
  {
    int mStatus = 200;
    QJsonObject mBody;
  };
  struct Watch
  {
    QTcpSocket* mSocket = nullptr;
    QString mKind;
    qint64 mAfter = 0;
  };
  struct Change
  {
    qint64 mRevision = 0;
    QString mKind;
    QJsonObject mObject;
    bool mIsDeleted = false;
  };

  void Read(QTcpSocket* aSocket, QByteArray& aBuffer);
  void Handle(QTcpSocket* aSocket,
              const QByteArray& aMethod,
              const QByteArray& aTarget,
              const QByteArray& aHead,
              const QByteArray& aBody);
  Reply Store(const QString& aKind,
              const QString& aName,
              const QJsonObject& aBody,
              bool aCreates);
  void Record(const QString& aKind,
              const QJsonObject& aObject,
              bool aIsDeleted);
  void AnswerWatches();
  bool AnswerWatch(const Watch& aWatch, bool aIsLast);
  void Send(QTcpSocket* aSocket, const Reply& aReply);

  QTcpServer mServer;
  bool mIsSilent = false;
  bool mIsLosingAnswers = false;
  qint64 mRevision = 1;
  std::map<std::pair<QString, QString>, QJsonObject> mObjects;
  std::vector<Change> mChanges;
  std::vector<Watch> mWatches;
};

}
