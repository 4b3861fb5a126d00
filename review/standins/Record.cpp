#include "Record.h"

#include <QElapsedTimer>
#include <QFile>

namespace review {

qint64
NowMs()
{
  static const auto sTimer = [] {
    QElapsedTimer timer;
    timer.start();
    return timer;
  }();
  return sTimer.elapsed();
}

void
Record(const QByteArray& aText)
{
  static QFile sFile("record.txt");
  if (!sFile.isOpen()) {
    sFile.open(QIODevice::WriteOnly | QIODevice::Truncate);
  }
  sFile.write(QByteArray::number(NowMs()).rightJustified(7) + " " + aText +
              "\n");
  sFile.flush();
}

bool
IsCalm()
{
  return qgetenv("TROUBLE") == "0";
}

}
