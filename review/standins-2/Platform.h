#pragma once

#include "Network.h"
#include "Record.h"

#include <QJsonObject>
#include <vector>

namespace review {

/// The platform: its store of objects and its call that promotes a database.
class Platform : public QObject
{
public:
  Platform(Network& aNetwork, Record& aRecord);

  /// The port at which an instance reaches the store and the promotion call.
  quint16 PortFor(const std::string& aInstance);
  /// What databases and the operator write.
  void Put(const QString& aKind,
           const QString& aName,
           const QJsonObject& aSpec);
  void Remove(const QString& aKind, const QString& aName);

  /// Promotes a database; returns whether it runs.
  std::function<bool(const std::string& aId)> mOnPromote;
  /// What an instance sees of an object, for what differs between instances.
  std::function<QJsonObject(const std::string& aInstance,
                            const QString& aKind,
                            const QJsonObject& aSpec)>
    mViewOf;

  struct Order
  {
    std::string mFrom;
    std::string mHolder;
    quint64 mToken = 0;
    std::string mDatabase;
    double mAt = 0;
  };
  const std::vector<Order>& Orders() const { return mOrders; }
  /// The instance that last wrote under a condition; empty without one.
  const std::string& LastWriter() const { return mLastWriter; }

private:
  struct Connection
  {
    std::string mInstance;
    std::shared_ptr<Pipe> mPipe;
    QByteArray mBuffer;
    bool mIsWaiting = false;
  };
  using ConnectionPointer = std::shared_ptr<Connection>;
  struct Watch
  {
    ConnectionPointer mConnection;
    QString mKind;
    qint64 mAfter = 0;
    double mEnd = 0;
  };
  struct Change
  {
    qint64 mRevision = 0;
    QString mKind;
    QString mName;
    QJsonObject mObject;
    bool mIsDeleted = false;
  };

  void Parse(const ConnectionPointer& aConnection);
  void Handle(const ConnectionPointer& aConnection,
              const QByteArray& aMethod,
              const QByteArray& aTarget,
              const QByteArray& aHead,
              const QByteArray& aBody);
  void Promote(const ConnectionPointer& aConnection,
               const QByteArray& aHead,
               const QJsonObject& aBody);
  void Write(const ConnectionPointer& aConnection,
             const QString& aKind,
             const QString& aName,
             const QJsonObject& aBody,
             bool aCreates);
  void Answer(const ConnectionPointer& aConnection,
              int aStatus,
              const QJsonObject& aBody);
  QJsonObject View(const std::string& aInstance,
                   const QString& aKind,
                   QJsonObject aObject) const;
  bool AnswerWatch(const Watch& aWatch, bool aIsOver);

  Network& mNetwork;
  Record& mRecord;
  qint64 mRevision = 100;
  std::map<std::pair<QString, QString>, QJsonObject> mObjects;
  std::vector<Change> mChanges;
  std::vector<Watch> mWatches;
  std::vector<Order> mOrders;
  std::string mLastWriter;
};

}
