#include "Record.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>

namespace review {

double
NowMs()
{
  static const QElapsedTimer sTimer = [] {
    QElapsedTimer timer;
    timer.start();
    return timer;
  }();
  return static_cast<double>(sTimer.nsecsElapsed()) / 1e6;
}

bool
Await(const std::function<bool()>& aCondition, double aTimeoutMs)
{
  const auto end = NowMs() + aTimeoutMs;
  while (!aCondition()) {
    if (NowMs() >= end) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return true;
}

void
Pause(double aMs)
{
  Await([] { return false; }, aMs);
}

Record::Record(const QString& aPath)
  : mFile(aPath)
{
  mFile.open(QIODevice::WriteOnly | QIODevice::Truncate);
}

void
Record::Write(const QString& aLine)
{
  const auto line =
    QString("%1 %2\n").arg(NowMs(), 9, 'f', 1).arg(aLine).toUtf8();
  mFile.write(line);
  mFile.flush();
}

}
