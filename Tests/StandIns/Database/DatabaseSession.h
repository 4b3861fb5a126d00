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

/// A client connection to the stand-in database. The startup message may turn
/// it into a replication stream.
class DatabaseSession : public QObject
{
public:
  DatabaseSession(DatabaseServer& aServer, qintptr aDescriptor);

  /// Rolls back an open transaction. Its remaining statements fail until the
  /// client ends it.
  void RollBackTransaction();
  /// Aborts the connection, since its tables are stale after a log truncation.
  void CloseConnection();

private:
  using ResultCallback = std::function<void(const SqlResult&)>;

  void OnReadyRead();
  void OnDisconnected();
  void HandleStartup(const StartupMessage& aMessage);
  void ProcessFrames();
  void ProcessFrame(const Frame& aFrame);
  void RunSimpleQuery(const QByteArray& aSql);
  void RunPortal();
  void Execute(const QByteArray& aSql,
               const std::vector<Cell>& aValues,
               ResultCallback aOnResult);
  void ExecuteStatement(const QByteArray& aSql,
                        const std::vector<Cell>& aValues,
                        const ResultCallback& aOnResult);
  SqlResult RunStatement(const QByteArray& aSql,
                         const std::vector<Cell>& aValues);
  void Begin(bool aIsReadOnly, const ResultCallback& aOnResult);
  SqlResult Commit();
  SqlResult RollBack(const QByteArray& aTag);
  SqlResult LastCommit() const;
  void WriteResult(const SqlResult& aResult, bool aWithColumns);
  void ResumeProcessing();
  void Flush();

  DatabaseServer& mServer;
  QTcpSocket* mSocket;
  FrameReader mReader;
  std::deque<Frame> mFrames;
  MessageWriter mWriter;
  std::unique_ptr<SqlEngine> mEngine;
  bool mIsStarted = false;
  bool mIsProcessingPaused = false;
  bool mIsSkippingToSync = false;
  TransactionStatus mStatus = TransactionStatus::Idle;
  bool mIsReadOnly = false;
  bool mHasWriteLock = false;
  std::vector<std::string> mWriteStatements;
  LogPosition mLastCommit;
  QMap<QByteArray, QByteArray> mPreparedStatements;
  QByteArray mPortalSql;
  std::vector<Cell> mPortalValues;
  bool mWantsColumns = false;
};

}
