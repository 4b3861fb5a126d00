#include "Deployment.h"
#include "Record.h"

#include <QCoreApplication>

using namespace review;

namespace {

constexpr int kRounds = 3;
constexpr int kSessionsPerInstance = 2;
constexpr int kDarkMs = 900;
constexpr int kNextStatementMs = 450;
/// Longer than stableWindowMs, 4,000, and the time of a takeover.
constexpr int kPauseMs = 9'000;
/// A process that ends by itself three times is a fault of the day.
constexpr int kEndsOfFault = 3;
/// A tenth of the machines in use, two at least.
constexpr int kMachinesOfFault = 2;

void
LogAnswer(const Answer& aAnswer)
{
  Record("client " + aAnswer.mId + " " + aAnswer.mText + " after " +
         QByteArray::number(aAnswer.mAnsweredMs - aAnswer.mSentMs) + " ms: " +
         (aAnswer.mLines.isEmpty() ? "connection ended" : aAnswer.mLines));
}

/// Opens transactions that have read once and now rest.
std::vector<std::unique_ptr<Caller>>
OpenTransactions(const Deployment& aDeployment)
{
  std::vector<std::unique_ptr<Caller>> callers;
  for (const auto& it : aDeployment.mInstances) {
    for (int n = 0; n < kSessionsPerInstance; ++n) {
      callers.push_back(std::make_unique<Caller>(it->mCallerPort, "d-orders"));
    }
  }
  Await(2'000, [&] {
    return std::ranges::all_of(callers,
                               [](const auto& it) { return it->IsFree(); });
  });
  const auto done = std::make_shared<size_t>(0);
  for (const auto& it : callers) {
    it->Query("BEGIN", [=, caller = it.get()](const Answer&) {
      caller->Query("READ seed1", [=](const Answer& aAnswer) {
        LogAnswer(aAnswer);
        ++*done;
      });
    });
  }
  Await(3'000, [&] { return *done == callers.size(); });
  return callers;
}

}

/// A primary goes silent for 0.9 s and starts again under its id, while
/// transactions are open on it.
int
main(int aCount, char** aArguments)
{
  QCoreApplication application(aCount, aArguments);
  Deployment deployment;
  auto& group = deployment.AddGroup("orders", 20, 1'000);
  group.Add("i-a1", "zone-a");
  group.Add("i-b1", "zone-b");
  group.Add("i-c1", "zone-c");
  deployment.Configure("primary", 1'000);
  for (const char* it : { "a", "b", "c" }) {
    deployment.AddInstance(QByteArray("edge-") + it, QByteArray("zone-") + it);
  }
  if (!deployment.Start()) {
    return 2;
  }
  for (int round = 1; round <= kRounds; ++round) {
    Record("round " + QByteArray::number(round));
    const auto callers = OpenTransactions(deployment);
    auto& primary = *group.Leader();
    // One read a transaction keeps statements outstanding at the primary.
    std::vector<std::unique_ptr<Caller>> readers;
    for (const auto& it : deployment.mInstances) {
      readers.push_back(std::make_unique<Caller>(it->mCallerPort, "d-orders"));
    }
    Await(2'000, [&] {
      return std::ranges::all_of(readers,
                                 [](const auto& it) { return it->IsFree(); });
    });
    if (!IsCalm()) {
      Record("primary " + primary.mName + " goes dark");
      primary.GoDark();
    }
    for (const auto& it : readers) {
      it->Query("READ seed2", LogAnswer);
    }
    Wait(kNextStatementMs);
    for (const auto& it : callers) {
      it->Query("WRITE item" + QByteArray::number(round) + " data", LogAnswer);
    }
    Wait(kDarkMs - kNextStatementMs);
    if (!IsCalm()) {
      Record("database " + primary.mName + " starts again under its id");
      primary.ReturnFromDark();
      deployment.Register(primary);
    }
    Wait(kPauseMs);
  }
  int machines = 0;
  for (const auto& it : deployment.mInstances) {
    Record(it->mSettings.mName + " ended by itself " +
           QByteArray::number(it->mOwnEnds) + " times");
    machines += it->mOwnEnds >= kEndsOfFault ? 1 : 0;
  }
  const bool isBroken = machines >= kMachinesOfFault;
  Record(isBroken ? "BROKEN: Fault" : "held");
  return isBroken ? 1 : 0;
}
