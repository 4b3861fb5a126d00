#include "CallerConnection.h"

#include "LibCore/StructuredLog.h"
#include "LibDecision/Overloaded.h"

#include <QHostAddress>
#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace papayaline {

namespace {

constexpr int kListenBacklog = 1024;
/// A connection that has not opened a session within this time is closed.
constexpr auto kStartupTimeout = std::chrono::seconds(5);
/// Further input stays in the kernel's buffer. A caller that waits for each
/// response, as the protocol requires, never fills this buffer.
constexpr qint64 kReadBufferBytes = 64 * 1024;
/// An idle connection is closed this long after its last answer, which is
/// several round trips to a caller: many callers send the next statement at
/// once, and one that meets the close has an unknown outcome for them.
constexpr Duration kMinIdleTime = std::chrono::milliseconds(50);
/// Descriptors kept free for databases, the store, other instances and
/// readiness checks. Qt ends the process when it gets none for a thread.
constexpr rlim_t kReservedDescriptors = 512;
constexpr Duration kRefusalLogInterval = std::chrono::seconds(1);

/// The lowest descriptor that is not given to a caller. New descriptors are the
/// lowest free ones, so all below are in use when it is reached. At least three
/// quarters of a small limit are left to callers.
qintptr
FirstReservedDescriptor()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return std::numeric_limits<qintptr>::max();
  }
  const auto reserved = std::min(kReservedDescriptors, limit.rlim_cur / 4);
  return static_cast<qintptr>(limit.rlim_cur - reserved);
}

}

CallerConnection::CallerConnection(RelayCallerListener& aListener,
                                   QTcpSocket* aSocket)
  : mListener(aListener)
  , mSocket(aSocket)
  , mProtocol(aListener.mProtocol())
  , mAcceptedAt(aListener.mRouter.Now())
  , mLastActiveAt(mAcceptedAt)
{
  mSocket->setParent(this);
  mSocket->setReadBufferSize(kReadBufferBytes);
  mSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  mSocket->setSocketOption(QAbstractSocket::KeepAliveOption, 1);
  connect(mSocket, &QTcpSocket::readyRead, this, [this] { ReadInput(); });
  connect(mSocket, &QTcpSocket::disconnected, this, [this] {
    mIsClosing = true;
    mSession.reset();
    deleteLater();
  });
  mListener.mConnections.insert(this);
}

CallerConnection::~CallerConnection()
{
  mListener.mConnections.erase(this);
}

void
CallerConnection::ReadInput()
{
  // Input that follows a statement in flight stays in the socket.
  if (mIsHandling || mIsClosing || (mSession && mSession->IsBusy())) {
    return;
  }
  const auto bytes = mSocket->readAll();
  mProtocol->Append(bytes.constData(), static_cast<size_t>(bytes.size()));
  HandleMessages();
}

void
CallerConnection::HandleMessages()
{
  if (mIsHandling) {
    return;
  }
  mIsHandling = true;
  while (!mIsClosing && !(mSession && mSession->IsBusy())) {
    const auto message = mProtocol->Next();
    if (message) {
      HandleMessage(*message);
      continue;
    }
    const auto bytes = mSocket->readAll();
    if (bytes.isEmpty()) {
      break;
    }
    mProtocol->Append(bytes.constData(), static_cast<size_t>(bytes.size()));
  }
  mIsHandling = false;
}

void
CallerConnection::HandleMessage(const CallerMessage& aMessage)
{
  const Error noSession{ ErrorKind::BadInput, "no session is open" };
  std::visit(Overloaded{
               [&](const SessionStartup& it) { OpenSession(it); },
               [&](const SessionEnd&) { Close(); },
               [&](const CallerStatement& it) {
                 mSession ? mSession->Handle(it) : CloseWithError(noSession);
               },
               [&](const InputError& it) {
                 if (it.mIsFatal || !mSession) {
                   CloseWithError(it.mError);
                 } else {
                   mSession->HandleInvalid(it.mError);
                 }
               },
             },
             aMessage);
}

void
CallerConnection::OpenSession(const SessionStartup& aStartup)
{
  if (mSession) {
    CloseWithError({ ErrorKind::BadInput, "a session is already open" });
    return;
  }
  if (mListener.mRouter.GetAdmission() == Admission::Nothing) {
    CloseWithError(
      { ErrorKind::ShuttingDown, "this instance is shutting down" });
    return;
  }
  const auto* configuration = mListener.mRouter.Configuration();
  if (!configuration) {
    CloseWithError({ ErrorKind::NoUpstream,
                     "this instance has not loaded its configuration yet" });
    return;
  }
  const auto* route = configuration->FindRoute(aStartup.mDatabase);
  if (!route) {
    CloseWithError({ ErrorKind::UnknownGroup, aStartup.mDatabase });
    return;
  }
  const auto authority = mListener.mRouter.FindAuthority(*route, aStartup.mKey);
  if (authority.IsError() &&
      authority.GetError().mKind == ErrorKind::AuthenticationFailed) {
    mListener.mRouter.RecordError(aStartup.mDatabase, authority.GetError());
    CloseWithError(authority.GetError());
    return;
  }
  mSession = std::make_shared<RelaySession>(
    mListener.mRouter,
    aStartup.mDatabase,
    aStartup.mKey,
    [this](const StatementAnswer& aAnswer) { Respond(aAnswer); });
  Write(mProtocol->EncodeWelcome());
}

