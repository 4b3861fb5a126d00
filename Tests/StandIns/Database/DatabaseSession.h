#pragma once

#include "LibDecision/LogPosition.h"
#include "LibWire/FrameReader.h"
#include "LibWire/MessageParser.h"
#include "SqlEngine.h"

#include <QTcpSocket>
#include <deque>
#include <functional>

namespace papayaline {

class DatabaseServer;

/// One client connection of the stand-in database.
class DatabaseSession : public QObject
{
public:
  DatabaseSession(DatabaseServer& aServer, qintptr aDescriptor);

  /// Rolls back an open transaction; its next statement fails.
  void AbortTransaction();
  /// Opens the tables anew after the log was truncated.
  void Reopen();

private:
  using Finish = std::function<void(const SqlResult&)>;

  void OnReadyRead();
  void OnDisconnected();
  void Start(const StartupMessage& aMessage);
  void ProcessFrames();
  void Process(const Frame& aFrame);
  void RunSimple(const QByteArray& aSql);
  void RunPortal();
  void Execute(const QByteArray& aSql,
               const std::vector<Cell>& aValues,
               Finish aFinish);
  void ExecuteStatement(const QByteArray& aSql,
                        const std::vector<Cell>& aValues,
                        const Finish& aFinish);
  SqlResult RunStatement(const QByteArray& aSql,
                         const std::vector<Cell>& aValues);
  void Begin(bool aIsReadOnly, const Finish& aFinish);
  SqlResult Commit();
  SqlResult Rollback(const QByteArray& aTag);
  SqlResult LastCommit() const;
  void WriteResult(const SqlResult& aResult, bool aWithColumns);
  void Resume();
  void Flush();

  DatabaseServer& mServer;
  QTcpSocket* mSocket;
  FrameReader mReader;
  std::deque<Frame> mFrames;
  MessageWriter mWriter;
  std::unique_ptr<SqlEngine> mEngine;
  bool mIsStarted = false;
  bool mIsBusy = false;
  bool mSkipToSync = false;
  TransactionStatus mStatus = TransactionStatus::Idle;
  bool mIsReadOnly = false;
  bool mHasWriteLock = false;
  std::vector<std::string> mWrites;
  LogPosition mLastCommit;
  QMap<QByteArray, QByteArray> mStatements;
  QByteArray mPortalSql;
  std::vector<Cell> mPortalValues;
  bool mWantsColumns = false;
};

}
