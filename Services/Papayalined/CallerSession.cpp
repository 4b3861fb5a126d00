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
/// With more unsent bytes, no further requests of the caller are processed.
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

Response
CommandTagResponse(const QByteArray& aTag)
{
  Response response;
  response.mTag = aTag;
  return response;
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
  mWorker->AddSession(this);
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
    CloseWithError({ ErrorKind::ProtocolViolation,
                     "start-up and authentication timed out" });
  });
  mStartupTimer.setSingleShot(true);
  mStartupTimer.start(kStartupTimeout);
}

CallerSession::~CallerSession()
{
  Metrics::Instance().Add(Counter::CallerConnections, -1);
  mWorker->RemoveSession(this);
  if (mTransaction && mState != State::Busy) {
    mTransaction->Rollback([](const Response&) {});
  }
}

void
CallerSession::ProcessInput()
{
  const auto mayProcess = [this] {
    return mState != State::Busy && mState != State::Closing &&
           mSocket->bytesToWrite() < kMaxUnsentBytes;
  };
  // A response may arrive synchronously, while its request is being submitted.
  if (mIsProcessing) {
    return;
  }
  mIsProcessing = true;
  while (mayProcess()) {
    auto frame = mReader.Next();
    if (frame.IsError()) {
      CloseWithError(frame.GetError());
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
    // Responses to pipelined requests may still be in the write buffer.
    Flush();
    mSocket->disconnectFromHost();
  } else if (aFrame.mType == 'F') {
    FailStatement({ ErrorKind::NotSupported, "function calls" });
  } else if (aFrame.mType != 'H') {
    CloseWithError({ ErrorKind::ProtocolViolation, "unexpected message type" });
  }
}

void
CallerSession::HandleStartup(const QByteArray& aBody)
{
  const auto startup = ParseStartup(aBody);
  if (startup.IsError()) {
    CloseWithError(startup.GetError());
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
      CloseWithError(
        { ErrorKind::ProtocolViolation, "unsupported protocol version" });
      return;
  }
  const auto taken = mParameters.ApplyStartup(message.mParameters);
  if (taken.IsError()) {
    CloseWithError(taken.GetError());
    return;
  }
  StartAuthentication();
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
  // Plaintext behind the request would be treated as if it had arrived
  // encrypted, which allows an attacker to inject commands.
  if (mReader.BufferedBytes() > 0) {
    CloseWithError({ ErrorKind::ProtocolViolation,
                     "received unencrypted data before the TLS handshake" });
    return;
  }
  mSocket->write("S");
  mSocket->flush();
  tls->setSslConfiguration(*mContext.mTls);
  tls->startServerEncryption();
}

void
CallerSession::StartAuthentication()
{
  const auto& settings = mContext.mControlState.GetSettings();
  if (settings.mAuthentication == Authentication::Trust) {
    mWriter.AuthenticationOk();
    ScheduleMoveToGroupWorker();
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
    CloseWithError({ ErrorKind::ProtocolViolation, "expected a SASL message" });
    return;
  }
  if (!mIsScramChallenged) {
    mIsScramChallenged = true;
    // SASLInitialResponse: the zero-terminated mechanism name, a 32-bit length
    // and the client's first message.
    const auto nameEnd = aFrame.mBody.indexOf('\0');
    const auto challenge = mScram->Challenge(
      nameEnd < 0 ? QByteArray() : aFrame.mBody.mid(nameEnd + 5));
    if (challenge.IsError()) {
      CloseWithError(challenge.GetError());
      return;
    }
    mWriter.AuthenticationSaslContinue(challenge.Value());
    return;
  }
  const auto signature = mScram->Verify(aFrame.mBody);
  if (signature.IsError()) {
    CloseWithError(signature.GetError());
    return;
  }
  mWriter.AuthenticationSaslFinal(signature.Value());
  mWriter.AuthenticationOk();
  ScheduleMoveToGroupWorker();
}

/// Schedules the move to the worker of the group, which lets requests run
/// without a lock. The move is deferred to the event loop because the callers
/// of this function still use the session. It is posted to the worker, not to
/// the session: Qt accesses the receiver of an event after its handler returns,
/// and by then the other thread may have deleted the session.
void
CallerSession::ScheduleMoveToGroupWorker()
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
    mWorker->RemoveSession(this);
    mWorker = &worker;
  }
  // Qt moves posted events to the new thread along with the session.
  QMetaObject::invokeMethod(
    this,
    [this] {
      mWorker->AddSession(this);
      FinishStartup();
    },
    Qt::QueuedConnection);
  if (isMoving) {
    moveToThread(worker.thread());
    // The session must not be used from here on: the other thread may have
    // deleted it.
  }
}

