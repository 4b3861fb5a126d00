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

/// The settable behaviour of a stand-in database.
struct DatabaseOptions
{
  std::string mName;
  unsigned mSlots = 3;
  unsigned mConnections = 20;
  int mConnectMs = 10;
  int mStatementMs = 0;
  int mLagMs = 0;
  QString mJournalFile;
};

/// One stand-in database: a log of statements over SQLite with terms,
/// asynchronous replication, slots and a connection limit.
class DatabaseServer : public QTcpServer
{
public:
  explicit DatabaseServer(DatabaseOptions aOptions);
  ~DatabaseServer() override;

  const DatabaseOptions& Options() const { return mOptions; }
  ReplicaState& State() { return mState; }
  std::unique_ptr<SqlEngine> OpenEngine() const;

  /// Runs aWork once a slot is free; the slot is held for the statement time.
  void WithSlot(QObject* aOwner, std::function<void()> aWork);
  /// Runs aWork once aOwner is the only writer; it stays so until released.
  void WithWriteLock(DatabaseSession* aOwner, std::function<void()> aWork);
  void ReleaseWriteLock(DatabaseSession* aOwner);

  /// Appends a committed transaction. Precondition: the primary.
  LogPosition Commit(std::vector<std::string> aStatements);
  /// Entries that a primary sent; applied after the replication lag.
  void ApplyReplicated(const std::vector<LogEntry>& aEntries);
  void TruncateTo(size_t aLength);

  /// Runs a control function of the papayaline_ family.
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
  void DropWriters();
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
