#include "DatabaseSession.h"

#include "DatabaseServer.h"

#include <QRegularExpression>
#include <QTimer>
#include <QtEndian>

namespace papayaline {

namespace {

constexpr qsizetype kMaxFrameBytes = 64 * 1024 * 1024;

QByteArray
FirstWord(const QByteArray& aSql)
{
  static const QRegularExpression sWord("^\\s*(\\w+)");
  return sWord.match(QString::fromUtf8(aSql)).captured(1).toUpper().toUtf8();
}

/// Returns the name of the control function that a statement calls, without its
/// prefix. Returns an empty name for any other statement.
QByteArray
ControlFunction(const QByteArray& aSql)
{
  static const QByteArray kPrefix = "SELECT * FROM papayaline_";
  if (!aSql.startsWith(kPrefix)) {
    return {};
  }
  return aSql.mid(kPrefix.size(), aSql.indexOf('(') - kPrefix.size());
}

SqlResult
SuccessWithTag(const QByteArray& aTag)
{
  SqlResult result;
  result.mTag = aTag;
  return result;
}

}

DatabaseSession::DatabaseSession(DatabaseServer& aServer, qintptr aDescriptor)
  : QObject(&aServer)
  , mServer(aServer)
  , mSocket(new QTcpSocket(this))
  , mReader(kMaxFrameBytes)
{
  connect(mSocket, &QTcpSocket::readyRead, this, [this] { OnReadyRead(); });
  connect(
    mSocket, &QTcpSocket::disconnected, this, [this] { OnDisconnected(); });
  mSocket->setSocketDescriptor(aDescriptor);
  mSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
}

void
DatabaseSession::OnDisconnected()
{
  RollBackTransaction();
  mServer.RemoveSession(this);
  deleteLater();
}

void
DatabaseSession::OnReadyRead()
{
  // A replication stream continues as JSON lines after the startup message, so
  // no bytes after that message may be read here.
  if (!mIsStarted && mSocket->bytesAvailable() >= 4) {
    const auto length = qFromBigEndian<quint32>(mSocket->peek(4).constData());
    mReader.Append(mSocket->read(length - mReader.BufferedBytes()));
  } else if (mIsStarted) {
    mReader.Append(mSocket->readAll());
  }
  for (;;) {
    auto frame = mReader.Next();
    if (frame.IsError()) {
      mSocket->abort();
      return;
    }
    if (!frame.Value()) {
      break;
    }
    mFrames.push_back(*frame.Value());
    if (!mIsStarted && mFrames.back().mType == 0) {
      mIsStarted = true;
      const auto startup = ParseStartup(mFrames.back().mBody);
      mFrames.pop_back();
      if (startup.IsError()) {
        mSocket->abort();
        return;
      }
      HandleStartup(startup.Value());
      if (startup.Value().mCode == StartupMessage::kSslRequest) {
        mIsStarted = false;
      }
      if (startup.Value().mParameters.contains("replication")) {
        return;
      }
    }
  }
  ProcessFrames();
  if (mIsStarted && mSocket->bytesAvailable() > 0) {
    OnReadyRead();
  }
}

void
DatabaseSession::HandleStartup(const StartupMessage& aMessage)
{
  if (aMessage.mCode == StartupMessage::kSslRequest ||
      aMessage.mCode == StartupMessage::kGssRequest) {
    mSocket->write("N");
    mReader.ExpectStartup();
    return;
  }
  if (aMessage.mParameters.contains("replication")) {
    mSocket->disconnect(this);
    connect(
      mSocket, &QTcpSocket::disconnected, this, [this] { OnDisconnected(); });
    mServer.RemoveSession(this);
    new ReplicationSender(mServer, mSocket);
    return;
  }
  if (mServer.SessionCount() > mServer.Options().mMaxConnections) {
    mWriter.FatalResponse("53300", "too many connections");
    Flush();
    mSocket->disconnectFromHost();
    return;
  }
  mIsProcessingPaused = true;
  QTimer::singleShot(mServer.Options().mConnectMs, this, [this] {
    mEngine = mServer.OpenEngine();
    mWriter.AuthenticationOk();
    mWriter.ParameterStatus("server_version", "15.0 (stand-in)");
    mWriter.ParameterStatus("client_encoding", "UTF8");
    mWriter.ParameterStatus("server_encoding", "UTF8");
    mWriter.ParameterStatus("standard_conforming_strings", "on");
    mWriter.BackendKeyData(1, 1);
    mWriter.ReadyForQuery(TransactionStatus::Idle);
    ResumeProcessing();
  });
}

void
DatabaseSession::ResumeProcessing()
{
  mIsProcessingPaused = false;
  ProcessFrames();
}

void
DatabaseSession::Flush()
{
  if (!mWriter.IsEmpty()) {
    mSocket->write(mWriter.Take());
  }
}

void
DatabaseSession::ProcessFrames()
{
  while (!mIsProcessingPaused && !mFrames.empty()) {
    const auto frame = std::move(mFrames.front());
    mFrames.pop_front();
    ProcessFrame(frame);
  }
  Flush();
}

void
DatabaseSession::ProcessFrame(const Frame& aFrame)
{
  if (mIsSkippingToSync && aFrame.mType != 'S') {
    return;
  }
  switch (aFrame.mType) {
    case 'Q':
      RunSimpleQuery(ParseQuery(aFrame.mBody).Take());
      return;
    case 'P': {
      const auto parse = ParseParse(aFrame.mBody).Take();
      mPreparedStatements[parse.mName] = parse.mSql;
      mWriter.EmptyMessage('1');
      return;
    }
    case 'B': {
      const auto bind = ParseBind(aFrame.mBody).Take();
      mPortalSql = mPreparedStatements.value(bind.mStatement);
      mPortalValues = bind.mValues;
      mWantsColumns = false;
      mWriter.EmptyMessage('2');
      return;
    }
    case 'D':
      mWantsColumns = true;
      return;
    case 'E':
      RunPortal();
      return;
    case 'S':
      mIsSkippingToSync = false;
      mWriter.ReadyForQuery(mStatus);
      return;
    case 'X':
      mSocket->disconnectFromHost();
      return;
    default:
      return;
  }
}

void
DatabaseSession::RunSimpleQuery(const QByteArray& aSql)
{
  Execute(aSql, {}, [this](const SqlResult& aResult) {
    WriteResult(aResult, true);
    mWriter.ReadyForQuery(mStatus);
  });
}

void
DatabaseSession::RunPortal()
{
  Execute(mPortalSql, mPortalValues, [this](const SqlResult& aResult) {
    WriteResult(aResult, mWantsColumns);
    mIsSkippingToSync = aResult.IsError();
  });
}

void
DatabaseSession::WriteResult(const SqlResult& aResult, bool aWithColumns)
{
  if (aResult.IsError()) {
    mWriter.ErrorResponse(aResult.mSqlState, aResult.mMessage);
    return;
  }
  if (aWithColumns && !aResult.mColumns.empty()) {
    mWriter.RowDescription(aResult.mColumns);
  } else if (aWithColumns) {
    mWriter.EmptyMessage('n');
  }
  for (const auto& it : aResult.mRows) {
    mWriter.DataRow(it);
  }
  mWriter.CommandComplete(aResult.mTag);
}

void
DatabaseSession::Execute(const QByteArray& aSql,
                         const std::vector<Cell>& aValues,
                         ResultCallback aOnResult)
{
  const auto function = ControlFunction(aSql);
  if (function == "last_commit") {
    aOnResult(LastCommit());
  } else if (!function.isEmpty()) {
    aOnResult(mServer.CallFunction(function, aValues));
  } else {
    ExecuteStatement(aSql, aValues, aOnResult);
  }
}

void
DatabaseSession::ExecuteStatement(const QByteArray& aSql,
                                  const std::vector<Cell>& aValues,
                                  const ResultCallback& aOnResult)
{
  const auto word = FirstWord(aSql);
  if (word == "COMMIT" || word == "END") {
    aOnResult(Commit());
    return;
  }
  if (word == "ROLLBACK") {
    aOnResult(RollBack("ROLLBACK"));
    return;
  }
  if (mStatus == TransactionStatus::Failed) {
    aOnResult(MakeSqlError("25P02", "current transaction is aborted"));
    return;
  }
  if (word == "BEGIN" || word == "START") {
    Begin(aSql.toUpper().contains("READ ONLY"), aOnResult);
    return;
  }
  if (word == "SET") {
    aOnResult(SuccessWithTag("SET"));
    return;
  }
  mIsProcessingPaused = true;
  const auto run = [this, aSql, aValues, aOnResult] {
    mServer.RunInSlot(this, [this, aSql, aValues, aOnResult] {
      const auto result = RunStatement(aSql, aValues);
      if (result.IsError() && mStatus == TransactionStatus::Open) {
        mStatus = TransactionStatus::Failed;
      }
      aOnResult(result);
      ResumeProcessing();
    });
  };
  SqlEngine::Statement statement;
  const auto prepared = mEngine->Prepare(aSql, aValues, statement);
  if (!prepared.IsError() && statement.IsWrite() && !mHasWriteLock) {
    mServer.RunWithWriteLock(this, run);
  } else {
    run();
  }
}

void
DatabaseSession::Begin(bool aIsReadOnly, const ResultCallback& aOnResult)
{
  mStatus = TransactionStatus::Open;
  mIsReadOnly = aIsReadOnly;
  aOnResult(SuccessWithTag("BEGIN"));
}

/// Starts the SQLite write transaction only at the first write, so that earlier
/// statements of the transaction read committed data, as the default isolation
/// level does.
SqlResult
DatabaseSession::RunStatement(const QByteArray& aSql,
                              const std::vector<Cell>& aValues)
{
  SqlEngine::Statement statement;
  const auto prepared = mEngine->Prepare(aSql, aValues, statement);
  if (prepared.IsError()) {
    return prepared;
  }
  if (!statement.IsWrite()) {
    return mEngine->Run(statement, aSql);
  }
  const bool isInTransaction = mStatus == TransactionStatus::Open;
  if (mIsReadOnly || !mServer.State().IsPrimary() ||
      (mServer.RefusesWrites() && !mHasWriteLock)) {
    const bool isQuiesced = !mIsReadOnly && mServer.State().IsPrimary();
    if (!mHasWriteLock) {
      mServer.ReleaseWriteLock(this);
    }
    return isQuiesced ? MakeSqlError("57P03", "writes are quiesced")
                      : MakeSqlError("25006", "read-only transaction");
  }
  if (!mHasWriteLock) {
    mHasWriteLock = true;
    mEngine->RunSql("BEGIN IMMEDIATE");
  }
  const auto result = mEngine->Run(statement, aSql);
  if (!result.IsError()) {
    mWriteStatements.push_back(statement.ExpandedSql());
  }
  if (isInTransaction) {
    return result;
  }
  if (result.IsError()) {
    RollBack({});
    return result;
  }
  const auto committed = Commit();
  return committed.IsError() ? committed : result;
}

SqlResult
DatabaseSession::Commit()
{
  if (mStatus == TransactionStatus::Failed) {
    return RollBack("ROLLBACK");
  }
  if (mHasWriteLock) {
    if (!mServer.State().IsPrimary()) {
      RollBack({});
      return MakeSqlError("25006", "the database is no longer the primary");
    }
    mEngine->RunSql("COMMIT");
    mLastCommit = mServer.Commit(std::exchange(mWriteStatements, {}));
    mHasWriteLock = false;
    mServer.ReleaseWriteLock(this);
  }
  mStatus = TransactionStatus::Idle;
  mIsReadOnly = false;
  return SuccessWithTag("COMMIT");
}

SqlResult
DatabaseSession::RollBack(const QByteArray& aTag)
{
  if (mHasWriteLock) {
    mEngine->RunSql("ROLLBACK");
    mHasWriteLock = false;
    mServer.ReleaseWriteLock(this);
  }
  mWriteStatements.clear();
  mStatus = TransactionStatus::Idle;
  mIsReadOnly = false;
  return SuccessWithTag(aTag);
}

void
DatabaseSession::RollBackTransaction()
{
  if (mStatus == TransactionStatus::Idle && !mHasWriteLock) {
    return;
  }
  const bool wasOpen = mStatus != TransactionStatus::Idle;
  RollBack({});
  if (wasOpen) {
    mStatus = TransactionStatus::Failed;
  }
}

void
DatabaseSession::CloseConnection()
{
  mSocket->abort();
}

SqlResult
DatabaseSession::LastCommit() const
{
  SqlResult result;
  Column term;
  term.mName = "term";
  Column position;
  position.mName = "position";
  result.mColumns = { term, position };
  result.mRows.push_back({ QByteArray::number(quint64(mLastCommit.mTerm)),
                           QByteArray::number(quint64(mLastCommit.mOffset)) });
  result.mTag = "SELECT 1";
  return result;
}

}
