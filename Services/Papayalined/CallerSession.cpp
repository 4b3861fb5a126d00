#include "CallerSession.h"

#include "Clock.h"
#include "Log.h"
#include "Metrics.h"

#include <QHostAddress>
#include <QPointer>
#include <QRandomGenerator>
#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr qsizetype kMaxFrameBytes = 16 * 1024 * 1024;
constexpr qint64 kSocketBufferBytes = 64 * 1024;
/// A caller that reads this slowly gets no further answers until it catches up.
constexpr qint64 kMaxUnsentBytes = 1024 * 1024;
constexpr auto kStartupTimeout = 10s;
constexpr qsizetype kMaxPreparedStatements = 1000;
constexpr int kNonceBytes = 18;

QByteArray
RandomBytes(int aSize)
{
  QByteArray bytes(aSize, '\0');
  for (auto& it : bytes) {
    it = static_cast<char>(QRandomGenerator::system()->bounded(256));
  }
  return bytes;
}

Answer
Tagged(const QByteArray& aTag)
{
  Answer answer;
  answer.mTag = aTag;
  return answer;
}

}

CallerSession::CallerSession(CallerContext& aContext,
                             Worker& aWorker,
                             qintptr aDescriptor)
  : mContext(aContext)
  , mWorker(&aWorker)
  , mSocket(aContext.mTls ? new QSslSocket(this) : new QTcpSocket(this))
  , mStartupTimer(this)
  , mReader(kMaxFrameBytes)
{
  Metrics::Instance().Add(Counter::CallerConnections);
  mWorker->Add(this);
  mSocket->setReadBufferSize(kSocketBufferBytes);
  mSocket->setSocketDescriptor(aDescriptor);
  mSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  connect(mSocket, &QTcpSocket::readyRead, this, [this] { ProcessInput(); });
  if (auto* tls = qobject_cast<QSslSocket*>(mSocket)) {
    connect(tls, &QSslSocket::encrypted, this, [this] { ProcessInput(); });
  }
  connect(mSocket, &QTcpSocket::bytesWritten, this, [this] { ProcessInput(); });
  connect(mSocket, &QTcpSocket::disconnected, this, [this] { deleteLater(); });
  connect(&mStartupTimer, &QTimer::timeout, this, [this] {
    Fatal({ ErrorKind::ProtocolViolation, "start-up took too long" });
  });
  mStartupTimer.setSingleShot(true);
  mStartupTimer.start(kStartupTimeout);
}

CallerSession::~CallerSession()
{
  Metrics::Instance().Add(Counter::CallerConnections, -1);
  mWorker->Forget(this);
  if (mTransaction && mState != State::Busy) {
    mTransaction->Rollback([](const Answer&) {});
  }
}

void
CallerSession::ProcessInput()
{
  const auto mayGoOn = [this] {
    return mState != State::Busy && mState != State::Closing &&
           mSocket->bytesToWrite() < kMaxUnsentBytes;
  };
  // An answer may come while its request is still being handed over.
  if (mIsProcessing) {
    return;
  }
  mIsProcessing = true;
  while (mayGoOn()) {
    auto frame = mReader.Next();
    if (frame.IsError()) {
      Fatal(frame.GetError());
      break;
    }
    if (!frame.Value()) {
      const auto bytes = mSocket->readAll();
      if (bytes.isEmpty()) {
        break;
      }
      mReader.Append(bytes);
      continue;
    }
    HandleFrame(*frame.Value());
  }
  mIsProcessing = false;
  Flush();
}

