#include "Caller.h"

#include "Record.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QHostAddress>
#include <QThread>

namespace review {

Caller::Caller(quint16 aPort, const QByteArray& aDatabase)
{
  connect(&mSocket, &QTcpSocket::connected, this, [this, aDatabase] {
    mSocket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    mSocket.write("STARTUP " + aDatabase + " client\r\n");
  });
  connect(&mSocket, &QTcpSocket::readyRead, this, [this] { Read(); });
  connect(&mSocket, &QTcpSocket::disconnected, this, [this] { End(); });
  mSocket.connectToHost(QHostAddress(QHostAddress::LocalHost), aPort);
}

Caller::~Caller()
{
  mSocket.disconnect(this);
  mSocket.abort();
}

bool
Caller::IsClosed() const
{
  return mSocket.state() == QTcpSocket::UnconnectedState;
}

QByteArray
Caller::Query(const QByteArray& aText, Handler aHandler)
{
  static quint64 sLastId = 0;
  mAnswer = { "q" + QByteArray::number(++sLastId), aText, {}, NowMs(), 0 };
  mHandler = std::move(aHandler);
  mSocket.write("QUERY " + mAnswer.mId + " " + aText + "\r\n");
  mSocket.flush();
  return mAnswer.mId;
}

void
Caller::Read()
{
  mBuffer += mSocket.readAll();
  qsizetype end = 0;
  while ((end = mBuffer.indexOf("\r\n")) >= 0) {
    const auto line = mBuffer.left(end);
    mBuffer.remove(0, end + 2);
    if (!line.startsWith("READY ")) {
      mAnswer.mLines += (mAnswer.mLines.isEmpty() ? "" : " | ") + line;
      continue;
    }
    if (!mIsOpen) {
      mIsOpen = true;
      continue;
    }
    mAnswer.mAnsweredMs = NowMs();
    const auto handler = std::exchange(mHandler, nullptr);
    if (handler) {
      handler(mAnswer);
    }
  }
}

void
Caller::End()
{
  mIsOpen = false;
  mAnswer.mLines.clear();
  mAnswer.mAnsweredMs = NowMs();
  const auto handler = std::exchange(mHandler, nullptr);
  if (handler) {
    handler(mAnswer);
  }
}

bool
Await(int aTimeoutMs, const std::function<bool()>& aCondition)
{
  QElapsedTimer timer;
  timer.start();
  while (!aCondition()) {
    if (timer.elapsed() > aTimeoutMs) {
      return false;
    }
    QCoreApplication::processEvents();
    QThread::usleep(500);
  }
  return true;
}

void
Wait(int aMs)
{
  Await(aMs, [] { return false; });
}

}
