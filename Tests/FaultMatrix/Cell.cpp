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
constexpr int kAfterMs = 1500;
constexpr int kRecoveryMs = 15'000;
constexpr int kSlowMs = 120;

/// The processes and links of one cell, with the fault's target.
class Scene
{
public:
  Scene(Cluster& aCluster, Workload& aWorkload)
    : mCluster(aCluster)
    , mWorkload(aWorkload)
    , mPrimary(aCluster.Primary())
    , mReplica(aCluster.Replicas().front())
  {
  }

  void Write(const std::string& aFault) { Hit(mPrimary, aFault); }
  void Read(const std::string& aFault) { Hit(mReplica, aFault); }
  void Transaction(const std::string& aFault)
  {
    // Here a process that dies or stops is the instance that holds the
    // transactions; links are those to the primary.
    if (aFault == "kill" || aFault == "freeze") {
      HitInstance(0, aFault);
    } else {
      Hit(mPrimary, aFault);
    }
  }
  void Failover(const std::string& aFault)
  {
    mCluster.Database(mPrimary).Freeze();
    QThread::msleep(350);
    if (aFault == "kill" || aFault == "freeze") {
      HitInstance(Holder(), aFault);
    } else {
      Hit(mReplica, aFault);
    }
    mCluster.Database(mPrimary).Thaw();
  }
  void Apply(const std::string& aFault);
  void Drain(const std::string& aFault);

  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  void Hit(const std::string& aDatabase, const std::string& aFault);
  void HitInstance(int aInstance, const std::string& aFault);
  void HitPlatform(const std::string& aFault);
  bool HitEnvironment(const std::string& aFault);
  int Holder() const;
  void Pause() const { QThread::msleep(kFaultMs); }
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

/// Faults that concern no single process or link.
bool
Scene::HitEnvironment(const std::string& aFault)
{
  if (aFault == "platform-outage") {
    mCluster.SetPlatformFaults({ { "outage", "hang" } });
    Pause();
    mCluster.SetPlatformFaults({});
    return true;
  }
  if (aFault == "wrong-list") {
    // The list calls live instances leaving, later it is right again.
    mCluster.ListInstances({ 0, 1 });
    Pause();
    mCluster.ListInstances();
    return true;
  }
  return false;
}

void
Scene::Hit(const std::string& aDatabase, const std::string& aFault)
{
  if (HitEnvironment(aFault)) {
    return;
  }
  if (aFault == "kill") {
    mCluster.Database(aDatabase).Kill();
    Pause();
    mCluster.RestartDatabase(aDatabase);
  } else if (aFault == "freeze") {
    mCluster.Database(aDatabase).Freeze();
    Pause();
    mCluster.Database(aDatabase).Thaw();
  } else if (aFault == "cut") {
    mCluster.SetFault(aDatabase, "cut", "cut");
    Pause();
    mCluster.SetFault(aDatabase, "none", "none");
  } else if (aFault == "drop-one-way") {
    // The replicas receive nothing while the database takes connections.
    mCluster.SetFault(aDatabase + "/replication", "none", "drop");
    Pause();
    mCluster.SetFault(aDatabase + "/replication", "none", "none");
  } else if (aFault == "slow") {
    mCluster.SetFault(aDatabase, "delay", "delay", kSlowMs);
    Pause();
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
Scene::HitInstance(int aInstance, const std::string& aFault)
{
  if (aFault == "kill") {
    mCluster.Instance(aInstance).Kill();
    Pause();
    mCluster.StartInstance(aInstance);
  } else {
    mCluster.Instance(aInstance).Freeze();
    Pause();
    mCluster.Instance(aInstance).Thaw();
  }
}

int
Scene::Holder() const
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
Scene::HitPlatform(const std::string& aFault)
{
  if (aFault == "cut") {
    mCluster.SetFault("platform", "cut", "cut");
  } else if (aFault == "drop-one-way") {
    mCluster.SetFault("platform", "none", "drop");
  } else if (aFault == "slow") {
    mCluster.SetPlatformFaults({ { "slow_ms", 2 * kSlowMs } });
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

/// Two operators apply at the same moment while the fault lasts: one at most
/// may succeed, and afterwards every instance has the same version.
void
Scene::Apply(const std::string& aFault)
{
  HitPlatform(aFault);
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
    Pause();
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
  const auto inForce = [&] {
    std::set<qint64> versions;
    for (int it = 0; it < kInstances; ++it) {
      versions.insert(mCluster.Status(it)["version"].toInteger());
    }
    return versions.size() == 1 && *versions.begin() > 1;
  };
  Expect(Cluster::WaitFor(inForce, 5000),
         "the configuration is not in force everywhere within 5 s");
}

/// An instance drains under load: none of its callers loses a request.
void
Scene::Drain(const std::string& aFault)
{
  constexpr int kDraining = 3;
  const int unknownBefore = mWorkload.Unknown();
  mCluster.Instance(kDraining).Terminate();
  Hit(mReplica, aFault);
  Expect(mCluster.Instance(kDraining).WaitForExit(20'000) == 0,
         "the draining instance did not exit with 0");
  Expect(mWorkload.Unknown() == unknownBefore,
         "a drain cut off a request in flight");
  mCluster.StartInstance(kDraining);
}

using StepMethod = void (Scene::*)(const std::string&);

const std::map<std::string, StepMethod>&
Steps()
{
  static const std::map<std::string, StepMethod> sSteps = {
    { "write", &Scene::Write },
    { "read", &Scene::Read },
    { "transaction", &Scene::Transaction },
    { "failover", &Scene::Failover },
    { "apply", &Scene::Apply },
    { "drain", &Scene::Drain },
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
  Scene scene(cluster, workload);
  (scene.*Steps().at(aStep))(aFault);
  result.mViolations = scene.Violations();
  QThread::msleep(kAfterMs);
  const int before = workload.Acknowledged();
  const bool isBack = Cluster::WaitFor(
    [&] { return workload.Acknowledged() > before + kWorkers; }, kRecoveryMs);
  if (!isBack) {
    result.mViolations.emplace_back("writes did not come back");
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
