#include "FaultLink.h"

#include <QHostAddress>

namespace papayaline {

bool
FaultPipe::Pump(const Fault& aFault, qint64 aNowMs)
{
  if (!mFrom || !mTo) {
    return false;
  }
  if (aFault.mMode == FaultMode::Freeze) {
    return true;
  }
  auto bytes = mFrom->readAll();
  if (aFault.mMode == FaultMode::Drop) {
    mHasDropped = mHasDropped || !bytes.isEmpty();
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
  connect(&mTimer, &QTimer::timeout, this, [this] { Pump(); });
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
  const auto discarding = [](const Fault& aFault) {
    return aFault.mMode == FaultMode::Drop;
  };
  for (auto& it : mConnections) {
    // A stream that lost bytes can't go on once bytes flow again.
    const bool isBroken = (it.mUp.HasDropped() && !discarding(mUp)) ||
                          (it.mDown.HasDropped() && !discarding(mDown));
    if (IsCut() || isBroken) {
      Reset(it);
    }
  }
  const bool needsTimer =
    mUp.mMode == FaultMode::Delay || mDown.mMode == FaultMode::Delay;
  needsTimer ? mTimer.start(1) : mTimer.stop();
  Pump();
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
    connect(it, &QTcpSocket::readyRead, this, [this] { Pump(); });
    connect(it, &QTcpSocket::connected, this, [this] { Pump(); });
    connect(it, &QTcpSocket::disconnected, this, [this] { Pump(); });
    connect(it, &QTcpSocket::errorOccurred, this, [this] { Pump(); });
    it->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  }
  target->connectToHost(mHost, mPort);
}

void
FaultLink::Reset(Connection& aConnection)
{
  if (aConnection.mIsClosing) {
    return;
  }
  aConnection.mIsClosing = true;
  for (auto* it : { aConnection.mClient, aConnection.mTarget }) {
    it->disconnect(this);
    it->flush();
    it->abort();
    it->deleteLater();
  }
}

void
FaultLink::Pump()
{
  for (auto& it : mConnections) {
    if (it.mIsClosing) {
      continue;
    }
    const auto isOpen = [](QTcpSocket* aSocket) {
      return aSocket->state() != QAbstractSocket::UnconnectedState;
    };
    const bool goesOn = it.mUp.Pump(mUp, mClock.elapsed()) &&
                        it.mDown.Pump(mDown, mClock.elapsed());
    // A peer that closed is only noticed while bytes flow in its direction.
    const bool hidesClose =
      mUp.mMode == FaultMode::Drop || mDown.mMode == FaultMode::Drop ||
      mUp.mMode == FaultMode::Freeze || mDown.mMode == FaultMode::Freeze;
    const bool isClosed = !isOpen(it.mClient) || !isOpen(it.mTarget);
    if (!goesOn || (isClosed && !hidesClose)) {
      Reset(it);
    }
  }
  mConnections.remove_if([](const auto& it) { return it.mIsClosing; });
}

}