void
CallerSession::HandleFrame(const Frame& aFrame)
{
  switch (mState) {
    case State::Startup:
      HandleStartup(aFrame.mBody);
      return;
    case State::Authenticating:
      HandleAuthentication(aFrame);
      return;
    default:
      break;
  }
  if (mSkipToSync && aFrame.mType != 'S' && aFrame.mType != 'X') {
    return;
  }
  struct Handler
  {
    char mType;
    void (CallerSession::*mHandle)(const Frame&);
  };
  static constexpr std::array kHandlers = {
    Handler{ 'Q', &CallerSession::HandleQuery },
    Handler{ 'P', &CallerSession::HandleParse },
    Handler{ 'B', &CallerSession::HandleBind },
    Handler{ 'D', &CallerSession::HandleDescribe },
    Handler{ 'E', &CallerSession::HandleExecute },
    Handler{ 'C', &CallerSession::HandleClose },
  };
  const auto* it = std::ranges::find(kHandlers, aFrame.mType, &Handler::mType);
  if (it != kHandlers.end()) {
    (this->*it->mHandle)(aFrame);
  } else if (aFrame.mType == 'S') {
    HandleSync();
  } else if (aFrame.mType == 'X') {
    mState = State::Closing;
    // The answer to a pipelined request may not have been written yet.
    Flush();
    mSocket->disconnectFromHost();
  } else if (aFrame.mType == 'F') {
    Refuse({ ErrorKind::NotSupported, "function calls" });
  } else if (aFrame.mType != 'H') {
    Fatal({ ErrorKind::ProtocolViolation, "unexpected message type" });
  }
}

void
CallerSession::HandleStartup(const QByteArray& aBody)
{
  const auto startup = ParseStartup(aBody);
  if (startup.IsError()) {
    Fatal(startup.GetError());
    return;
  }
  const auto& message = startup.Value();
  switch (message.mCode) {
    case StartupMessage::kSslRequest:
      StartTls();
      return;
    case StartupMessage::kGssRequest:
      mSocket->write("N");
      mReader.ExpectStartup();
      return;
    case StartupMessage::kCancelRequest:
      Cancel(mContext, message.mProcessId, message.mSecret);
      mState = State::Closing;
      mSocket->disconnectFromHost();
      return;
    case StartupMessage::kProtocolVersion3:
      break;
    default:
      Fatal({ ErrorKind::ProtocolViolation, "unsupported protocol version" });
      return;
  }
  const auto taken = mParameters.TakeStartup(message.mParameters);
  if (taken.IsError()) {
    Fatal(taken.GetError());
    return;
  }
  StartSession();
}

void
CallerSession::StartTls()
{
  mReader.ExpectStartup();
  auto* tls = qobject_cast<QSslSocket*>(mSocket);
  if (!tls || tls->isEncrypted()) {
    mSocket->write("N");
    return;
  }
  // Bytes behind the request would be taken as if they had been encrypted.
  if (mReader.BufferedBytes() > 0) {
    Fatal({ ErrorKind::ProtocolViolation, "data before the TLS handshake" });
    return;
  }
  mSocket->write("S");
  mSocket->flush();
  tls->setSslConfiguration(*mContext.mTls);
  tls->startServerEncryption();
}

void
CallerSession::StartSession()
{
  const auto& settings = mContext.mBlackboard.GetSettings();
  if (settings.mAuthentication == Authentication::Trust) {
    mWriter.AuthenticationOk();
    EnterGroup();
    return;
  }
  const auto account = std::ranges::find(settings.mAccounts,
                                         mParameters.User().toStdString(),
                                         &CallerAccount::mName);
  const auto password = account != settings.mAccounts.end()
                          ? QByteArray::fromStdString(account->mPassword)
                          : QByteArray();
  mScram.emplace(
    password, RandomBytes(kNonceBytes).toBase64(), RandomBytes(kNonceBytes));
  mWriter.AuthenticationSasl({ "SCRAM-SHA-256" });
  mState = State::Authenticating;
}

void
CallerSession::HandleAuthentication(const Frame& aFrame)
{
  if (aFrame.mType != 'p') {
    Fatal({ ErrorKind::ProtocolViolation, "expected a SASL message" });
    return;
  }
  if (!mIsScramChallenged) {
    mIsScramChallenged = true;
    // The body is the mechanism's name, a length and the first message.
    const auto nameEnd = aFrame.mBody.indexOf('\0');
    const auto challenge = mScram->Challenge(
      nameEnd < 0 ? QByteArray() : aFrame.mBody.mid(nameEnd + 5));
    if (challenge.IsError()) {
      Fatal(challenge.GetError());
      return;
    }
    mWriter.AuthenticationSaslContinue(challenge.Value());
    return;
  }
  const auto signature = mScram->Verify(aFrame.mBody);
  if (signature.IsError()) {
    Fatal(signature.GetError());
    return;
  }
  mWriter.AuthenticationSaslFinal(signature.Value());
  mWriter.AuthenticationOk();
  EnterGroup();
}

