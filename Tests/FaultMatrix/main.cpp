#include "Cell.h"

#include <QCoreApplication>
#include <cstdio>
#include <docopt.h>

namespace {

using namespace papayaline;

constexpr const char kUsage[] =
  R"(Runs cells of the fault matrix: every fault at every step.

Usage:
  fault-matrix --cell=STEP/FAULT [--seed=N] [--logs=DIR]
  fault-matrix --list

Options:
  --cell=STEP/FAULT  The cell to run.
  --seed=N           Seed of the callers' choices [default: 1].
  --logs=DIR         Directory for the logs of the processes.
  --list             Print the names of all cells.
)";

void
PrintNames()
{
  for (const auto& step : StepNames()) {
    for (const auto& fault : FaultNames()) {
      std::printf("%s/%s\n", step.c_str(), fault.c_str());
    }
  }
}

}

int
main(int argc, char* argv[])
{
  QCoreApplication application(argc, argv);
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
  if (arguments["--list"].asBool()) {
    PrintNames();
    return 0;
  }
  const auto cell = arguments["--cell"].asString();
  const auto slash = cell.find('/');
  const auto logs = arguments["--logs"]
                      ? QString::fromStdString(arguments["--logs"].asString())
                      : QString();
  const auto result =
    RunCell(cell.substr(0, slash),
            slash == std::string::npos ? "" : cell.substr(slash + 1),
            static_cast<uint64_t>(arguments["--seed"].asLong()),
            logs);
  std::printf("%s %s: acknowledged %d, not run %d, unknown %d, longest gap "
              "%lld ms\n",
              result.mViolations.empty() ? "pass" : "FAIL",
              cell.c_str(),
              result.mAcknowledged,
              result.mNotRun,
              result.mUnknown,
              static_cast<long long>(result.mLongestGapUs / 1000));
  size_t shown = 0;
  for (const auto& it : result.mViolations) {
    if (++shown <= 10) {
      std::printf("  %s\n", it.c_str());
    }
  }
  return result.mViolations.empty() ? 0 : 1;
}
