#pragma once

#include "Journal.h"
#include "Replication.h"
#include "SqlEngine.h"

#include <QElapsedTimer>
#include <QTcpServer>
#include <QTemporaryDir>
#include <deque>
#include <functional>
#include <set>

namespace papayaline {

class DatabaseSession;

/// The configuration of a stand-in database.
struct DatabaseOptions
{
  std::string mName;
  unsigned mSlots = 3;
  unsigned mMaxConnections = 20;
  int mConnectMs = 10;
  int mStatementMs = 0;
  int mLagMs = 0;
  QString mJournalFile;
};

/// A stand-in for one database of a replicated group. Runs statements on SQLite
/// and keeps a log of committed transactions with terms. Replicates the log
/// asynchronously, and limits concurrent statements (slots) and connections.
class DatabaseServer : public QTcpServer
{
public:
  explicit DatabaseServer(DatabaseOptions aOptions);
  ~DatabaseServer() override;

  const DatabaseOptions& Options() const { return mOptions; }
  ReplicaState& State() { return mState; }
  std::unique_ptr<SqlEngine> OpenEngine() const;

  /// Queues aWork until a slot is free, and runs it after the statement time,
  /// during which the slot stays in use. Skips aWork if aOwner is destroyed.
  void RunInSlot(QObject* aOwner, std::function<void()> aWork);
  /// Runs aWork once aOwner has the write lock, which it keeps until
  /// ReleaseWriteLock().
  void RunWithWriteLock(DatabaseSession* aOwner, std::function<void()> aWork);
  void ReleaseWriteLock(DatabaseSession* aOwner);

  /// Appends a committed transaction to the log and replicates it.
  /// Precondition: this database is the primary.
  LogPosition Commit(std::vector<std::string> aStatements);
  /// Applies entries from the primary at once; the caller implements the
  /// replication lag.
  void ApplyReplicated(const std::vector<LogEntry>& aEntries);
  /// Shortens the log to aLength entries, rebuilds the tables from it and
  /// closes all sessions, since their SQLite connections use the former file.
  void TruncateTo(size_t aLength);

  /// Runs the control function papayaline_<aName>.
  SqlResult CallFunction(const QByteArray& aName,
                         const std::vector<Cell>& aArguments);
  bool RefusesWrites() const;

  void AddStream(ReplicationSender* aStream) { mStreams.insert(aStream); }
  void RemoveStream(ReplicationSender* aStream) { mStreams.erase(aStream); }
  void RemoveSession(DatabaseSession* aSession);
  size_t SessionCount() const { return mSessions.size(); }

protected:
  void incomingConnection(qintptr aDescriptor) override;

private:
  SqlResult StatusResult(bool aIsGranted) const;
  void EndReplicationAndWrites();
  void Rebuild();
  void StartNextSlot();
  void SetOption(const QByteArray& aName, int aValue);

  DatabaseOptions mOptions;
  QTemporaryDir mDirectory;
  ReplicaState mState;
  Journal mJournal;
  std::unique_ptr<SqlEngine> mEngine;
  int mGeneration = 0;
  std::set<DatabaseSession*> mSessions;
  std::set<ReplicationSender*> mStreams;
  ReplicationReceiver mReceiver;
  unsigned mBusySlots = 0;
  std::deque<std::function<void()>> mSlotQueue;
  uint64_t mStatementsServed = 0;
  DatabaseSession* mWriter = nullptr;
  std::deque<std::pair<DatabaseSession*, std::function<void()>>> mWriterQueue;
  QElapsedTimer mClock;
  qint64 mQuiescedUntilMs = 0;
};

}