/// Moves to the worker of the group, so that requests need no lock. The move
/// waits for the event loop, because the caller of this function still uses the
/// session, and is run by the worker: Qt touches the receiver of an event after
/// it was handled, when the other thread may have deleted the session.
void
CallerSession::EnterGroup()
{
  mStartupTimer.stop();
  mState = State::Busy;
  Flush();
  QMetaObject::invokeMethod(
    mWorker,
    [session = QPointer(this)] {
      if (session) {
        session->MoveToGroupWorker();
      }
    },
    Qt::QueuedConnection);
}

void
CallerSession::MoveToGroupWorker()
{
  auto& worker = mContext.mWorkers.WorkerOf(mParameters.Group().toStdString());
  const bool isMoving = &worker != mWorker;
  if (isMoving) {
    mWorker->Forget(this);
    mWorker = &worker;
  }
  // Posted events move along with the session.
  QMetaObject::invokeMethod(
    this,
    [this] {
      mWorker->Add(this);
      Welcome();
    },
    Qt::QueuedConnection);
  if (isMoving) {
    moveToThread(worker.thread());
    // The other thread may have deleted the session by now.
  }
}

void
CallerSession::Welcome()
{
  if (!mWorker->FindEngine(Group().toStdString())) {
    Fatal({ ErrorKind::UnknownGroup,
            "no group named \"" + Group().toStdString() + "\"" });
    return;
  }
  mWriter.ParameterStatus("server_version", "15.0 (papayaline)");
  mWriter.ParameterStatus("server_encoding", "UTF8");
  mWriter.ParameterStatus("client_encoding", "UTF8");
  mWriter.ParameterStatus("DateStyle", "ISO, MDY");
  mWriter.ParameterStatus("TimeZone", "UTC");
  mWriter.ParameterStatus("integer_datetimes", "on");
  mWriter.ParameterStatus("standard_conforming_strings", "on");
  mProcessId = QRandomGenerator::system()->generate() >> 1;
  mSecret = QRandomGenerator::system()->generate();
  mWriter.BackendKeyData(mProcessId, mSecret);
  SendReady();
  mState = State::Ready;
  ProcessInput();
}

void
CallerSession::Cancel(CallerContext& aContext,
                      quint32 aProcessId,
                      quint32 aSecret)
{
  aContext.mWorkers.PostToAll([aProcessId, aSecret](Worker& aWorker) {
    aWorker.ForEachSession([&](CallerSession& aSession) {
      if (aSession.mProcessId == aProcessId && aSession.mSecret == aSecret &&
          aSession.mState == State::Busy) {
        aSession.CancelWaiting();
      }
    });
  });
}

void
CallerSession::CancelWaiting()
{
  auto* engine = mWorker->FindEngine(Group().toStdString());
  if (engine && mCurrentOperation != 0) {
    engine->CancelQueuedRead(mCurrentOperation);
  }
}

void
CallerSession::HandleQuery(const Frame& aFrame)
{
  mProtocol = Protocol::Simple;
  mWantsColumns = true;
  const auto sql = ParseQuery(aFrame.mBody);
  if (sql.IsError()) {
    Refuse(sql.GetError());
    return;
  }
  const auto classified = ClassifyStatement(
    { sql.Value().constData(), static_cast<size_t>(sql.Value().size()) });
  if (classified.IsError()) {
    Refuse(classified.GetError());
    return;
  }
  Execute(PlainStatement(sql.Value()), classified.Value());
}

