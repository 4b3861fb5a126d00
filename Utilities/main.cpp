#include "Commands.h"

#include <QCoreApplication>
#include <docopt.h>

namespace {

using namespace papayaline;

constexpr const char kUsage[] =
  R"(Operates papayaline: checks and applies files, shows state, moves work.

Usage:
  papayaline check FILE
  papayaline [--platform=ADDRESS] diff FILE [--json]
  papayaline [--platform=ADDRESS] apply FILE [--wait] [--timeout=SECONDS]
             [--json]
  papayaline [--platform=ADDRESS] status [--json]
  papayaline [--platform=ADDRESS] drain INSTANCE
  papayaline [--platform=ADDRESS] switchover GROUP
  papayaline [--platform=ADDRESS] timeline [--since=SECONDS] [--group=GROUP]
             [--format=FORMAT]
  papayaline (-h | --help)
  papayaline --version

Commands:
  check       Check an operator file without contacting anything.
  diff        Show what applying a file would change.
  apply       Store a file as a whole or not at all.
  status      Show each instance's version in force and its groups.
  drain       Let an instance finish its work and exit.
  switchover  Change the primary of a group as planned, without failed writes.
  timeline    Merge the events of all instances in causal order.

Options:
  --platform=ADDRESS  Platform's object API [default: 127.0.0.1:9000].
  --wait              Return when all live instances have the version in force.
  --timeout=SECONDS   How long --wait waits [default: 30].
  --since=SECONDS     How far back the time line goes [default: 60].
  --group=GROUP       Only events of this group.
  --format=FORMAT     "text", "json" or "trace" (Trace Event) [default: text].
  --json              Print JSON.

Exit codes:
  0 done   1 wrong usage   2 refused, nothing changed   3 conflict, nothing
  changed   4 outcome unknown   5 unreachable   6 stored, not in force yet
)";

OutputFormat
FormatOf(const std::string& aName)
{
  if (aName == "json") {
    return OutputFormat::Json;
  }
  return aName == "trace" ? OutputFormat::Trace : OutputFormat::Text;
}

ExitCode
Run(std::map<std::string, docopt::value>& aArguments)
{
  const auto text = [&](const char* aName) {
    return aArguments[aName] ? aArguments[aName].asString() : std::string();
  };
  const auto seconds = [&](const char* aName) {
    return std::chrono::seconds(aArguments[aName].asLong());
  };
  const auto has = [&](const char* aName) {
    return aArguments[aName].asBool();
  };
  const auto format = has("--json") ? OutputFormat::Json : OutputFormat::Text;
  if (has("check")) {
    return RunCheck(text("FILE"));
  }
  OperatorClient client(text("--platform"));
  if (has("diff")) {
    return RunDiff(client, text("FILE"), format);
  }
  if (has("apply")) {
    const auto mode =
      has("--wait") ? ApplyMode::WaitUntilInForce : ApplyMode::Return;
    return RunApply(client, text("FILE"), mode, seconds("--timeout"), format);
  }
  if (has("status")) {
    return RunStatus(client, format);
  }
  if (has("drain")) {
    return RunDrain(client, text("INSTANCE"));
  }
  if (has("switchover")) {
    return RunSwitchover(client, text("GROUP"));
  }
  return RunTimeline(
    client, seconds("--since"), text("--group"), FormatOf(text("--format")));
}

}

int
main(int argc, char* argv[])
{
  QCoreApplication application(argc, argv);
  auto arguments =
    docopt::docopt(kUsage, { argv + 1, argv + argc }, true, "papayaline 0.1");
  return static_cast<int>(Run(arguments));
}
