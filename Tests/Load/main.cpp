#include "Measures.h"

#include <QCoreApplication>
#include <QFile>
#include <QJsonDocument>
#include <docopt.h>

namespace {

using namespace papayaline;

constexpr const char kUsage[] =
  R"(Measures the system on stand-ins, side by side with a baseline.

Usage:
  papayaline-load share    [--profile=NAME] [--rate=N] [--sessions=N]
                           [--seconds=N] [--json=FILE]
  papayaline-load gap      [--failures=N] [--json=FILE]
  papayaline-load overhead [--seconds=N] [--json=FILE]
  papayaline-load control  [--seconds=N] [--json=FILE]
  papayaline-load keys     [--json=FILE]

Options:
  --profile=NAME   "jingshui" or "coastline" [default: jingshui].
  --rate=N         Requests per second of all sessions [default: 600].
  --sessions=N     Sessions that use several instances each [default: 24].
  --seconds=N      Seconds of each measurement [default: 8].
  --failures=N     Failures of each kind [default: 5].
  --json=FILE      Also write the results to this file.
)";

}

namespace papayaline {

ClusterOptions
ProfileOptions(const std::string& aProfile)
{
  ClusterOptions clusterOptions;
  clusterOptions.mInstances = 9;
  clusterOptions.mConnectMs = 10;
  if (aProfile == "coastline") {
    clusterOptions.mGroups = { "bookings", "entries", "plots" };
    clusterOptions.mDomains = { "perth-a", "bunbury-b", "busselton-c" };
    clusterOptions.mSlots = 2;
    clusterOptions.mConnections = 35;
    clusterOptions.mLagMs = 20;
  } else {
    clusterOptions.mGroups = { "bookings", "reminders", "visits" };
    clusterOptions.mSlots = 3;
    clusterOptions.mConnections = 20;
    clusterOptions.mLagMs = 50;
  }
  return clusterOptions;
}

}

int
main(int argc, char* argv[])
{
  QCoreApplication application(argc, argv);
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
  QJsonObject report;
  LoadOptions options;
  options.mProfile = arguments["--profile"].asString();
  options.mRate = static_cast<int>(arguments["--rate"].asLong());
  options.mSessions = static_cast<int>(arguments["--sessions"].asLong());
  options.mSeconds = static_cast<int>(arguments["--seconds"].asLong());
  options.mFailures = static_cast<int>(arguments["--failures"].asLong());
  options.mReport = &report;
  int result = 1;
  if (arguments["share"].asBool()) {
    result = MeasureShare(options);
  } else if (arguments["gap"].asBool()) {
    result = MeasureGap(options);
  } else if (arguments["overhead"].asBool()) {
    result = MeasureOverhead(options);
  } else if (arguments["keys"].asBool()) {
    result = MeasureKeys(options);
  } else {
    result = MeasureControl(options);
  }
  if (arguments["--json"]) {
    QFile file(QString::fromStdString(arguments["--json"].asString()));
    file.open(QIODevice::WriteOnly | QIODevice::Truncate);
    file.write(QJsonDocument(report).toJson());
  }
  return result;
}