void
CallerSession::HandleParse(const Frame& aFrame)
{
  mProtocol = Protocol::Extended;
  auto parse = ParseParse(aFrame.mBody);
  if (parse.IsError()) {
    Refuse(parse.GetError());
    return;
  }
  const auto& sql = parse.Value().mSql;
  const auto classified =
    ClassifyStatement({ sql.constData(), static_cast<size_t>(sql.size()) });
  if (classified.IsError()) {
    Refuse(classified.GetError());
    return;
  }
  if (mStatements.size() >= kMaxPreparedStatements &&
      !mStatements.contains(parse.Value().mName)) {
    Refuse({ ErrorKind::MessageTooLarge, "too many prepared statements" });
    return;
  }
  const auto name = parse.Value().mName;
  mStatements[name] = { parse.Take(), classified.Value() };
  mWriter.Empty('1');
}

void
CallerSession::HandleBind(const Frame& aFrame)
{
  mProtocol = Protocol::Extended;
  auto bind = ParseBind(aFrame.mBody);
  if (bind.IsError()) {
    Refuse(bind.GetError());
    return;
  }
  const auto statement = mStatements.find(bind.Value().mStatement);
  if (statement == mStatements.end()) {
    Refuse({ ErrorKind::NotFound, "no such prepared statement" });
    return;
  }
  const auto& formats = bind.Value().mResultFormats;
  if (std::ranges::adjacent_find(formats, std::not_equal_to{}) !=
      formats.end()) {
    Refuse({ ErrorKind::NotSupported, "mixed result formats" });
    return;
  }
  const auto name = bind.Value().mPortal;
  mPortals = { { name, { bind.Take(), *statement, false } } };
  mWriter.Empty('2');
}

void
CallerSession::HandleDescribe(const Frame& aFrame)
{
  const auto target = ParseTarget(aFrame.mBody);
  if (target.IsError()) {
    Refuse(target.GetError());
    return;
  }
  const auto portal = mPortals.find(target.Value().mName);
  if (target.Value().mKind != 'P' || portal == mPortals.end()) {
    Refuse(
      { ErrorKind::NotSupported, "describing a statement before it is bound" });
    return;
  }
  // The columns are known once the portal has run; they are sent then.
  portal->mIsDescribed = true;
}

void
CallerSession::HandleExecute(const Frame& aFrame)
{
  const auto execute = ParseExecute(aFrame.mBody);
  if (execute.IsError()) {
    Refuse(execute.GetError());
    return;
  }
  const auto portal = mPortals.find(execute.Value().mPortal);
  if (portal == mPortals.end()) {
    Refuse({ ErrorKind::NotFound, "no such portal" });
    return;
  }
  if (execute.Value().mMaxRows != 0) {
    Refuse({ ErrorKind::NotSupported, "row limits of portals" });
    return;
  }
  UpstreamStatement statement;
  statement.mSql = portal->mStatement.mParse.mSql;
  statement.mTypes = portal->mStatement.mParse.mParameterTypes;
  statement.mValues = portal->mBind.mValues;
  statement.mFormats = portal->mBind.mParameterFormats;
  const auto& formats = portal->mBind.mResultFormats;
  statement.mResultFormat = formats.empty() ? 0 : formats.front();
  mWantsColumns = portal->mIsDescribed;
  Execute(statement, ClassifiedStatement(portal->mStatement.mClassified));
}

void
CallerSession::HandleClose(const Frame& aFrame)
{
  const auto target = ParseTarget(aFrame.mBody);
  if (target.IsError()) {
    Refuse(target.GetError());
    return;
  }
  if (target.Value().mKind == 'S') {
    mStatements.remove(target.Value().mName);
  } else {
    mPortals.remove(target.Value().mName);
  }
  mWriter.Empty('3');
}

void
CallerSession::HandleSync()
{
  mSkipToSync = false;
  mPortals.clear();
  SendReady();
}