void
CallerSession::FinishStartup()
{
  if (!mWorker->FindEngine(Group().toStdString())) {
    CloseWithError({ ErrorKind::UnknownGroup,
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
  aContext.mWorkers.PostToEachWorker([aProcessId, aSecret](Worker& aWorker) {
    aWorker.ForEachSession([&](CallerSession& aSession) {
      if (aSession.mProcessId == aProcessId && aSession.mSecret == aSecret &&
          aSession.mState == State::Busy) {
        aSession.CancelQueuedRequest();
      }
    });
  });
}

void
CallerSession::CancelQueuedRequest()
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
  mSendsRowDescription = true;
  const auto sql = ParseQuery(aFrame.mBody);
  if (sql.IsError()) {
    FailStatement(sql.GetError());
    return;
  }
  const auto classified = ClassifyStatement(
    { sql.Value().constData(), static_cast<size_t>(sql.Value().size()) });
  if (classified.IsError()) {
    FailStatement(classified.GetError());
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
    FailStatement(parse.GetError());
    return;
  }
  const auto& sql = parse.Value().mSql;
  const auto classified =
    ClassifyStatement({ sql.constData(), static_cast<size_t>(sql.size()) });
  if (classified.IsError()) {
    FailStatement(classified.GetError());
    return;
  }
  if (mStatements.size() >= kMaxPreparedStatements &&
      !mStatements.contains(parse.Value().mName)) {
    FailStatement(
      { ErrorKind::MessageTooLarge, "too many prepared statements" });
    return;
  }
  const auto name = parse.Value().mName;
  mStatements[name] = { parse.Take(), classified.Value() };
  mWriter.EmptyMessage('1');
}

void
CallerSession::HandleBind(const Frame& aFrame)
{
  mProtocol = Protocol::Extended;
  auto bind = ParseBind(aFrame.mBody);
  if (bind.IsError()) {
    FailStatement(bind.GetError());
    return;
  }
  const auto statement = mStatements.find(bind.Value().mStatement);
  if (statement == mStatements.end()) {
    FailStatement({ ErrorKind::NotFound, "no such prepared statement" });
    return;
  }
  const auto& formats = bind.Value().mResultFormats;
  if (std::ranges::adjacent_find(formats, std::not_equal_to{}) !=
      formats.end()) {
    FailStatement({ ErrorKind::NotSupported, "mixed result formats" });
    return;
  }
  const auto name = bind.Value().mPortal;
  mPortals = { { name, { bind.Take(), *statement, false } } };
  mWriter.EmptyMessage('2');
}

void
CallerSession::HandleDescribe(const Frame& aFrame)
{
  const auto target = ParseDescribeOrClose(aFrame.mBody);
  if (target.IsError()) {
    FailStatement(target.GetError());
    return;
  }
  const auto portal = mPortals.find(target.Value().mName);
  if (target.Value().mKind != 'P' || portal == mPortals.end()) {
    FailStatement({ ErrorKind::NotSupported,
                    "Describe of a statement or of an unknown portal" });
    return;
  }
  // The columns are only known, and sent, once the portal is executed.
  portal->mIsDescribed = true;
}

void
CallerSession::HandleExecute(const Frame& aFrame)
{
  const auto execute = ParseExecute(aFrame.mBody);
  if (execute.IsError()) {
    FailStatement(execute.GetError());
    return;
  }
  const auto portal = mPortals.find(execute.Value().mPortal);
  if (portal == mPortals.end()) {
    FailStatement({ ErrorKind::NotFound, "no such portal" });
    return;
  }
  if (execute.Value().mMaxRows != 0) {
    FailStatement({ ErrorKind::NotSupported, "row limits of portals" });
    return;
  }
  UpstreamStatement statement;
  statement.mSql = portal->mStatement.mParse.mSql;
  statement.mTypes = portal->mStatement.mParse.mParameterTypes;
  statement.mValues = portal->mBind.mValues;
  statement.mFormats = portal->mBind.mParameterFormats;
  const auto& formats = portal->mBind.mResultFormats;
  statement.mResultFormat = formats.empty() ? 0 : formats.front();
  mSendsRowDescription = portal->mIsDescribed;
  Execute(statement, ClassifiedStatement(portal->mStatement.mClassified));
}

void
CallerSession::HandleClose(const Frame& aFrame)
{
  const auto target = ParseDescribeOrClose(aFrame.mBody);
  if (target.IsError()) {
    FailStatement(target.GetError());
    return;
  }
  if (target.Value().mKind == 'S') {
    mStatements.remove(target.Value().mName);
  } else {
    mPortals.remove(target.Value().mName);
  }
  mWriter.EmptyMessage('3');
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
      mWriter.EmptyMessage('I');
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
  request.mClass = mContext.mControlState.Routing().Read(
    [&](const RoutingSnapshot& aSnapshot) {
      return aSnapshot.mConfiguration->ClassOrDefault(name.toStdString());
    });
  request.mStatement = aStatement;
  request.mToken = mParameters.Token();
  request.mLastWritePosition = mLastWritePosition;
  request.mIsUnsafe = request.mClass.mIsUnsafe || mParameters.IsUnsafe();
  request.mArrivedAt = Now();
  request.mDeadline = request.mArrivedAt + request.mClass.mTimeout;
  return request;
}

ResponseHandler
CallerSession::MakeResponseHandler()
{
  mState = State::Busy;
  return [session = QPointer(this)](const Response& aResponse) {
    if (session) {
      session->OnResponse(aResponse);
    }
  };
}

void
CallerSession::ExecuteRequest(const UpstreamStatement& aStatement,
                              StatementKind aKind)
{
  auto* engine = mWorker->FindEngine(Group().toStdString());
  if (!engine) {
    FailStatement({ ErrorKind::UnknownGroup, "the group was removed" });
    return;
  }
  auto request = MakeRequest(aStatement);
  if (mTransaction) {
    mTransaction->Run(request, MakeResponseHandler());
  } else if (aKind == StatementKind::Read) {
    mCurrentOperation =
      engine->SubmitRead(std::move(request), MakeResponseHandler());
  } else {
    request.mRequestId = mParameters.TakeRequestId();
    engine->SubmitWrite(std::move(request), MakeResponseHandler());
  }
}

void
CallerSession::ExecuteSet(const ClassifiedStatement& aClassified)
{
  const auto set =
    mParameters.Set(QByteArray::fromStdString(aClassified.mName),
                    QByteArray::fromStdString(aClassified.mValue));
  if (set.IsError()) {
    FailStatement(set.GetError());
    return;
  }
  WriteResponse(CommandTagResponse("SET"));
  FinishStatement();
}

void
CallerSession::ExecuteShow(const ClassifiedStatement& aClassified)
{
  const auto name = QByteArray::fromStdString(aClassified.mName);
  auto value = mParameters.Show(name);
  if (name == "papayaline.session_token" && mLastWritePosition) {
    const auto position = std::max(*mLastWritePosition,
                                   mParameters.Token().value_or(LogPosition()));
    value = FormatSessionToken(Group(), position);
  }
  if (!value) {
    UpstreamStatement statement = PlainStatement("SHOW " + name);
    ExecuteRequest(statement, StatementKind::Read);
    return;
  }
  MessageWriter rows;
  rows.DataRow({ *value });
  Response response = CommandTagResponse("SHOW");
  Column column;
  column.mName = name;
  response.mColumns = { column };
  response.mEncodedRows = rows.Take();
  WriteResponse(response);
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
  WriteResponse(CommandTagResponse("BEGIN"));
  FinishStatement();
}

void
CallerSession::EndTransaction(StatementKind aKind)
{
  const bool isCommit = aKind == StatementKind::Commit;
  const auto transaction = std::exchange(mTransaction, nullptr);
  if (!transaction) {
    WriteResponse(CommandTagResponse(isCommit ? "COMMIT" : "ROLLBACK"));
    FinishStatement();
  } else if (isCommit) {
    transaction->Commit(MakeRequest({}), MakeResponseHandler());
  } else {
    transaction->Rollback(MakeResponseHandler());
  }
}

void
CallerSession::OnResponse(const Response& aResponse)
{
  if (mState != State::Busy) {
    return;
  }
  mState = State::Ready;
  mCurrentOperation = 0;
  if (aResponse.mWritePosition) {
    mLastWritePosition = std::max(mLastWritePosition, aResponse.mWritePosition);
    mIsTokenChanged = true;
  }
  WriteResponse(aResponse);
  if (aResponse.mError && mProtocol == Protocol::Extended) {
    mSkipToSync = true;
  }
  FinishStatement();
  ProcessInput();
}

void
CallerSession::WriteResponse(const Response& aResponse)
{
  if (aResponse.mError) {
    mWriter.ErrorResponse(aResponse.mError->mSqlState,
                          aResponse.mError->mMessage);
    return;
  }
  if (mSendsRowDescription && !aResponse.mColumns.empty()) {
    mWriter.RowDescription(aResponse.mColumns);
  } else if (mSendsRowDescription && mProtocol == Protocol::Extended) {
    mWriter.EmptyMessage('n');
  }
  mWriter.AppendEncoded(aResponse.mEncodedRows);
  mWriter.CommandComplete(aResponse.mTag);
}

/// Sends ReadyForQuery after a simple query. In the extended protocol the
/// response to Sync sends it.
void
CallerSession::FinishStatement()
{
  if (mProtocol == Protocol::Simple) {
    SendReady();
  }
}

void
CallerSession::FailStatement(const Error& aError)
{
  const auto response = MakeErrorResponse(aError);
  mWriter.ErrorResponse(response.mError->mSqlState, response.mError->mMessage);
  if (mTransaction) {
    mTransaction->MarkFailed();
  }
  if (mProtocol == Protocol::Extended) {
    mSkipToSync = true;
  }
  FinishStatement();
}

void
CallerSession::CloseWithError(const Error& aError)
{
  if (mState == State::Closing) {
    return;
  }
  mState = State::Closing;
  const auto response = MakeErrorResponse(aError);
  mWriter.FatalResponse(response.mError->mSqlState, response.mError->mMessage);
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
  if (std::exchange(mIsTokenChanged, false)) {
    mWriter.ParameterStatus("papayaline.session_token",
                            FormatSessionToken(Group(), *mLastWritePosition));
  }
  mWriter.ReadyForQuery(Status());
}

void
CallerSession::Flush()
{
  if (!mWriter.IsEmpty()) {
    mSocket->write(mWriter.Take());
    // Without this, Qt sends the bytes in the next iteration of the event loop.
    mSocket->flush();
  }
}

void
CallerSession::CloseIfIdle()
{
  const bool isIdle = mState == State::Ready && !mTransaction &&
                      mReader.BufferedBytes() == 0 &&
                      mSocket->bytesAvailable() == 0 && !mSkipToSync &&
                      mPortals.isEmpty() && mSocket->bytesToWrite() == 0;
  const bool isStarting =
    mState == State::Startup || mState == State::Authenticating;
  if (isIdle || isStarting) {
    CloseWithError(
      { ErrorKind::ShuttingDown, "this instance is shutting down" });
  }
}

}
