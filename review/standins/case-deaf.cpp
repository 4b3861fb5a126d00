#include "Deployment.h"
#include "Record.h"

#include <QCoreApplication>
#include <QDateTime>

using namespace review;

namespace {

constexpr int kReadingInstances = 6;
constexpr int kReadersPerInstance = 2;
constexpr int kWritePauseMs = 15;
constexpr int kReadPauseMs = 4;
/// As in sandline-grown.toml: replicas 150 ms behind, 600 ms a promote.
constexpr int kLagMs = 150;
constexpr int kPromoteMs = 600;
/// The longest time for which a site file lets a replica receive nothing.
constexpr int kDeafMs = 6'500;

std::vector<Answer> sWrites;
std::vector<Answer> sReads;
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

/// Counts the reads on a log that lacked a commit which had been acknowledged
/// before the read was sent.
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
    if (!read.IsSuccess()) {
      continue;
    }
    const auto run = runs.find(read.mId);
    if (run == runs.end()) {
      continue;
    }
    for (const auto& write : sWrites) {
      const auto number = numbers.find(write.mId);
      if (write.IsSuccess() && write.mAnsweredMs < read.mSentMs &&
          number != numbers.end() && number->second > run->second.mApplied) {
        ++stale;
        Record("STALE read " + read.mId + ", sent at " +
               QByteArray::number(read.mSentMs) + ", ran at " +
               run->second.mDatabase + " on a log of " +
               QByteArray::number(quint64(run->second.mApplied)) +
               " entries, answer: " + read.mLines + "; commit " + write.mId +
               " has number " + QByteArray::number(quint64(number->second)) +
               " and was acknowledged at " +
               QByteArray::number(write.mAnsweredMs));
        break;
      }
    }
  }
  return stale;
}

}

/// A primary is replaced as planned while one replica receives nothing.
int
main(int aCount, char** aArguments)
{
  QCoreApplication application(aCount, aArguments);
  Deployment deployment;
  auto& group = deployment.AddGroup("orders", kLagMs, kPromoteMs);
  auto& primary = group.Add("i-a1", "zone-a");
  group.Add("i-b1", "zone-b");
  auto& replica = group.Add("i-c1", "zone-c");
  deployment.Configure("primary", 1'000);
  auto& writing = deployment.AddInstance("edge-a1", "zone-a");
  std::vector<Instance*> reading;
  for (int n = 1; n <= kReadingInstances; ++n) {
    reading.push_back(
      &deployment.AddInstance("edge-c" + QByteArray::number(n), "zone-c"));
  }
  if (!deployment.Start()) {
    return 2;
  }
  std::vector<std::unique_ptr<Caller>> callers;
  callers.push_back(std::make_unique<Caller>(writing.mCallerPort, "d-orders"));
  for (const auto* it : reading) {
    for (int n = 0; n < kReadersPerInstance; ++n) {
      callers.push_back(std::make_unique<Caller>(it->mCallerPort, "d-orders"));
    }
  }
  Await(2'000, [&] {
    return std::ranges::all_of(callers,
                               [](const auto& it) { return it->IsFree(); });
  });
  for (size_t n = 0; n < callers.size(); ++n) {
    if (n == 0) {
      Loop(*callers[n], "WRITE item data", kWritePauseMs, sWrites);
    } else {
      Loop(*callers[n], "READ item", kReadPauseMs, sReads);
    }
  }
  Wait(1'000);
  if (!IsCalm()) {
    Record("replica i-c1 receives nothing from now");
    replica.mIsDeaf = true;
    QTimer::singleShot(kDeafMs, &replica, [&] {
      Record("replica i-c1 receives again");
      replica.mIsDeaf = false;
    });
  }
  Wait(500);
  // The release: the new database starts first, then the old one drains.
  auto& added = group.Add("i-a2", "zone-a");
  deployment.Register(added);
  Record("new database i-a2");
  Wait(1'000);
  Record("primary i-a1 is draining");
  primary.mIsLeaving = true;
  deployment.Register(primary);
  Wait(6'000);
  sIsOver = true;
  Wait(1'500);
  const int stale = CountStaleReads(group);
  size_t served = 0;
  for (const auto& it : sReads) {
    served += it.IsSuccess() ? 1 : 0;
  }
  Record(QByteArray::number(quint64(sWrites.size())) + " writes, " +
         QByteArray::number(quint64(served)) + " reads served, " +
         QByteArray::number(stale) + " of them stale");
  Record(stale > 0 ? "BROKEN: STALE" : "held");
  return stale > 0 ? 1 : 0;
}