void
CallerSession::Execute(const UpstreamStatement& aStatement,
                       const ClassifiedStatement& aClassified)
{
  switch (aClassified.mKind) {
    case StatementKind::Empty:
      mWriter.Empty('I');
      FinishStatement();
      return;
    case StatementKind::Set:
      ExecuteSet(aClassified);
      return;
    case StatementKind::Show:
      ExecuteShow(aClassified);
      return;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
      BeginTransaction(aClassified.mKind);
      return;
    case StatementKind::Commit:
    case StatementKind::Rollback:
      EndTransaction(aClassified.mKind);
      return;
    case StatementKind::Savepoint:
    case StatementKind::Read:
    case StatementKind::Write:
      ExecuteRequest(aStatement, aClassified.mKind);
      return;
  }
}

Request
CallerSession::MakeRequest(const UpstreamStatement& aStatement)
{
  const auto& name = mParameters.ClassName().isEmpty()
                       ? mParameters.User()
                       : mParameters.ClassName();
  Request request;
  request.mClass =
    mContext.mBlackboard.Routing().Read([&](const RoutingSnapshot& aSnapshot) {
      return aSnapshot.mConfiguration->ClassOrDefault(name.toStdString());
    });
  request.mStatement = aStatement;
  request.mToken = mParameters.Token();
  request.mOwnWrites = mOwnWrites;
  request.mIsUnsafe = request.mClass.mIsUnsafe || mParameters.IsUnsafe();
  request.mArrivedAt = Now();
  request.mDeadline = request.mArrivedAt + request.mClass.mTimeout;
  return request;
}

AnswerHandler
CallerSession::Answering()
{
  mState = State::Busy;
  return [session = QPointer(this)](const Answer& aAnswer) {
    if (session) {
      session->OnAnswer(aAnswer);
    }
  };
}

void
CallerSession::ExecuteRequest(const UpstreamStatement& aStatement,
                              StatementKind aKind)
{
  auto* engine = mWorker->FindEngine(Group().toStdString());
  if (!engine) {
    Refuse({ ErrorKind::UnknownGroup, "the group was removed" });
    return;
  }
  auto request = MakeRequest(aStatement);
  if (mTransaction) {
    mTransaction->Run(request, Answering());
  } else if (aKind == StatementKind::Read) {
    mCurrentOperation = engine->SubmitRead(std::move(request), Answering());
  } else {
    request.mRequestId = mParameters.TakeRequestId();
    engine->SubmitWrite(std::move(request), Answering());
  }
}

void
CallerSession::ExecuteSet(const ClassifiedStatement& aClassified)
{
  const auto set =
    mParameters.Set(QByteArray::fromStdString(aClassified.mName),
                    QByteArray::fromStdString(aClassified.mValue));
  if (set.IsError()) {
    Refuse(set.GetError());
    return;
  }
  WriteAnswer(Tagged("SET"));
  FinishStatement();
}

void
CallerSession::ExecuteShow(const ClassifiedStatement& aClassified)
{
  const auto name = QByteArray::fromStdString(aClassified.mName);
  auto value = mParameters.Show(name);
  if (name == "papayaline.session_token" && mOwnWrites) {
    const auto position =
      std::max(*mOwnWrites, mParameters.Token().value_or(LogPosition()));
    value = FormatToken(Group(), position);
  }
  if (!value) {
    UpstreamStatement statement = PlainStatement("SHOW " + name);
    ExecuteRequest(statement, StatementKind::Read);
    return;
  }
  MessageWriter rows;
  rows.DataRow({ *value });
  Answer answer = Tagged("SHOW");
  Column column;
  column.mName = name;
  answer.mColumns = { column };
  answer.mEncodedRows = rows.Take();
  WriteAnswer(answer);
  FinishStatement();
}

void
CallerSession::BeginTransaction(StatementKind aKind)
{
  auto* engine = mWorker->FindEngine(Group().toStdString());
  if (!mTransaction && engine) {
    const auto access = aKind == StatementKind::BeginReadOnly
                          ? TransactionAccess::ReadOnly
                          : TransactionAccess::ReadWrite;
    mTransaction = std::make_shared<CallerTransaction>(
      *engine, access, mParameters.TakeRequestId());
  }
  WriteAnswer(Tagged("BEGIN"));
  FinishStatement();
}

