#include "Cell.h"

#include "Checker.h"

#include <QJsonArray>
#include <QThread>
#include <algorithm>
#include <set>

namespace papayaline {

namespace {

constexpr int kInstances = 4;
constexpr int kWorkers = 6;
constexpr int kWarmUpMs = 700;
constexpr int kFaultMs = 2500;
constexpr int kSettleMs = 1500;
constexpr int kRecoveryMs = 15'000;
constexpr int kLinkDelayMs = 120;

/// Runs the steps of one cell and injects its fault into the primary or replica
/// chosen at construction, an instance or the platform.
class CellRunner
{
public:
  CellRunner(Cluster& aCluster, Workload& aWorkload)
    : mCluster(aCluster)
    , mWorkload(aWorkload)
    , mPrimary(aCluster.Primary())
    , mReplica(aCluster.Replicas().front())
  {
  }

  void Write(const std::string& aFault)
  {
    InjectIntoDatabase(mPrimary, aFault);
  }
  void Read(const std::string& aFault) { InjectIntoDatabase(mReplica, aFault); }
  void Transaction(const std::string& aFault)
  {
    // Process faults hit an instance with open transactions; other faults hit
    // the links of the primary.
    if (aFault == "kill" || aFault == "freeze") {
      InjectIntoInstance(0, aFault);
    } else {
      InjectIntoDatabase(mPrimary, aFault);
    }
  }
  void Failover(const std::string& aFault)
  {
    mCluster.Database(mPrimary).Freeze();
    QThread::msleep(350);
    if (aFault == "kill" || aFault == "freeze") {
      InjectIntoInstance(FindFirstCoordinator(), aFault);
    } else {
      InjectIntoDatabase(mReplica, aFault);
    }
    mCluster.Database(mPrimary).Thaw();
  }
  void Apply(const std::string& aFault);
  void Drain(const std::string& aFault);

  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  void InjectIntoDatabase(const std::string& aDatabase,
                          const std::string& aFault);
  void InjectIntoInstance(int aInstance, const std::string& aFault);
  void InjectIntoPlatform(const std::string& aFault);
  bool InjectIntoEnvironment(const std::string& aFault);
  int FindFirstCoordinator() const;
  void KeepFault() const { QThread::msleep(kFaultMs); }
  void Expect(bool aHolds, const std::string& aText)
  {
    if (!aHolds) {
      mViolations.push_back(aText);
    }
  }

