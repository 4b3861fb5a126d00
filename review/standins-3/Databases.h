#pragma once

#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace review {

struct Position
{
  quint64 mTerm = 1;
  quint64 mNumber = 0;

  auto operator<=>(const Position&) const = default;
  QByteArray ToText() const;
};

struct LogEntry
{
  Position mPosition;
  QByteArray mItem;
  QByteArray mData;
};

/// The databases of one service. Replicas receive a commit after the time of a
/// message and apply it kLagMs later.
class Databases : public QObject
{
public:
  struct Database
  {
    QString mName;
    bool mIsPrimary = false;
    bool mIsRunning = true;
    /// Receives nothing from the primary.
    bool mIsDeaf = false;
    quint64 mTerm = 1;
    quint64 mFencedTerm = 0;
    std::vector<LogEntry> mLog;
    /// How many entries of the log are applied.
    size_t mApplied = 0;
    std::unique_ptr<QTcpServer> mServer;
    std::vector<QTcpSocket*> mSockets;

    Position Received() const;
    Position Applied() const;
  };

  /// aRecord receives a line for each event worth telling.
  Databases(QString aService,
            const std::vector<QString>& aNames,
            int aSyncReplicas,
            std::function<void(const QString&)> aRecord);
  ~Databases() override;

  std::vector<std::unique_ptr<Database>>& All() { return mDatabases; }
  /// Starts a database more, as a replica that has the primary's log.
  void Add(const QString& aName);
  void SetDeaf(const QString& aName, bool aIsDeaf);
  Database* Find(const QString& aName);
  Database& Primary();
  /// Names the database that takes over. Returns the status of the answer.
  int Promote(const QString& aName);
  /// Called when a database starts or stops leading.
  std::function<void()> mOnRoles;

private:
  struct Session
  {
    QByteArray mBuffer;
    bool mIsOpen = false;
    bool mIsInTransaction = false;
    bool mHasFailed = false;
    bool mIsReadOnly = false;
    std::vector<std::pair<QByteArray, QByteArray>> mStaged;
    std::map<QByteArray, std::pair<bool, QByteArray>> mPrepared;
  };

  void Listen(Database& aDatabase);
  void Accept(Database& aDatabase);
  /// Sends an answer once enough replicas have received what it acknowledges.
  void Deliver(Database& aDatabase,
               const QPointer<QTcpSocket>& aSocket,
               const QByteArray& aAnswer,
               Position aCommitted);
  /// The time that a statement takes, in milliseconds.
  static int WorkOf(const QByteArray& aText);
  QByteArray Start(Database& aDatabase,
                   Session& aSession,
                   const QByteArray& aLine);
  QByteArray Run(Database& aDatabase, Session& aSession, QByteArray aText);
  QByteArray RunOrder(Database& aDatabase, const QList<QByteArray>& aWords);
  QByteArray Commit(Database& aDatabase, Session& aSession);
  void Append(Database& aDatabase, const QByteArray& aItem, const QByteArray&);
  /// Lets the replicas receive what the primary of the highest term has.
  void Replicate();
  void CompleteApplying(Database& aDatabase);

  QString mService;
  int mSyncReplicas = 0;
  std::function<void(const QString&)> mRecord;
  std::vector<std::unique_ptr<Database>> mDatabases;
  quint64 mSignatures = 0;
};

}
