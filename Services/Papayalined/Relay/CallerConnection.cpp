#include "CallerConnection.h"

#include "LibDecision/Overloaded.h"

#include <QHostAddress>

namespace papayaline {

namespace {

constexpr int kListenBacklog = 1024;
/// A connection that has not opened a session by then is closed.
constexpr auto kOpeningTimeout = std::chrono::seconds(5);
/// Unread input beyond this stays in the kernel; a caller waits for each
/// answer, so it fills only by misuse.
constexpr qint64 kReadBufferBytes = 64 * 1024;

}

CallerConnection::CallerConnection(CallerPort& aPort, QTcpSocket* aSocket)
  : mPort(aPort)
  , mSocket(aSocket)
  , mProtocol(aPort.mProtocol())
  , mAcceptedAt(aPort.mRouter.Now())
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
  mPort.mConnections.insert(this);
}

CallerConnection::~CallerConnection()
{
  mPort.mConnections.erase(this);
}

void
CallerConnection::ReadInput()
{
  // Input behind a statement under way waits in the socket.
  if (mIsHandling || mIsClosing || (mSession && mSession->IsBusy())) {
    return;
  }
  const auto bytes = mSocket->readAll();
  mProtocol->Append(bytes.constData(), static_cast<size_t>(bytes.size()));
  HandleNext();
}

void
CallerConnection::HandleNext()
{
  if (mIsHandling) {
    return;
  }
  mIsHandling = true;
  while (!mIsClosing && !(mSession && mSession->IsBusy())) {
    const auto message = mProtocol->Next();
    if (message) {
      Handle(*message);
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
CallerConnection::Handle(const CallerMessage& aMessage)
{
  const Error early{ ErrorKind::BadInput, "no session is open" };
  std::visit(Overloaded{
               [&](const SessionOpening& it) { Open(it); },
               [&](const SessionEnd&) { Close(); },
               [&](const CallerStatement& it) {
                 mSession ? mSession->Handle(it) : Fatal(early);
               },
               [&](const InputError& it) {
                 if (it.mIsFatal || !mSession) {
                   Fatal(it.mError);
                 } else {
                   mSession->HandleInvalid(it.mError);
                 }
               },
             },
             aMessage);
}

void
CallerConnection::Open(const SessionOpening& aOpening)
{
  if (mSession) {
    Fatal({ ErrorKind::BadInput, "a session is open" });
    return;
  }
  const auto* configuration = mPort.mRouter.Configuration();
  if (!configuration) {
    Fatal({ ErrorKind::NoUpstream, "this instance is starting" });
    return;
  }
  if (!configuration->FindRoute(aOpening.mDatabase)) {
    Fatal({ ErrorKind::UnknownGroup, aOpening.mDatabase });
    return;
  }
  mSession = std::make_shared<RelaySession>(
    mPort.mRouter, aOpening.mDatabase, [this](const StatementAnswer& aAnswer) {
      Respond(aAnswer);
    });
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
    HandleNext();
  }
}

void
CallerConnection::Write(const std::string& aBytes)
{
  mSocket->write(aBytes.data(), static_cast<qint64>(aBytes.size()));
  mSocket->flush();
}

void
CallerConnection::Fatal(const Error& aError)
{
  Write(mProtocol->EncodeFatal(aError));
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

bool
CallerConnection::CloseIfIdle()
{
  const bool isIdle = !mIsHandling && (!mSession || mSession->IsIdle()) &&
                      !mProtocol->HasPartialMessage() &&
                      mSocket->bytesAvailable() == 0 &&
                      mSocket->bytesToWrite() == 0;
  if (isIdle) {
    Close();
  }
  return isIdle;
}

void
CallerConnection::AbortTransaction()
{
  if (mSession) {
    mSession->AbortTransaction(
      { ErrorKind::WriteNotRun, "this instance is shutting down" });
  }
}

void
CallerConnection::Tick(Instant aNow)
{
  if (mSession) {
    mSession->ExpireTransaction(aNow);
  } else if (aNow - mAcceptedAt >= kOpeningTimeout) {
    Close();
  }
}

CallerPort::CallerPort(RelayRouter& aRouter, CallerProtocolFactory aProtocol)
  : mRouter(aRouter)
  , mProtocol(aProtocol)
{
  mServer.setMaxPendingConnections(kListenBacklog);
  mServer.setListenBacklogSize(kListenBacklog);
  connect(&mServer, &QTcpServer::newConnection, this, [this] {
    while (auto* socket = mServer.nextPendingConnection()) {
      new CallerConnection(*this, socket);
    }
  });
}

CallerPort::~CallerPort()
{
  const auto connections = mConnections;
  for (auto* it : connections) {
    delete it;
  }
}

Result<Done>
CallerPort::Listen(const Address& aAddress)
{
  const QHostAddress host(QString::fromStdString(aAddress.mHost));
  if (!mServer.listen(host, aAddress.mPort)) {
    return Error{ ErrorKind::Unreachable,
                  "can't listen on " + aAddress.ToString() };
  }
  return Done{};
}

size_t
CallerPort::ReleaseIdle()
{
  const auto connections = mConnections;
  std::ranges::for_each(connections, [](auto* it) { it->CloseIfIdle(); });
  return mConnections.size();
}

void
CallerPort::AbortTransactions()
{
  std::ranges::for_each(mConnections, [](auto* it) { it->AbortTransaction(); });
}

void
CallerPort::Tick(Instant aNow)
{
  const auto connections = mConnections;
  std::ranges::for_each(connections, [=](auto* it) { it->Tick(aNow); });
}

}