  Cluster& mCluster;
  Workload& mWorkload;
  std::string mPrimary;
  std::string mReplica;
  std::vector<std::string> mViolations;
};

/// Injects a fault that affects no single process or link; returns false for
/// other faults.
bool
CellRunner::InjectIntoEnvironment(const std::string& aFault)
{
  if (aFault == "platform-outage") {
    mCluster.SetPlatformFaults({ { "outage", "hang" } });
    KeepFault();
    mCluster.SetPlatformFaults({});
    return true;
  }
  if (aFault == "wrong-list") {
    // Lists running instances as leaving until the list is corrected.
    mCluster.ListInstances({ 0, 1 });
    KeepFault();
    mCluster.ListInstances();
    return true;
  }
  return false;
}

void
CellRunner::InjectIntoDatabase(const std::string& aDatabase,
                               const std::string& aFault)
{
  if (InjectIntoEnvironment(aFault)) {
    return;
  }
  if (aFault == "kill") {
    mCluster.Database(aDatabase).Kill();
    KeepFault();
    mCluster.RestartDatabase(aDatabase);
  } else if (aFault == "freeze") {
    mCluster.Database(aDatabase).Freeze();
    KeepFault();
    mCluster.Database(aDatabase).Thaw();
  } else if (aFault == "cut") {
    mCluster.SetFault(aDatabase, "cut", "cut");
    KeepFault();
    mCluster.SetFault(aDatabase, "none", "none");
  } else if (aFault == "drop-one-way") {
    // The replicas receive no data while the database accepts connections.
    mCluster.SetFault(aDatabase + "/replication", "none", "drop");
    KeepFault();
    mCluster.SetFault(aDatabase + "/replication", "none", "none");
  } else if (aFault == "slow") {
    mCluster.SetFault(aDatabase, "delay", "delay", kLinkDelayMs);
    KeepFault();
    mCluster.SetFault(aDatabase, "none", "none");
  } else if (aFault == "lost-answer") {
    for (int it = 0; it < 5; ++it) {
      mCluster.SetFault(aDatabase, "none", "drop");
      QThread::msleep(kFaultMs / 10);
      mCluster.SetFault(aDatabase, "none", "none");
      QThread::msleep(kFaultMs / 10);
    }
  }
}

void
CellRunner::InjectIntoInstance(int aInstance, const std::string& aFault)
{
  if (aFault == "kill") {
    mCluster.Instance(aInstance).Kill();
    KeepFault();
    mCluster.StartInstance(aInstance);
  } else {
    mCluster.Instance(aInstance).Freeze();
    KeepFault();
    mCluster.Instance(aInstance).Thaw();
  }
}

int
CellRunner::FindFirstCoordinator() const
{
  for (int it = 0; it < kInstances; ++it) {
    for (const auto& group : mCluster.Status(it)["groups"].toArray()) {
      const auto index = group.toObject()["holderIndex"];
      if (index.isDouble() && index.toInt() == 0) {
        return it;
      }
    }
  }
  return 0;
}

void
CellRunner::InjectIntoPlatform(const std::string& aFault)
{
  if (aFault == "cut") {
    mCluster.SetFault("platform", "cut", "cut");
  } else if (aFault == "drop-one-way") {
    mCluster.SetFault("platform", "none", "drop");
  } else if (aFault == "slow") {
    mCluster.SetPlatformFaults({ { "slow_ms", 2 * kLinkDelayMs } });
  } else if (aFault == "lost-answer") {
    mCluster.SetPlatformFaults({ { "lost_answers", 1 } });
  } else if (aFault == "platform-outage") {
    mCluster.SetPlatformFaults({ { "outage", "refuse" } });
  } else if (aFault == "kill") {
    mCluster.Instance(0).Kill();
  } else if (aFault == "freeze") {
    mCluster.Instance(0).Freeze();
  } else if (aFault == "wrong-list") {
    mCluster.ListInstances({ 0 });
  }
}

/// Applies an invalid file, which must be refused, and then a valid one under
/// the fault. The valid file must succeed, at the latest on a second attempt
/// after the fault, and every instance must have the same version within 5 s.
void
CellRunner::Apply(const std::string& aFault)
{
  InjectIntoPlatform(aFault);
  const auto text = mCluster.OperatorFile();
  const auto first =
    mCluster.WriteFile("first.yaml", "queue_limit: 300\n" + text.substr(0));
  auto changed = text;
  const std::string key = "queue_limit: ";
  const auto at = changed.find(key);
  const auto end = changed.find('\n', at);
  changed.replace(at, end - at, key + "321");
  const auto file = mCluster.WriteFile("second.yaml", changed);
  const auto refused = mCluster.Operator({ "apply", first });
  Expect(refused.first == 2, "a file with a duplicate key was not refused");
  auto applied = mCluster.Operator({ "apply", file });
  if (applied.first == 4 || applied.first == 5) {
    KeepFault();
  }
  mCluster.SetPlatformFaults({});
  mCluster.SetFault("platform", "none", "none");
  mCluster.ListInstances();
  if (aFault == "freeze") {
    mCluster.Instance(0).Thaw();
  } else if (aFault == "kill") {
    mCluster.StartInstance(0);
  }
  if (applied.first != 0) {
    applied = mCluster.Operator({ "apply", file });
  }
  Expect(applied.first == 0, "apply failed: " + applied.second.toStdString());
  const auto isApplied = [&] {
    std::set<qint64> versions;
    for (int it = 0; it < kInstances; ++it) {
      versions.insert(mCluster.Status(it)["version"].toInteger());
    }
    return versions.size() == 1 && *versions.begin() > 1;
  };
  Expect(
    Cluster::WaitFor(isApplied, 5000),
    "not every instance has the same new configuration version within 5 s");
}

/// Drains an instance under load; no caller may end with an unknown outcome.
void
CellRunner::Drain(const std::string& aFault)
{
  constexpr int kDraining = 3;
  const int unknownBefore = mWorkload.Unknown();
  mCluster.Instance(kDraining).Terminate();
  InjectIntoDatabase(mReplica, aFault);
  Expect(mCluster.Instance(kDraining).WaitForExit(20'000) == 0,
         "the draining instance did not exit with 0");
  Expect(mWorkload.Unknown() == unknownBefore,
         "a drain cut off a request in flight");
  mCluster.StartInstance(kDraining);
}

using StepMethod = void (CellRunner::*)(const std::string&);

const std::map<std::string, StepMethod>&
Steps()
{
  static const std::map<std::string, StepMethod> sSteps = {
    { "write", &CellRunner::Write },
    { "read", &CellRunner::Read },
    { "transaction", &CellRunner::Transaction },
    { "failover", &CellRunner::Failover },
    { "apply", &CellRunner::Apply },
    { "drain", &CellRunner::Drain },
  };
  return sSteps;
}

}

const std::vector<std::string>&
FaultNames()
{
  static const std::vector<std::string> sNames = {
    "kill", "freeze",      "cut",        "drop-one-way",
    "slow", "lost-answer", "wrong-list", "platform-outage",
  };
  return sNames;
}

const std::vector<std::string>&
StepNames()
{
  static const std::vector<std::string> sNames = {
    "write", "read", "transaction", "failover", "apply", "drain",
  };
  return sNames;
}

CellResult
RunCell(const std::string& aStep,
        const std::string& aFault,
        uint64_t aSeed,
        const QString& aLogDirectory)
{
  CellResult result;
  ClusterOptions options;
  options.mInstances = kInstances;
  options.mLagMs = 10;
  options.mLogDirectory = aLogDirectory;
  Cluster cluster(options);
  Workload workload(cluster, kInstances, aSeed);
  if (!Steps().contains(aStep) || !cluster.Start() || !workload.Prepare()) {
    result.mViolations.emplace_back("the system did not become ready");
    return result;
  }
  workload.Start(kWorkers);
  QThread::msleep(kWarmUpMs);
  workload.ResetGap();
  CellRunner runner(cluster, workload);
  (runner.*Steps().at(aStep))(aFault);
  result.mViolations = runner.Violations();
  QThread::msleep(kSettleMs);
  const int before = workload.Acknowledged();
  const bool hasRecovered = Cluster::WaitFor(
    [&] { return workload.Acknowledged() > before + kWorkers; }, kRecoveryMs);
  if (!hasRecovered) {
    result.mViolations.emplace_back("writes did not resume after the fault");
  }
  const auto history = workload.Finish();
  const auto violations = CheckHistory(history);
  result.mViolations.insert(
    result.mViolations.end(), violations.begin(), violations.end());
  result.mAcknowledged = workload.Acknowledged();
  result.mNotRun = workload.NotRun();
  result.mUnknown = workload.Unknown();
  result.mLongestGapUs = workload.LongestGapUs();
  return result;
}

}
