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

/// The name of a control function that a statement calls, or nothing.
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
Tagged(const QByteArray& aTag)
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
  AbortTransaction();
  mServer.RemoveSession(this);
  deleteLater();
}

void
DatabaseSession::OnReadyRead()
{
  // A replication stream goes on in another format after the start-up packet,
  // so nothing past that packet may be read here.
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
      Start(startup.Value());
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
DatabaseSession::Start(const StartupMessage& aMessage)
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
  if (mServer.SessionCount() > mServer.Options().mConnections) {
    mWriter.FatalResponse("53300", "too many connections");
    Flush();
    mSocket->disconnectFromHost();
    return;
  }
  mIsBusy = true;
  QTimer::singleShot(mServer.Options().mConnectMs, this, [this] {
    mEngine = mServer.OpenEngine();
    mWriter.AuthenticationOk();
    mWriter.ParameterStatus("server_version", "15.0 (stand-in)");
    mWriter.ParameterStatus("client_encoding", "UTF8");
    mWriter.ParameterStatus("server_encoding", "UTF8");
    mWriter.ParameterStatus("standard_conforming_strings", "on");
    mWriter.BackendKeyData(1, 1);
    mWriter.ReadyForQuery(TransactionStatus::Idle);
    Resume();
  });
}

void
DatabaseSession::Resume()
{
  mIsBusy = false;
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
  while (!mIsBusy && !mFrames.empty()) {
    const auto frame = std::move(mFrames.front());
    mFrames.pop_front();
    Process(frame);
  }
  Flush();
}

void
DatabaseSession::Process(const Frame& aFrame)
{
  if (mSkipToSync && aFrame.mType != 'S') {
    return;
  }
  switch (aFrame.mType) {
    case 'Q':
      RunSimple(ParseQuery(aFrame.mBody).Take());
      return;
    case 'P': {
      const auto parse = ParseParse(aFrame.mBody).Take();
      mStatements[parse.mName] = parse.mSql;
      mWriter.Empty('1');
      return;
    }
    case 'B': {
      const auto bind = ParseBind(aFrame.mBody).Take();
      mPortalSql = mStatements.value(bind.mStatement);
      mPortalValues = bind.mValues;
      mWantsColumns = false;
      mWriter.Empty('2');
      return;
    }
    case 'D':
      mWantsColumns = true;
      return;
    case 'E':
      RunPortal();
      return;
    case 'S':
      mSkipToSync = false;
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
DatabaseSession::RunSimple(const QByteArray& aSql)
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
    mSkipToSync = aResult.IsError();
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
    mWriter.Empty('n');
  }
  for (const auto& it : aResult.mRows) {
    mWriter.DataRow(it);
  }
  mWriter.CommandComplete(aResult.mTag);
}

void
DatabaseSession::Execute(const QByteArray& aSql,
                         const std::vector<Cell>& aValues,
                         Finish aFinish)
{
  const auto function = ControlFunction(aSql);
  if (function == "last_commit") {
    aFinish(LastCommit());
  } else if (!function.isEmpty()) {
    aFinish(mServer.CallFunction(function, aValues));
  } else {
    ExecuteStatement(aSql, aValues, aFinish);
  }
}

void
DatabaseSession::ExecuteStatement(const QByteArray& aSql,
                                  const std::vector<Cell>& aValues,
                                  const Finish& aFinish)
{
  const auto word = FirstWord(aSql);
  if (word == "COMMIT" || word == "END") {
    aFinish(Commit());
    return;
  }
  if (word == "ROLLBACK") {
    aFinish(Rollback("ROLLBACK"));
    return;
  }
  if (mStatus == TransactionStatus::Failed) {
    aFinish(SqlFailure("25P02", "current transaction is aborted"));
    return;
  }
  if (word == "BEGIN" || word == "START") {
    Begin(aSql.toUpper().contains("READ ONLY"), aFinish);
    return;
  }
  if (word == "SET") {
    aFinish(Tagged("SET"));
    return;
  }
  mIsBusy = true;
  const auto run = [this, aSql, aValues, aFinish] {
    mServer.WithSlot(this, [this, aSql, aValues, aFinish] {
      const auto result = RunStatement(aSql, aValues);
      if (result.IsError() && mStatus == TransactionStatus::Open) {
        mStatus = TransactionStatus::Failed;
      }
      aFinish(result);
      Resume();
    });
  };
  SqlEngine::Statement statement;
  const auto prepared = mEngine->Prepare(aSql, aValues, statement);
  if (!prepared.IsError() && statement.IsWrite() && !mHasWriteLock) {
    mServer.WithWriteLock(this, run);
  } else {
    run();
  }
}

void
DatabaseSession::Begin(bool aIsReadOnly, const Finish& aFinish)
{
  mStatus = TransactionStatus::Open;
  mIsReadOnly = aIsReadOnly;
  aFinish(Tagged("BEGIN"));
}

/// The write lock is taken by the first write, so that earlier statements of
/// the transaction read what is committed, as the default isolation level does.
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
  const bool isOpen = mStatus == TransactionStatus::Open;
  if (mIsReadOnly || !mServer.State().IsPrimary() ||
      (mServer.RefusesWrites() && !mHasWriteLock)) {
    const bool isQuiesced = !mIsReadOnly && mServer.State().IsPrimary();
    if (!mHasWriteLock) {
      mServer.ReleaseWriteLock(this);
    }
    return isQuiesced ? SqlFailure("57P03", "writes are quiesced")
                      : SqlFailure("25006", "read-only transaction");
  }
  if (!mHasWriteLock) {
    mHasWriteLock = true;
    mEngine->RunText("BEGIN IMMEDIATE");
  }
  const auto result = mEngine->Run(statement, aSql);
  if (!result.IsError()) {
    mWrites.push_back(statement.Expanded());
  }
  if (isOpen) {
    return result;
  }
  if (result.IsError()) {
    Rollback({});
    return result;
  }
  const auto committed = Commit();
  return committed.IsError() ? committed : result;
}

SqlResult
DatabaseSession::Commit()
{
  if (mStatus == TransactionStatus::Failed) {
    return Rollback("ROLLBACK");
  }
  if (mHasWriteLock) {
    if (!mServer.State().IsPrimary()) {
      Rollback({});
      return SqlFailure("25006", "the database is no longer the primary");
    }
    mEngine->RunText("COMMIT");
    mLastCommit = mServer.Commit(std::exchange(mWrites, {}));
    mHasWriteLock = false;
    mServer.ReleaseWriteLock(this);
  }
  mStatus = TransactionStatus::Idle;
  mIsReadOnly = false;
  return Tagged("COMMIT");
}

SqlResult
DatabaseSession::Rollback(const QByteArray& aTag)
{
  if (mHasWriteLock) {
    mEngine->RunText("ROLLBACK");
    mHasWriteLock = false;
    mServer.ReleaseWriteLock(this);
  }
  mWrites.clear();
  mStatus = TransactionStatus::Idle;
  mIsReadOnly = false;
  return Tagged(aTag);
}

void
DatabaseSession::AbortTransaction()
{
  if (mStatus == TransactionStatus::Idle && !mHasWriteLock) {
    return;
  }
  const bool wasOpen = mStatus != TransactionStatus::Idle;
  Rollback({});
  if (wasOpen) {
    mStatus = TransactionStatus::Failed;
  }
}

void
DatabaseSession::Reopen()
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
