#include "Cluster.h"

#include <QCoreApplication>
#include <cstdio>
#include <docopt.h>

namespace {

using namespace papayaline;

constexpr const char kUsage[] =
  R"(Runs the whole system on stand-ins, writes a booking and reads it back.

Usage:
  papayaline-demo [--once] [--logs=DIR]

Options:
  --once       Exit after the booking is read instead of waiting for Enter.
  --logs=DIR   Write the log of each process to this directory.
)";

int
Fail(const char* aWhat, const std::string& aDetail = {})
{
  std::fprintf(stderr, "demo: %s %s\n", aWhat, aDetail.c_str());
  return 1;
}

int
Book(const Cluster& aCluster)
{
  auto writer = aCluster.Connect(0);
  const auto created =
    writer.Run("CREATE TABLE visits (id INTEGER PRIMARY KEY, household TEXT)");
  const auto booked =
    writer.Run("INSERT INTO visits VALUES (1, 'Lin household, cartridge')");
  if (!created.mIsOk || !booked.mIsOk) {
    return Fail("can't write the booking:", created.mMessage + booked.mMessage);
  }
  std::printf("booked through entry-1: %s, token %s\n",
              booked.mTag.c_str(),
              writer.Token().c_str());
  auto tokenReader = aCluster.Connect(
    4, "bookings", "-c papayaline.session_token=" + writer.Token());
  auto classReader = aCluster.Connect(7);
  const auto tokenResult =
    tokenReader.Run("SELECT household FROM visits WHERE id = 1");
  const auto classResult =
    classReader.Run("SELECT household FROM visits WHERE id = 1");
  if (tokenResult.Cell().empty() || classResult.Cell().empty()) {
    return Fail("can't read the booking back:",
                tokenResult.mMessage + classResult.mMessage);
  }
  std::printf("read through entry-5 with its session token: %s\n",
              tokenResult.Cell().c_str());
  std::printf("read through entry-8 under its caller class: %s\n",
              classResult.Cell().c_str());
  std::printf("connect with: psql \"host=127.0.0.1 port=%d dbname=bookings "
              "user=agents\"\n",
              aCluster.CallerPort(0));
  std::fflush(stdout);
  return 0;
}

}

int
main(int argc, char* argv[])
{
  QCoreApplication application(argc, argv);
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
  ClusterOptions options;
  options.mGroups = { "bookings", "reminders", "visits" };
  options.mInstances = 9;
  options.mLagMs = 20;
  if (arguments["--logs"]) {
    options.mLogDirectory =
      QString::fromStdString(arguments["--logs"].asString());
  }
  Cluster cluster(options);
  std::printf("starting a platform, three groups of three databases and nine "
              "instances\n");
  std::fflush(stdout);
  if (!cluster.Start()) {
    return Fail("the system did not become ready");
  }
  const int result = Book(cluster);
  if (result == 0 && !arguments["--once"].asBool()) {
    std::printf("press Enter to stop\n");
    std::fflush(stdout);
    std::getchar();
  }
  return result;
}
