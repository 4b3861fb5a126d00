/// Plays a planned replacement of a primary with a new database started first,
/// while one instance doesn't hear of the new database, and checks that what
/// was acknowledged is in the log of the database that is promoted.

#include "Deployment.h"

#include <QCoreApplication>
#include <QThread>
#include <QTimer>
#include <algorithm>
#include <cstdio>

using namespace review;

namespace {

constexpr int kFailed = 1;
constexpr int kCouldNotRun = 2;

/// First by name, so that it is the first of those with the same log.
constexpr char kNewDatabase[] = "i-00";
constexpr char kPartitioned[] = "edge-1";
/// The site file has machines partitioned from the store for up to 5.5 s.
constexpr int kPartitionMs = 5000;
constexpr int kNewDatabaseAfterMs = 500;
constexpr int kDrainAfterMs = 2000;
/// The site files have replicas that receive nothing for up to 6.5 s. The order
/// takes 1,000 ms.
constexpr int kDeafAfterOrderMs = 150;
constexpr int kDeafMs = 2500;
constexpr int kEndMs = 6000;

void
Wait(int aMs)
{
  QElapsedTimer clock;
  clock.start();
  while (clock.elapsed() < aMs) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
    QThread::msleep(1);
  }
}

bool
HoldsData(const Databases::Database& aDatabase, const QByteArray& aData)
{
  return std::ranges::find(aDatabase.mLog, aData, &LogEntry::mData) !=
         aDatabase.mLog.end();
}

}

int
main(int aCount, char** aArguments)
{
  QCoreApplication application(aCount, aArguments);
  if (aCount != 3) {
    std::fprintf(stderr, "usage: unlisted PROGRAM RECORD\n");
    return kCouldNotRun;
  }
  const bool isTroubled = qgetenv("TROUBLE") != "0";
  Record record(aArguments[2]);
  Deployment deployment(aArguments[1], record, 3, 0, 1);
  std::vector<std::pair<int, QByteArray>> written;
  deployment.mOnWritten = [&](int aCaller, const QByteArray& aData) {
    written.emplace_back(aCaller, aData);
  };
  std::vector<PromotionOrder> orders;
  deployment.mOnOrder = [&](const PromotionOrder& aOrder) {
    orders.push_back(aOrder);
    if (isTroubled && orders.size() == 1 && aOrder.mDatabase == kNewDatabase) {
      QTimer::singleShot(
        kDeafAfterOrderMs, Qt::PreciseTimer, &application, [&] {
          deployment.Service().SetDeaf(kNewDatabase, true);
        });
      QTimer::singleShot(kDeafAfterOrderMs + kDeafMs, &application, [&] {
        deployment.Service().SetDeaf(kNewDatabase, false);
      });
    }
  };
  for (int n = 0; n < 150 && !deployment.AreAllReady(); ++n) {
    Wait(100);
  }
  if (!deployment.AreAllReady()) {
    record("the instances did not become ready");
    return kCouldNotRun;
  }
  deployment.StartCallers();
  Wait(2500);
  if (isTroubled && qgetenv("TROUBLE") != "deaf") {
    deployment.SetPartitioned(kPartitioned, true);
    QTimer::singleShot(kPartitionMs, &application, [&] {
      deployment.SetPartitioned(kPartitioned, false);
    });
  }
  Wait(kNewDatabaseAfterMs);
  deployment.Service().Add(kNewDatabase);
  deployment.PublishDatabases();
  Wait(kDrainAfterMs - kNewDatabaseAfterMs);
  deployment.SetDraining("i-0a");
  Wait(kEndMs);
  deployment.StopCallers();
  Wait(1500);
  deployment.WriteSummary();
  if (orders.empty() || deployment.HasExited()) {
    record("the case could not run as planned");
    return kCouldNotRun;
  }
  const auto& primary = deployment.Service().Primary();
  size_t lost = 0;
  for (const auto& [caller, data] : written) {
    if (!HoldsData(primary, data)) {
      ++lost;
      record(
        QString("BROKEN: the write of %1 by caller %2 was acknowledged and "
                "is not in the log of %3")
          .arg(QString(data))
          .arg(caller)
          .arg(primary.mName));
    }
  }
  record(QString("%1 writes acknowledged, %2 of them lost; %3 leads")
           .arg(written.size())
           .arg(lost)
           .arg(primary.mName));
  return lost > 0 ? kFailed : 0;
}
