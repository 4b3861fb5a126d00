/// Plays a planned release of the primaries of one service, in which the
/// instance that holds the promotion duty is partitioned from the platform, and
/// checks the fencing tokens of the orders in the sequence of their arrival.

#include "Deployment.h"

#include <QCoreApplication>
#include <QThread>
#include <QTimer>
#include <cstdio>

using namespace review;

namespace {

constexpr int kFailed = 1;
constexpr int kCouldNotRun = 2;

/// The holder is partitioned this long after its first order, while the
/// platform still carries the order out (1,000 ms).
constexpr int kPartitionAfterMs = 500;
/// The site files have machines cut off for up to 12 s.
constexpr int kPartitionMs = 11500;
/// Between the replacements of two databases of the release.
constexpr int kReleaseGapMs = 2000;
constexpr int kEndMs = 19000;

/// Waits in the event loop until a condition holds.
bool
WaitFor(const std::function<bool()>& aCondition, int aMs)
{
  QElapsedTimer clock;
  clock.start();
  while (!aCondition()) {
    if (clock.elapsed() >= aMs) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 20);
    QThread::msleep(1);
  }
  return true;
}

}

int
main(int aCount, char** aArguments)
{
  QCoreApplication application(aCount, aArguments);
  if (aCount != 3) {
    std::fprintf(stderr, "usage: late-order PROGRAM RECORD\n");
    return kCouldNotRun;
  }
  const bool isTroubled = qgetenv("TROUBLE") != "0";
  Record record(aArguments[2]);
  Deployment deployment(aArguments[1], record);
  std::vector<PromotionOrder> orders;
  bool isBroken = false;
  deployment.mOnOrder = [&](const PromotionOrder& aOrder) {
    for (const auto& it : orders) {
      const bool isOther = it.mHolder != aOrder.mHolder;
      if (isOther && it.mToken >= aOrder.mToken) {
        isBroken = true;
        record(QString("BROKEN: %1 sends token %2 after the platform has seen "
                       "token %3 from %4")
                 .arg(aOrder.mHolder)
                 .arg(aOrder.mToken)
                 .arg(it.mToken)
                 .arg(it.mHolder));
        break;
      }
    }
    orders.push_back(aOrder);
  };
  if (!WaitFor([&] { return deployment.AreAllReady(); }, 15000)) {
    record("the instances did not become ready");
    return kCouldNotRun;
  }
  record("all instances are ready");
  deployment.StartCallers();
  WaitFor([] { return false; }, 3000);

  deployment.SetDraining("i-0a");
  if (!WaitFor([&] { return !orders.empty(); }, 10000)) {
    record("no order arrived");
    return kCouldNotRun;
  }
  const auto holder = orders.front().mHolder;
  const auto successor = orders.front().mDatabase;
  WaitFor([] { return false; }, kPartitionAfterMs);
  if (isTroubled) {
    deployment.SetPartitioned(holder, true);
    QTimer::singleShot(kPartitionMs, Qt::PreciseTimer, &application, [&] {
      deployment.SetPartitioned(holder, false);
    });
  }
  WaitFor([] { return false; }, kReleaseGapMs - kPartitionAfterMs);
  deployment.SetDraining(successor);
  WaitFor([] { return false; }, kEndMs - kReleaseGapMs);
  deployment.StopCallers();
  WaitFor([] { return false; }, 1500);
  deployment.WriteSummary();
  const bool hasOthers = std::ranges::any_of(
    orders, [&](const auto& it) { return it.mHolder != holder; });
  if (deployment.HasExited() || orders.size() < 2 ||
      (isTroubled && !hasOthers)) {
    record("the case could not run as planned");
    return isBroken ? kFailed : kCouldNotRun;
  }
  record(isBroken ? "the rule was broken" : "the rule held");
  return isBroken ? kFailed : 0;
}
