#include "Deployment.h"
#include "Record.h"

#include <QCoreApplication>
#include <QFile>
#include <csignal>

using namespace review;

namespace {

/// More instances than a database has connections, so that statements go
/// through the homes of the group. Two of them are a share of 0.11.
constexpr int kInstancesPerZone = 8;
constexpr int kRounds = 4;
/// All at most 3.5 s, the longest freeze in the site file.
constexpr int kStatementAfterMs = 60;
constexpr int kSecondFreezeMs = 100;
constexpr int kFrozenMs = 1'500;
constexpr int kLongerMs = 100;
constexpr int kPauseMs = 6'000;

/// Whether the instance's log says that it is not home to the group.
bool
IsOnStandby(const Instance& aInstance)
{
  QFile file("log-" + aInstance.mSettings.mName + ".txt");
  file.open(QIODevice::ReadOnly);
  const auto text = file.readAll();
  return text.lastIndexOf("group.standby") > text.lastIndexOf("group.home");
}

int
CountCommits(const DatabaseGroup& aGroup, const QByteArray& aId)
{
  int n = 0;
  for (const auto& it : aGroup.mDatabases) {
    if (it->mIsPrimary) {
      n += static_cast<int>(std::ranges::count(it->mLog, aId, &LogEntry::mId));
    }
  }
  return n;
}

}

/// Two instances freeze and wake again while one opens its first connection to
/// the other.
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
  for (int n = 1; n <= kInstancesPerZone; ++n) {
    for (const char* it : { "a", "b", "c" }) {
      deployment.AddInstance(QByteArray("edge-") + it + QByteArray::number(n),
                             QByteArray("zone-") + it);
    }
  }
  if (!deployment.Start()) {
    return 2;
  }
  Wait(8'000);
  Instance* home = nullptr;
  std::vector<Instance*> others;
  for (const auto& it : deployment.mInstances) {
    if (IsOnStandby(*it)) {
      if (it->mSettings.mZone != "zone-a") {
        others.push_back(it.get());
      }
    } else {
      Record("home: " + it->mSettings.mName);
      home = it->mSettings.mZone == "zone-a" ? it.get() : home;
    }
  }
  if (!home || others.size() < kRounds) {
    Record("no home in the primary's zone, or too few other instances");
    return 2;
  }
  int twice = 0;
  for (int round = 0; round < kRounds && twice == 0; ++round) {
    auto& entry = *others[round];
    Caller caller(entry.mCallerPort, "d-orders");
    if (!Await(2'000, [&] { return caller.IsFree(); })) {
      return 2;
    }
    if (!IsCalm()) {
      Record(home->mSettings.mName + " freezes");
      home->SendSignal(SIGSTOP);
    }
    Wait(kStatementAfterMs);
    const auto id = caller.Query("WRITE item data", [](const Answer& aAnswer) {
      Record("client " + aAnswer.mId + " " + aAnswer.mText + " after " +
             QByteArray::number(aAnswer.mAnsweredMs - aAnswer.mSentMs) +
             " ms: " + aAnswer.mLines);
    });
    Record("client sends WRITE " + id + " to " + entry.mSettings.mName);
    Wait(kSecondFreezeMs);
    if (!IsCalm()) {
      Record(entry.mSettings.mName + " freezes");
      entry.SendSignal(SIGSTOP);
    }
    Wait(kFrozenMs);
    entry.SendSignal(SIGCONT);
    Record(entry.mSettings.mName + " wakes");
    Wait(kLongerMs);
    home->SendSignal(SIGCONT);
    Record(home->mSettings.mName + " wakes");
    Wait(kPauseMs);
    const auto commits = CountCommits(group, id);
    for (const auto& it : group.mRuns) {
      if (it.mId == id) {
        Record("database " + it.mDatabase + " ran " + id + " at " +
               QByteArray::number(it.mAtMs) + ": " + it.mText);
      }
    }
    Record(id + " was committed " + QByteArray::number(commits) + " times");
    twice += commits > 1 ? 1 : 0;
  }
  Record(twice > 0 ? "BROKEN: TWICE" : "held");
  return twice > 0 ? 1 : 0;
}
