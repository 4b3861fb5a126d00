#include "Commands.h"

#include <QCoreApplication>
#include <docopt.h>

namespace {

using namespace papayaline;

constexpr const char kUsage[] =
  R"(Manages papayaline: checks and applies operator files, shows the state of
instances, drains them and changes primaries.

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
  check       Check an operator file without network access.
  diff        Show what applying a file would change.
  apply       Store a file as a whole or not at all.
  status      Show the version in force and the groups of each instance.
  drain       Let an instance finish its requests in flight and exit.
  switchover  Change the primary of a group without failed writes.
  timeline    Show the events of all instances in causal order.

Options:
  --platform=ADDRESS  Platform's object API [default: 127.0.0.1:9000].
  --wait              Wait until the version is in force on all live instances.
  --timeout=SECONDS   Time limit of --wait [default: 30].
  --since=SECONDS     Age of the oldest events to show [default: 60].
  --group=GROUP       Only events of this group.
  --format=FORMAT     "text", "json" or "trace" (Trace Event) [default: text].
  --json              Print JSON.

Exit codes:
  0 done   1 wrong usage   2 refused, nothing changed   3 conflict, nothing
  changed   4 outcome unknown   5 unreachable   6 stored, not in force yet
)";

OutputFormat
ParseOutputFormat(const std::string& aName)
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
      has("--wait") ? ApplyMode::WaitUntilInForce : ApplyMode::ReturnWhenStored;
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
  return RunTimeline(client,
                     seconds("--since"),
                     text("--group"),
                     ParseOutputFormat(text("--format")));
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
