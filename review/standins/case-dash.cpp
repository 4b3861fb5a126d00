#include "Deployment.h"
#include "Record.h"

#include <QCoreApplication>

using namespace review;

namespace {

constexpr int kReaders = 4;
constexpr int kWritePauseMs = 15;
constexpr int kReadPauseMs = 4;
constexpr int kSetPauseMs = 630;
/// As in jingshui-tpe.toml: replicas 20 ms behind.
constexpr int kLagMs = 20;
/// The site file has x = 150 for 7 s on all replicas of a service.
constexpr int kLagFactor = 85;
constexpr int kLaggingMs = 7'000;
constexpr int kMaxStalenessMs = 1'500;

std::vector<Answer> sWrites;
std::vector<Answer> sReads;
std::vector<Answer> sOthers;
bool sIsOver = false;

/// Sends one statement after the other until the end.
void
Loop(Caller& aCaller,
     const QByteArray& aText,
     int aPauseMs,
     std::vector<Answer>& aAnswers)
{
  if (sIsOver || !aCaller.IsFree()) {
    return;
  }
  aCaller.Query(aText, [=, &aCaller, &aAnswers](const Answer& aAnswer) {
    Record("client " + aAnswer.mId + " sent at " +
           QByteArray::number(aAnswer.mSentMs) + " " + aAnswer.mText + ": " +
           aAnswer.mLines);
    aAnswers.push_back(aAnswer);
    QTimer::singleShot(aPauseMs, &aCaller, [=, &aCaller, &aAnswers] {
      Loop(aCaller, aText, aPauseMs, aAnswers);
    });
  });
}

/// A session that changes a value and then writes, again and again.
void
SetAndWrite(Caller& aCaller, int aCount)
{
  if (sIsOver || !aCaller.IsFree()) {
    return;
  }
  const auto value = QByteArray::number(aCount);
  aCaller.Query("SET tone " + value, [&aCaller, aCount](const Answer&) {
    aCaller.Query("WRITE other data", [&aCaller, aCount](const Answer& aIt) {
      Record("client " + aIt.mId + " sent at " +
             QByteArray::number(aIt.mSentMs) + " " + aIt.mText + ": " +
             aIt.mLines);
      sWrites.push_back(aIt);
      QTimer::singleShot(kSetPauseMs, &aCaller, [&aCaller, aCount] {
        SetAndWrite(aCaller, aCount + 1);
      });
    });
  });
}

/// Counts the reads on a log that lacked a commit which had been acknowledged
/// more than the allowed staleness before the read was sent.
int
CountStaleReads(DatabaseGroup& aGroup)
{
  std::map<QByteArray, size_t> numbers;
  const auto& log = aGroup.Leader()->mLog;
  for (size_t n = 0; n < log.size(); ++n) {
    numbers[log[n].mId] = n + 1;
  }
  std::map<QByteArray, Run> runs;
  for (const auto& it : aGroup.mRuns) {
    runs[it.mId] = it;
  }
  int stale = 0;
  for (const auto& read : sReads) {
    const auto run = runs.find(read.mId);
    if (!read.IsSuccess() || run == runs.end()) {
      continue;
    }
    for (const auto& write : sWrites) {
      const auto number = numbers.find(write.mId);
      if (write.IsSuccess() &&
          write.mAnsweredMs + kMaxStalenessMs < read.mSentMs &&
          number != numbers.end() && number->second > run->second.mApplied) {
        ++stale;
        Record("STALE read " + read.mId + ", sent at " +
               QByteArray::number(read.mSentMs) + ", ran at " +
               run->second.mDatabase + " on a log of " +
               QByteArray::number(quint64(run->second.mApplied)) +
               " entries; commit " + write.mId + " has number " +
               QByteArray::number(quint64(number->second)) +
               " and was acknowledged at " +
               QByteArray::number(write.mAnsweredMs));
        break;
      }
    }
  }
  return stale;
}

}

/// All replicas of a service fall behind while a session sets values.
int
main(int aCount, char** aArguments)
{
  QCoreApplication application(aCount, aArguments);
  Deployment deployment;
  auto& group = deployment.AddGroup("orders", kLagMs, 1'000);
  group.mIsTerse = true;
  group.Add("i-a1", "zone-a");
  group.Add("i-b1", "zone-b");
  group.Add("i-c1", "zone-c");
  deployment.Configure("bounded_staleness", 1'000);
  auto& writing = deployment.AddInstance("edge-a", "zone-a");
  auto& reading = deployment.AddInstance("edge-c", "zone-c");
  if (!deployment.Start()) {
    return 2;
  }
  std::vector<std::unique_ptr<Caller>> callers;
  callers.push_back(std::make_unique<Caller>(writing.mCallerPort, "d-orders"));
  for (int n = 0; n <= kReaders; ++n) {
    callers.push_back(
      std::make_unique<Caller>(reading.mCallerPort, "d-orders"));
  }
  Await(2'000, [&] {
    return std::ranges::all_of(callers,
                               [](const auto& it) { return it->IsFree(); });
  });
  Loop(*callers[0], "WRITE item data", kWritePauseMs, sWrites);
  SetAndWrite(*callers[1], 1);
  for (size_t n = 2; n < callers.size(); ++n) {
    Loop(*callers[n], "READ item", kReadPauseMs, sReads);
  }
  Wait(4'000);
  if (!IsCalm()) {
    Record("the replicas fall behind");
    group.mLagMs = kLagMs * kLagFactor;
  }
  Wait(kLaggingMs);
  group.mLagMs = kLagMs;
  Record("the replicas are as before");
  Wait(2'000);
  sIsOver = true;
  Wait(1'500);
  const int stale = CountStaleReads(group);
  Record(QByteArray::number(quint64(sWrites.size())) + " writes, " +
         QByteArray::number(quint64(sReads.size())) + " reads, " +
         QByteArray::number(stale) + " of them too stale");
  Record(stale > 0 ? "BROKEN: STALE" : "held");
  return stale > 0 ? 1 : 0;
}
