#include "DatabaseServer.h"

#include <QCoreApplication>
#include <cstdio>
#include <docopt.h>

namespace {

constexpr const char kUsage[] =
  R"(Stand-in for one database of a replicated group.

Usage:
  standin-database --name=NAME [options]

Options:
  --name=NAME           Name that the status function reports.
  --port=N              Port to listen on; 0 picks a free one [default: 0].
  --slots=N             Statements that run at once [default: 3].
  --connections=N       Connection limit [default: 20].
  --connect-ms=N        Time to open a connection [default: 10].
  --statement-ms=N      Time that a statement occupies a slot [default: 0].
  --lag-ms=N            Replication lag [default: 0].
  --journal=FILE        File that persists the log across restarts [default: ].
)";

}

int
main(int argc, char* argv[])
{
  QCoreApplication application(argc, argv);
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
  papayaline::DatabaseOptions options;
  options.mName = arguments["--name"].asString();
  options.mSlots = static_cast<unsigned>(arguments["--slots"].asLong());
  options.mMaxConnections =
    static_cast<unsigned>(arguments["--connections"].asLong());
  options.mConnectMs = static_cast<int>(arguments["--connect-ms"].asLong());
  options.mStatementMs = static_cast<int>(arguments["--statement-ms"].asLong());
  options.mLagMs = static_cast<int>(arguments["--lag-ms"].asLong());
  options.mJournalFile =
    QString::fromStdString(arguments["--journal"].asString());
  papayaline::DatabaseServer server(options);
  const auto port = static_cast<quint16>(arguments["--port"].asLong());
  if (!server.listen(QHostAddress::LocalHost, port)) {
    std::fprintf(stderr, "can't listen on port %d\n", port);
    return 1;
  }
  std::printf("listening on %d\n", server.serverPort());
  std::fflush(stdout);
  return QCoreApplication::exec();
}
