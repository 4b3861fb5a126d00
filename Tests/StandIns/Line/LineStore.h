#pragma once

#include <QJsonObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <map>

namespace papayaline {

/// An in-process stand-in for the platform's metadata store and its promotion
/// call. Uses the event loop of the test's thread.
class LineStore : public QObject
{
public:
  /// The content of the store at one moment.
  struct Copy
  {
    qint64 mRevision = 0;
    std::map<std::pair<QString, QString>, QJsonObject> mObjects;
  };

  LineStore();
  ~LineStore() override;

  quint16 Port() const { return mServer.serverPort(); }
  /// Stores an object, as the operator or a database does, without a check of
  /// its revision.
  void Put(const QString& aKind,
           const QString& aName,
           const QJsonObject& aSpec);
  void Remove(const QString& aKind, const QString& aName);
  /// Stores an object whose content is this text, which need not be JSON.
  void PutText(const QString& aKind,
               const QString& aName,
               const QByteArray& aText);
  Copy MakeCopy() const { return { mRevision, mObjects }; }
  /// Loses all changes after the copy and starts a new era. Waiting watches are
  /// cut off.
  void Restore(const Copy& aCopy);
  QJsonObject Find(const QString& aKind, const QString& aName) const;
  /// The longest time for which a watch was asked to wait.
  int LongestWaitMs() const { return mLongestWaitMs; }
  /// While set, the store accepts connections but ignores all requests.
  void SetUnresponsive(bool aIsUnresponsive)
  {
    mIsUnresponsive = aIsUnresponsive;
  }

  /// While set, requests take effect but their answers are not sent.
  void SetDroppingAnswers(bool aIsDropping)
  {
    mIsDroppingAnswers = aIsDropping;
  }

  /// Promotes the database with the given id; returns whether the promotion is
  /// accepted.
  std::function<bool(const QString&)> mOnPromote;
  std::vector<quint64> mFencingTokens;

private:
  struct Answer
  {
    int mStatus = 200;
    QJsonObject mBody;
  };
  struct Watch
  {
    QTcpSocket* mSocket = nullptr;
    QString mKind;
    qint64 mAfterRevision = 0;
  };
  struct Change
  {
    qint64 mRevision = 0;
    QString mKind;
    QJsonObject mObject;
    bool mIsDeleted = false;
  };

  void ParseRequests(QTcpSocket* aSocket, QByteArray& aBuffer);
  void HandleRequest(QTcpSocket* aSocket,
                     const QByteArray& aMethod,
                     const QByteArray& aTarget,
                     const QByteArray& aHead,
                     const QByteArray& aBody);
  Answer WriteObject(const QString& aKind,
                     const QString& aName,
                     const QJsonObject& aBody,
                     bool aCreates);
  void RecordChange(const QString& aKind,
                    const QJsonObject& aObject,
                    bool aIsDeleted);
  void CompleteWatches();
  bool CompleteWatch(const Watch& aWatch, bool aHasTimedOut);
  void Send(QTcpSocket* aSocket, const Answer& aAnswer);

  QTcpServer mServer;
  int mLongestWaitMs = 0;
  bool mIsUnresponsive = false;
  bool mIsDroppingAnswers = false;
  qint64 mRevision = 1;
  quint64 mEra = 1;
  /// The texts of PutText, by what stands for them in mObjects.
  std::map<QByteArray, QByteArray> mTexts;
  std::map<std::pair<QString, QString>, QJsonObject> mObjects;
  std::vector<Change> mChanges;
  std::vector<Watch> mWatches;
};

}
