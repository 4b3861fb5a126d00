#include "Cluster.h"

#include <QCoreApplication>
#include <cstdio>
#include <docopt.h>

namespace {

using namespace papayaline;

constexpr const char kUsage[] =
  R"(Runs the whole system on stand-ins and makes a booking.

Usage:
  papayaline-demo [--once] [--logs=DIR]

Options:
  --once       Exit after the booking instead of waiting for Enter.
  --logs=DIR   Write each process's log to this directory.
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
    return Fail("booking failed:", created.mMessage + booked.mMessage);
  }
  std::printf("booked through entry-1: %s, token %s\n",
              booked.mTag.c_str(),
              writer.Token().c_str());
  auto byToken = aCluster.Connect(
    4, "bookings", "-c papayaline.session_token=" + writer.Token());
  auto byClass = aCluster.Connect(7);
  const auto first = byToken.Run("SELECT household FROM visits WHERE id = 1");
  const auto second = byClass.Run("SELECT household FROM visits WHERE id = 1");
  if (first.Cell().empty() || second.Cell().empty()) {
    return Fail("reading failed:", first.mMessage + second.mMessage);
  }
  std::printf("read through entry-5 by its token: %s\n", first.Cell().c_str());
  std::printf("read through entry-8 by its class: %s\n", second.Cell().c_str());
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
