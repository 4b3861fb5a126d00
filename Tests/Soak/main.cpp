#include "FaultSchedule.h"
#include "SoakCaller.h"

#include <QCoreApplication>
#include <QDir>
#include <cstdio>
#include <docopt.h>
#include <fstream>
#include <ranges>
#include <sstream>

namespace {

using namespace papayaline;

constexpr const char kUsage[] =
  R"(Runs instances as processes under random faults and checks the invariants
from what callers and databases observe.

Every fourth seed runs planned work only, during which no request may be cut off.

Usage:
  soak [options]

Options:
  --seeds=FROM-TO    Seeds to run [default: 1-3].
  --seed-file=FILE   File with seeds to run first, one per line.
  --seconds=N        Seconds under faults for each seed [default: 15].
  --instances=N      Number of instances [default: 3].
  --callers=N        Number of callers [default: 12].
  --sync-replicas=N  Replicas required to confirm a write [default: 0].
  --accounts=N       Client accounts of the callers; 0 for none [default: 0].
  --logs=DIR         Directory for the logs of the processes.
)";

constexpr int kStartMs = 20'000;
/// Time after the last fault within which every caller must have an
/// acknowledged write. Far above the platform's bound for recovery, so that the
/// test also passes on a loaded machine.
constexpr int kRecoveryMs = 40'000;

struct Options
{
  int mSeconds = 15;
  int mInstances = 3;
  int mCallers = 12;
  int mSyncReplicas = 0;
  int mAccounts = 0;
  QString mLogs;
};

template<typename Condition>
bool
Await(int aLimitMs, Condition aCondition)
{
  QElapsedTimer timer;
  timer.start();
  while (!aCondition()) {
    if (timer.elapsed() > aLimitMs) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 20);
  }
  return true;
}

/// Checks that the log contains every acknowledged write exactly once and no
/// write that was reported as not run.
void
CheckLog(const std::vector<std::string>& aLog, SoakHistory& aHistory)
{
  std::map<std::string, int> counts;
  for (const auto& it : aLog) {
    ++counts[it];
  }
  for (const auto& [value, outcome] : aHistory.mWrites) {
    const auto found = counts.find(value);
    const auto n = found != counts.end() ? found->second : 0;
    const auto add = [&](const char* aWhat) {
      aHistory.mViolations.push_back("write " + value + " " + aWhat);
    };
    if (n > 1) {
      add("took effect twice");
    }
    if (outcome == ReportedOutcome::Acknowledged && n == 0) {
      add("was acknowledged and is lost");
    }
    if (outcome == ReportedOutcome::NotRun && n > 0) {
      add("was reported as not run but took effect");
    }
  }
}