void
CallerConnection::Respond(const StatementAnswer& aAnswer)
{
  if (mIsClosing) {
    return;
  }
  Write(mProtocol->EncodeAnswer(aAnswer));
  if (!mIsHandling) {
    HandleMessages();
  }
}

void
CallerConnection::Write(const std::string& aBytes)
{
  mLastActiveAt = mListener.mRouter.Now();
  mSocket->write(aBytes.data(), static_cast<qint64>(aBytes.size()));
  mSocket->flush();
}

void
CallerConnection::CloseWithError(const Error& aError)
{
  Write(mProtocol->EncodeFatalError(aError));
  Close();
}

void
CallerConnection::Close()
{
  if (!mIsClosing) {
    mIsClosing = true;
    mSocket->disconnectFromHost();
  }
}

void
CallerConnection::CloseIfIdle(Instant aNow)
{
  const bool isIdle = !mIsHandling && (!mSession || mSession->IsIdle()) &&
                      !mProtocol->HasPartialMessage() &&
                      mSocket->bytesAvailable() == 0 &&
                      mSocket->bytesToWrite() == 0;
  if (isIdle && aNow - mLastActiveAt >= kMinIdleTime) {
    Close();
  }
}

bool
CallerConnection::End()
{
  const bool isAbandoned = !mIsClosing && mSession && mSession->Abandon();
  Close();
  return isAbandoned;
}

void
CallerConnection::RollBackTransaction()
{
  if (mSession) {
    mSession->RollBackTransaction(
      { ErrorKind::WriteNotRun, "this instance is shutting down" });
  }
}

void
CallerConnection::Tick(Instant aNow)
{
  if (mSession) {
    mSession->ExpireTransaction(aNow);
  } else if (aNow - mAcceptedAt >= kStartupTimeout) {
    Close();
  }
}

RelayCallerListener::RelayCallerListener(RelayRouter& aRouter,
                                         CallerProtocolFactory aProtocol)
  : mRouter(aRouter)
  , mProtocol(aProtocol)
{
  mServer.setMaxPendingConnections(kListenBacklog);
  mServer.setListenBacklogSize(kListenBacklog);
  connect(&mServer, &QTcpServer::newConnection, this, [this] {
    while (auto* socket = mServer.nextPendingConnection()) {
      Accept(socket);
    }
  });
}

void
RelayCallerListener::Accept(QTcpSocket* aSocket)
{
  if (aSocket->socketDescriptor() >= FirstReservedDescriptor()) {
    Refuse(aSocket);
  } else {
    new CallerConnection(*this, aSocket);
  }
}

void
RelayCallerListener::Refuse(QTcpSocket* aSocket)
{
  ++mRefusedCount;
  const auto now = mRouter.Now();
  if (now >= mNextRefusalLogAt) {
    mNextRefusalLogAt = now + kRefusalLogInterval;
    StructuredLog::Instance().Write(
      LogPriority::Decision,
      "caller.refused",
      { { "reason", "no descriptors left" },
        { "connections", std::to_string(mConnections.size()) },
        { "refused", std::to_string(mRefusedCount) } });
  }
  aSocket->abort();
  aSocket->deleteLater();
}

RelayCallerListener::~RelayCallerListener()
{
  const auto connections = mConnections;
  for (auto* it : connections) {
    delete it;
  }
}

Result<Done>
RelayCallerListener::Listen(const Address& aAddress)
{
  const QHostAddress host(QString::fromStdString(aAddress.mHost));
  if (!mServer.listen(host, aAddress.mPort)) {
    return Error{ ErrorKind::Unreachable,
                  "can't listen on " + aAddress.ToString() };
  }
  return Done{};
}

void
RelayCallerListener::CloseIdle()
{
  const auto connections = mConnections;
  std::ranges::for_each(
    connections, [now = mRouter.Now()](auto* it) { it->CloseIfIdle(now); });
}

size_t
RelayCallerListener::End()
{
  const auto connections = mConnections;
  return static_cast<size_t>(
    std::ranges::count_if(connections, [](auto* it) { return it->End(); }));
}

void
RelayCallerListener::RollBackTransactions()
{
  std::ranges::for_each(mConnections,
                        [](auto* it) { it->RollBackTransaction(); });
}

void
RelayCallerListener::Tick(Instant aNow)
{
  const auto connections = mConnections;
  std::ranges::for_each(connections, [=](auto* it) { it->Tick(aNow); });
}

}
