#include "Balancer.h"
#include "Deployment.h"
#include "Record.h"

#include <QCoreApplication>
#include <csignal>

using namespace review;

namespace {

/// As in jingshui-tpe.toml: 40 ms of work for a history lookup, 116 requests a
/// second in the zone tpe-a with its three machines.
constexpr int kWorkMs = 40;
constexpr int kOperationsPerSecond = 116;
/// Two of five machines are stopped, 1.3 s apart (roll_term).
constexpr int kStopGapMs = 1'300;
/// Sessions with transactions that pause for less than txIdleMs, 3,000.
constexpr int kTransactions = 12;
constexpr int kTransactionPauseMs = 2'700;
constexpr int kGraceMs = 6'000;
/// A request that was sent no later than this after the SIGTERM may be cut
/// while its database is still at work.
constexpr int kExcusedMs = 3'000;
constexpr int kLossSlackMs = 200;

struct Operation
{
  Answer mAnswer;
  Instance* mNode = nullptr;
};

std::vector<Operation> sOperations;
bool sIsOver = false;

/// A session that serves a single operation.
void
RunOperation(Balancer& aBalancer, QObject& aOwner)
{
  auto* node = &aBalancer.Choose();
  const auto caller = std::make_shared<Caller>(node->mCallerPort, "d-orders");
  auto* poll = new QTimer(&aOwner);
  const auto hasSent = std::make_shared<bool>(false);
  const auto hasEnded = std::make_shared<bool>(false);
  QObject::connect(poll, &QTimer::timeout, poll, [=] {
    if (*hasEnded || (caller->IsClosed() && !*hasSent)) {
      poll->stop();
      poll->deleteLater();
      return;
    }
    if (!*hasSent && caller->IsFree()) {
      *hasSent = true;
      caller->Query("READ seed1", [=](const Answer& aAnswer) {
        *hasEnded = true;
        sOperations.push_back({ aAnswer, node });
      });
    }
  });
  poll->start(1);
}

/// Transactions whose statements lie apart, one after the other.
void
RunTransaction(Caller& aCaller)
{
  if (sIsOver || !aCaller.IsFree()) {
    return;
  }
  aCaller.Query("READ seed2", [&aCaller](const Answer& aAnswer) {
    if (!aAnswer.IsSuccess()) {
      // The operation has failed; the client ends the transaction and leaves.
      QTimer::singleShot(0, &aCaller, [&aCaller] {
        if (aCaller.IsFree()) {
          aCaller.Query("ROLLBACK",
                        [&aCaller](const Answer&) { aCaller.Close(); });
        }
      });
      return;
    }
    QTimer::singleShot(
      kTransactionPauseMs, &aCaller, [&aCaller] { RunTransaction(aCaller); });
  });
}

/// Counts the requests that an instance read and did not answer, as the rule
/// says.
int
CountLost(const DatabaseGroup& aGroup,
          const std::map<Instance*, qint64>& aStopped)
{
  int lost = 0;
  for (const auto& it : sOperations) {
    const auto& answer = it.mAnswer;
    const auto stop = aStopped.find(it.mNode);
    if (!answer.mLines.isEmpty() || stop == aStopped.end()) {
      continue;
    }
    const auto sentAfter = answer.mSentMs - stop->second;
    const auto endedAfter = answer.mAnsweredMs - stop->second;
    const auto held = answer.mAnsweredMs - answer.mSentMs;
    const bool wasPassedOn = aGroup.mArrived.contains(answer.mId);
    const bool isLost = sentAfter > kExcusedMs &&
                        endedAfter <= kGraceMs + 1'000 &&
                        (wasPassedOn || held > kLossSlackMs);
    Record("no answer: " + answer.mId + " at " + it.mNode->mSettings.mName +
           ", sent " + QByteArray::number(sentAfter) +
           " ms after its SIGTERM, connection ended " +
           QByteArray::number(held) + " ms later" +
           (wasPassedOn ? ", passed on to a database" : "") +
           (isLost ? ": LOST" : ""));
    lost += isLost ? 1 : 0;
  }
  return lost;
}

}

/// Two machines of a zone are stopped in turn while clients come and go.
int
main(int aCount, char** aArguments)
{
  QCoreApplication application(aCount, aArguments);
  Deployment deployment;
  auto& group = deployment.AddGroup("orders", 20, 1'000);
  group.mWorkMs = kWorkMs;
  group.Add("i-a1", "zone-a");
  group.Add("i-b1", "zone-b");
  group.Add("i-c1", "zone-c");
  deployment.Configure("bounded_staleness", 2'000);
  auto& first = deployment.AddInstance("edge-a1", "zone-a");
  auto& second = deployment.AddInstance("edge-a2", "zone-a");
  auto& third = deployment.AddInstance("edge-a3", "zone-a");
  deployment.AddInstance("edge-b1", "zone-b");
  deployment.AddInstance("edge-c1", "zone-c");
  if (!deployment.Start()) {
    return 2;
  }
  Balancer balancer({ &first, &second, &third });
  QObject owner;
  QTimer traffic;
  QObject::connect(&traffic, &QTimer::timeout, &traffic, [&] {
    RunOperation(balancer, owner);
  });
  traffic.setTimerType(Qt::PreciseTimer);
  traffic.start(1'000 / kOperationsPerSecond);
  std::vector<std::unique_ptr<Caller>> resting;
  for (int n = 0; n < kTransactions; ++n) {
    auto* node = n % 2 == 0 ? &first : &second;
    resting.push_back(std::make_unique<Caller>(node->mCallerPort, "d-orders"));
    auto* caller = resting.back().get();
    Await(1'000, [&] { return caller->IsFree(); });
    if (caller->IsFree()) {
      caller->Query("BEGIN READ", [caller](const Answer&) {
        QTimer::singleShot(0, caller, [caller] { RunTransaction(*caller); });
      });
    }
    Wait(kTransactionPauseMs / kTransactions);
  }
  Wait(2'000);
  std::map<Instance*, qint64> stopped;
  for (auto* it : { &first, &second }) {
    if (!IsCalm()) {
      Record("SIGTERM to " + it->mSettings.mName);
      it->SendSignal(SIGTERM);
    }
    stopped[it] = NowMs();
    Wait(kStopGapMs);
  }
  Wait(kGraceMs + 2'000);
  traffic.stop();
  sIsOver = true;
  Wait(2'500);
  const int lost = CountLost(group, stopped);
  Record(QByteArray::number(quint64(sOperations.size())) + " operations, " +
         QByteArray::number(lost) + " lost");
  Record(lost > 0 ? "BROKEN: LOST" : "held");
  return lost > 0 ? 1 : 0;
}
