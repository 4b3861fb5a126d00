#include "FaultLink.h"

#include <QHostAddress>

namespace papayaline {

bool
FaultPipe::Forward(const Fault& aFault, qint64 aNowMs)
{
  if (!mFrom || !mTo) {
    return false;
  }
  if (aFault.mMode == FaultMode::Freeze) {
    return true;
  }
  auto bytes = mFrom->readAll();
  if (aFault.mMode == FaultMode::Drop) {
    mHasDroppedBytes = mHasDroppedBytes || !bytes.isEmpty();
    return true;
  }
  if (aFault.mMode == FaultMode::CutAfter) {
    bytes.truncate(std::max<qint64>(aFault.mValue - mForwarded, 0));
  }
  if (!bytes.isEmpty()) {
    const auto delay = aFault.mMode == FaultMode::Delay ? aFault.mValue : 0;
    mChunks.push_back({ aNowMs + delay, bytes });
    mForwarded += bytes.size();
  }
  while (!mChunks.empty() && mChunks.front().mDueMs <= aNowMs &&
         mTo->state() == QAbstractSocket::ConnectedState) {
    mTo->write(mChunks.front().mBytes);
    mChunks.pop_front();
  }
  if (aFault.mMode == FaultMode::CutAfter && mForwarded >= aFault.mValue) {
    mTo->flush();
    return false;
  }
  return true;
}

FaultLink::FaultLink(QString aHost, quint16 aPort)
  : mHost(std::move(aHost))
  , mPort(aPort)
{
  mClock.start();
  connect(&mTimer, &QTimer::timeout, this, [this] { ForwardAll(); });
  mTimer.setTimerType(Qt::PreciseTimer);
}

bool
FaultLink::IsCut() const
{
  return mUp.mMode == FaultMode::Cut || mDown.mMode == FaultMode::Cut;
}

void
FaultLink::SetFaults(Fault aUp, Fault aDown)
{
  mUp = aUp;
  mDown = aDown;
  const auto isDropping = [](const Fault& aFault) {
    return aFault.mMode == FaultMode::Drop;
  };
  for (auto& it : mConnections) {
    // A stream with discarded bytes is corrupt once bytes are forwarded again.
    const bool isBroken = (it.mUp.HasDroppedBytes() && !isDropping(mUp)) ||
                          (it.mDown.HasDroppedBytes() && !isDropping(mDown));
    if (IsCut() || isBroken) {
      Reset(it);
    }
  }
  const bool needsTimer =
    mUp.mMode == FaultMode::Delay || mDown.mMode == FaultMode::Delay;
  needsTimer ? mTimer.start(1) : mTimer.stop();
  ForwardAll();
}

void
FaultLink::incomingConnection(qintptr aDescriptor)
{
  auto* client = new QTcpSocket(this);
  client->setSocketDescriptor(aDescriptor);
  if (IsCut()) {
    client->abort();
    client->deleteLater();
    return;
  }
  auto* target = new QTcpSocket(this);
  mConnections.push_back(
    { client, target, FaultPipe(client, target), FaultPipe(target, client) });
  for (auto* it : { client, target }) {
    connect(it, &QTcpSocket::readyRead, this, [this] { ForwardAll(); });
    connect(it, &QTcpSocket::connected, this, [this] { ForwardAll(); });
    connect(it, &QTcpSocket::disconnected, this, [this] { ForwardAll(); });
    connect(it, &QTcpSocket::errorOccurred, this, [this] { ForwardAll(); });
    it->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  }
  target->connectToHost(mHost, mPort);
}

void
FaultLink::Reset(Connection& aConnection)
{
  if (aConnection.mIsReset) {
    return;
  }
  aConnection.mIsReset = true;
  for (auto* it : { aConnection.mClient, aConnection.mTarget }) {
    it->disconnect(this);
    it->flush();
    it->abort();
    it->deleteLater();
  }
}

void
FaultLink::ForwardAll()
{
  for (auto& it : mConnections) {
    if (it.mIsReset) {
      continue;
    }
    const auto isOpen = [](QTcpSocket* aSocket) {
      return aSocket->state() != QAbstractSocket::UnconnectedState;
    };
    const bool isHealthy = it.mUp.Forward(mUp, mClock.elapsed()) &&
                           it.mDown.Forward(mDown, mClock.elapsed());
    // A closed peer is noticed only while bytes are forwarded in its direction.
    const bool hidesPeerClose =
      mUp.mMode == FaultMode::Drop || mDown.mMode == FaultMode::Drop ||
      mUp.mMode == FaultMode::Freeze || mDown.mMode == FaultMode::Freeze;
    const bool isClosed = !isOpen(it.mClient) || !isOpen(it.mTarget);
    if (!isHealthy || (isClosed && !hidesPeerClose)) {
      Reset(it);
    }
  }
  mConnections.remove_if([](const auto& it) { return it.mIsReset; });
}

}
