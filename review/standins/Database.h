#pragma once

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace review {

struct LogEntry
{
  quint64 mTerm = 1;
  QByteArray mItem;
  QByteArray mData;
  /// The id of the statement that committed it.
  QByteArray mId;
};

/// What a database ran, for the judge.
struct Run
{
  QByteArray mId;
  QByteArray mText;
  QByteArray mDatabase;
  /// The number of log entries that were applied when it ran.
  size_t mApplied = 0;
  qint64 mAtMs = 0;
};

class DatabaseGroup;

/// A database of the users' platform, as PROTOCOL.md describes it: the line
/// protocol, a log, an applied position, roles and terms. Times are those of
/// the site files.
class Database : public QObject
{
public:
  Database(DatabaseGroup& aGroup, QByteArray aName, QByteArray aZone);
  ~Database() override;

  /// Crashes: all connections are reset and the port refuses.
  void Crash();
  /// Starts again at its address, with its log.
  void Restart();
  /// Goes silent: open connections stay without an answer, new ones hang.
  void GoDark();
  /// Comes back from the dark as a newly started process: connections from
  /// before are reset as soon as the other side sends something.
  void ReturnFromDark();

  size_t AppliedCount() const;
  QByteArray PositionOf(size_t aCount) const;

  DatabaseGroup& mGroup;
  QByteArray mName;
  QByteArray mZone;
  QTcpServer mServer;
  quint16 mPort = 0;
  qint64 mBorn = 0;
  bool mIsPrimary = false;
  bool mIsRunning = true;
  bool mIsDark = false;
  /// Receives nothing from the primary and isn't told of promotions.
  bool mIsDeaf = false;
  bool mIsLeaving = false;
  quint64 mTerm = 1;
  quint64 mFencedTerm = 0;
  std::vector<LogEntry> mLog;
  size_t mApplied = 0;
  /// Received entries that are not applied yet: when, and up to which count.
  std::deque<std::pair<qint64, size_t>> mApplyQueue;
  qint64 mOtherPrimarySinceMs = -1;

private:
  struct Connection
  {
    QByteArray mBuffer;
    std::deque<QByteArray> mLines;
    bool mIsRunning = false;
    bool mIsStarted = false;
    bool mIsInTransaction = false;
    bool mIsReadOnly = false;
    bool mHasFailed = false;
    /// Belongs to a process that is gone.
    bool mIsDead = false;
    std::vector<LogEntry> mStaged;
    std::map<QByteArray, QByteArray> mPrepared;
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  /// Starts as a replica if another database was promoted meanwhile.
  void ReviseRole();
  void Accept();
  void ReadInput(QTcpSocket* aSocket, const ConnectionPointer& aConnection);
  void RunNext(QTcpSocket* aSocket, const ConnectionPointer& aConnection);
  QByteArray RunLine(Connection& aConnection, const QByteArray& aLine);
  QByteArray RunText(Connection& aConnection,
                     const QByteArray& aId,
                     QByteArray aText);
  QByteArray RunControl(const QList<QByteArray>& aWords);
  QByteArray Fail(Connection& aConnection, const QByteArray& aError);
  QByteArray Complete() const;
  QByteArray Ready(const Connection& aConnection) const;
  bool HasPosition(const QByteArray& aPosition) const;

  std::map<QTcpSocket*, ConnectionPointer> mConnections;
};

/// The databases of one service with replication between them.
class DatabaseGroup : public QObject
{
public:
  /// aLagMs: how far the replicas are behind. aPromoteMs: how long a promotion
  /// takes to come into effect.
  DatabaseGroup(QByteArray aName, int aLagMs, int aPromoteMs);

  Database& Add(const QByteArray& aName, const QByteArray& aZone);
  Database& At(const QByteArray& aName);
  Database* Find(const QByteArray& aName);
  /// The running primary of the highest term, or null.
  Database* Leader();
  /// Starts a promotion; returns the HTTP status of the call.
  int Promote(const QByteArray& aName);
  void Commit(Database& aPrimary, const std::vector<LogEntry>& aEntries);

  QByteArray mName;
  int mLagMs = 0;
  int mPromoteMs = 0;
  int mWorkMs = 5;
  std::vector<std::unique_ptr<Database>> mDatabases;
  std::vector<Run> mRuns;
  /// The ids of all statements that reached a database.
  std::set<QByteArray> mArrived;
  /// Called when the role of a database changes.
  std::function<void(Database&)> mOnRoleChanged;

private:
  void Synchronize();
  void Lead(Database& aDatabase);

  QTimer mTimer;
};

}