bool
RunSeed(uint64_t aSeed, const Options& aOptions)
{
  constexpr uint64_t kPlannedEvery = 4;
  const auto mix =
    aSeed % kPlannedEvery == 0 ? FaultMix::Planned : FaultMix::Everything;
  SoakDeployment deployment(aOptions.mInstances,
                            aOptions.mSyncReplicas,
                            aOptions.mAccounts,
                            aOptions.mCallers,
                            aOptions.mLogs);
  SoakHistory history;
  const bool isStarted = Await(kStartMs, [&] {
    return deployment.IsReady(0) && deployment.IsReady(aOptions.mInstances - 1);
  });
  if (!isStarted) {
    history.mViolations.push_back("the instances did not start");
  }
  std::vector<std::unique_ptr<SoakCaller>> callers;
  for (int n = 0; n < aOptions.mCallers; ++n) {
    callers.push_back(std::make_unique<SoakCaller>(
      deployment, history, n, aSeed * 1000 + static_cast<uint64_t>(n)));
    callers.back()->ForbidLostRequests(mix == FaultMix::Planned);
  }
  FaultSchedule faults(deployment, aSeed, mix);
  faults.Start();
  Await(aOptions.mSeconds * 1000, [] { return false; });
  faults.Heal();
  if (!Await(kRecoveryMs, [&] { return faults.AreInstancesUp(); })) {
    history.mViolations.push_back("an instance was not started again");
  }
  const auto healedAt = callers.front()->NowMs();
  const bool isRecovered = Await(kRecoveryMs, [&] {
    return std::ranges::all_of(
      callers, [&](const auto& it) { return it->HasWrittenSince(healedAt); });
  });
  if (!isRecovered) {
    history.mViolations.push_back("a caller is not served after the faults");
  }
  const bool isConfigured = Await(kRecoveryMs, [&] {
    return std::ranges::all_of(
      std::views::iota(0, aOptions.mInstances),
      [&](int n) { return deployment.HasLatestConfiguration(n); });
  });
  if (!isConfigured) {
    history.mViolations.push_back("an instance lacks the last configuration");
  }
  if (!std::ranges::is_sorted(deployment.Store().mFencingTokens)) {
    history.mViolations.push_back("a promotion had a lower fencing token");
  }
  std::ranges::copy(deployment.Accounts().Violations(),
                    std::back_inserter(history.mViolations));
  CheckLog(deployment.Databases().Primary().mLog, history);
  const auto count = [&](ReportedOutcome aOutcome) {
    return std::ranges::count(
      history.mWrites, aOutcome, [](const auto& it) { return it.second; });
  };
  std::printf(
    "seed %llu: %zu faults, %zu writes (%td acknowledged, %td not "
    "run), %zu reads, term %llu: %s\n",
    static_cast<unsigned long long>(aSeed),
    faults.Injected().size(),
    history.mWrites.size(),
    count(ReportedOutcome::Acknowledged),
    count(ReportedOutcome::NotRun),
    history.mReads,
    static_cast<unsigned long long>(deployment.Databases().Primary().mTerm),
    history.mViolations.empty() ? "kept" : "BROKEN");
  if (!history.mViolations.empty()) {
    for (const auto& it : history.mViolations) {
      std::printf("  %s\n", it.c_str());
    }
    for (const auto& it : faults.Injected()) {
      std::printf("  fault: %s\n", it.c_str());
    }
  }
  std::fflush(stdout);
  return history.mViolations.empty();
}

std::vector<uint64_t>
ReadSeeds(const std::string& aFile)
{
  std::vector<uint64_t> seeds;
  std::ifstream stream(aFile);
  std::string line;
  while (std::getline(stream, line)) {
    std::istringstream fields(line);
    uint64_t seed = 0;
    if (fields >> seed) {
      seeds.push_back(seed);
    }
  }
  return seeds;
}

}

int
main(int argc, char* argv[])
{
  QCoreApplication application(argc, argv);
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
  Options options;
  options.mSeconds = static_cast<int>(arguments["--seconds"].asLong());
  options.mInstances = static_cast<int>(arguments["--instances"].asLong());
  options.mSyncReplicas =
    static_cast<int>(arguments["--sync-replicas"].asLong());
  options.mCallers = static_cast<int>(arguments["--callers"].asLong());
  options.mAccounts = static_cast<int>(arguments["--accounts"].asLong());
  if (arguments["--logs"]) {
    options.mLogs = QString::fromStdString(arguments["--logs"].asString());
    if (!QDir().mkpath(options.mLogs)) {
      std::fprintf(stderr, "can't create %s\n", qPrintable(options.mLogs));
      return 2;
    }
  }
  std::vector<uint64_t> seeds;
  if (arguments["--seed-file"]) {
    seeds = ReadSeeds(arguments["--seed-file"].asString());
  }
  const auto range = arguments["--seeds"].asString();
  const auto dash = range.find('-');
  const auto from = std::stoull(range.substr(0, dash));
  const auto to =
    dash == std::string::npos ? from : std::stoull(range.substr(dash + 1));
  for (auto seed = from; seed <= to; ++seed) {
    seeds.push_back(seed);
  }
  int failures = 0;
  for (const auto seed : seeds) {
    failures += RunSeed(seed, options) ? 0 : 1;
  }
  std::printf("%zu passed, %d failed\n", seeds.size() - failures, failures);
  return failures == 0 ? 0 : 1;
}