void
CallerSession::EndTransaction(StatementKind aKind)
{
  const bool isCommit = aKind == StatementKind::Commit;
  const auto transaction = std::exchange(mTransaction, nullptr);
  if (!transaction) {
    WriteAnswer(Tagged(isCommit ? "COMMIT" : "ROLLBACK"));
    FinishStatement();
  } else if (isCommit) {
    transaction->Commit(MakeRequest({}), Answering());
  } else {
    transaction->Rollback(Answering());
  }
}

void
CallerSession::OnAnswer(const Answer& aAnswer)
{
  if (mState != State::Busy) {
    return;
  }
  mState = State::Ready;
  mCurrentOperation = 0;
  if (aAnswer.mWritten) {
    mOwnWrites = std::max(mOwnWrites, aAnswer.mWritten);
    mTokenChanged = true;
  }
  WriteAnswer(aAnswer);
  if (aAnswer.mError && mProtocol == Protocol::Extended) {
    mSkipToSync = true;
  }
  FinishStatement();
  ProcessInput();
}

void
CallerSession::WriteAnswer(const Answer& aAnswer)
{
  if (aAnswer.mError) {
    mWriter.ErrorResponse(aAnswer.mError->mSqlState, aAnswer.mError->mMessage);
    return;
  }
  if (mWantsColumns && !aAnswer.mColumns.empty()) {
    mWriter.RowDescription(aAnswer.mColumns);
  } else if (mWantsColumns && mProtocol == Protocol::Extended) {
    mWriter.Empty('n');
  }
  mWriter.Encoded(aAnswer.mEncodedRows);
  mWriter.CommandComplete(aAnswer.mTag);
}

/// A simple query ends with ReadyForQuery, an extended one at its Sync.
void
CallerSession::FinishStatement()
{
  if (mProtocol == Protocol::Simple) {
    SendReady();
  }
}

void
CallerSession::Refuse(const Error& aError)
{
  const auto answer = ErrorAnswerOf(aError);
  mWriter.ErrorResponse(answer.mError->mSqlState, answer.mError->mMessage);
  if (mTransaction) {
    mTransaction->MarkFailed();
  }
  if (mProtocol == Protocol::Extended) {
    mSkipToSync = true;
  }
  FinishStatement();
}

void
CallerSession::Fatal(const Error& aError)
{
  if (mState == State::Closing) {
    return;
  }
  mState = State::Closing;
  const auto answer = ErrorAnswerOf(aError);
  mWriter.FatalResponse(answer.mError->mSqlState, answer.mError->mMessage);
  Flush();
  mSocket->disconnectFromHost();
}

TransactionStatus
CallerSession::Status() const
{
  if (!mTransaction) {
    return TransactionStatus::Idle;
  }
  return mTransaction->HasFailed() ? TransactionStatus::Failed
                                   : TransactionStatus::Open;
}

void
CallerSession::SendReady()
{
  if (std::exchange(mTokenChanged, false)) {
    mWriter.ParameterStatus("papayaline.session_token",
                            FormatToken(Group(), *mOwnWrites));
  }
  mWriter.ReadyForQuery(Status());
}

void
CallerSession::Flush()
{
  if (!mWriter.IsEmpty()) {
    mSocket->write(mWriter.Take());
    // Otherwise the bytes leave one round of the event loop later.
    mSocket->flush();
  }
}

void
CallerSession::ReleaseIfIdle()
{
  const bool isIdle = mState == State::Ready && !mTransaction &&
                      mReader.BufferedBytes() == 0 &&
                      mSocket->bytesAvailable() == 0 && !mSkipToSync &&
                      mPortals.isEmpty() && mSocket->bytesToWrite() == 0;
  const bool isStarting =
    mState == State::Startup || mState == State::Authenticating;
  if (isIdle || isStarting) {
    Fatal({ ErrorKind::ShuttingDown, "this instance is shutting down" });
  }
}

}
