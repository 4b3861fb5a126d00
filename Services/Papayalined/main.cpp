#include "AdminServer.h"
#include "CallerListener.h"
#include "DrainController.h"
#include "FailoverController.h"
#include "LibConfiguration/YamlMap.h"
#include "LibCore/EventRing.h"
#include "Log.h"
#include "Relay/RelayMain.h"

#include <QCoreApplication>
#include <cstdio>
#include <docopt.h>

namespace {

using namespace papayaline;

constexpr const char kUsage[] =
  R"(Runs one instance of papayaline, a database proxy with session consistency.

Usage:
  papayalined --settings=FILE [--check] [--log-format=FORMAT]
  papayalined (-h | --help)
  papayalined --version

Options:
  --settings=FILE       YAML file with the settings of this instance.
  --check               Check the settings and exit: 0 when they are valid.
  --log-format=FORMAT   "text" or "json" [default: text].
  -h --help             Show this text.
  --version             Show the version.

SIGTERM drains the instance: it finishes every request in flight, closes
callers' connections at a request boundary, and exits with 0.
)";

constexpr int kExitBadInput = 2;
constexpr int kExitCantListen = 3;

int
Fail(const Error& aError, int aCode)
{
  std::fprintf(stderr, "papayalined: %s\n", aError.mMessage.c_str());
  return aCode;
}

using AnySettings = std::variant<Settings, RelaySettings>;

Result<AnySettings>
LoadSettings(const std::string& aFile)
{
  const auto text = PL_TRY(ReadFile(aFile));
  if (IsRelaySettings(text)) {
    return AnySettings(PL_TRY(ParseRelaySettings(text, aFile)));
  }
  return AnySettings(PL_TRY(ParseSettings(text, aFile)));
}

int
Serve(const Settings& aSettings)
{
  const RcuReader reader;
  EventRing::Instance().SetInstanceName(
    QString::fromStdString(aSettings.mInstance));
  auto tls = LoadTlsConfiguration(aSettings);
  if (tls.IsError()) {
    return Fail(tls.GetError(), kExitBadInput);
  }
  ControlState controlState(aSettings);
  WorkerPool workers(controlState, aSettings.mWorkers);
  PlatformClient platform(aSettings.mPlatform.ToString());
  PeerClient peers;
  ConfigurationDistributor distributor(controlState, platform, peers);
  FailoverController failover(controlState, workers, platform, peers);
  CallerContext context{ controlState, workers, tls.Take() };
  CallerListener listener(context);
  DrainController drain(controlState, distributor, workers, listener);
  AdminServer admin(
    controlState, distributor, failover, platform, [&drain] { drain.Drain(); });

  const auto watched = drain.WatchSignals();
  if (watched.IsError()) {
    return Fail(watched.GetError(), kExitCantListen);
  }
  const auto adminListens = admin.Listen(aSettings.mHttpAddress);
  if (adminListens.IsError()) {
    return Fail(adminListens.GetError(), kExitCantListen);
  }
  const auto callersListen = listener.Listen(aSettings.mCallerAddress);
  if (callersListen.IsError()) {
    return Fail(callersListen.GetError(), kExitCantListen);
  }
  LoggerFor("main")->info("instance {} accepts callers on {}",
                          aSettings.mInstance,
                          aSettings.mCallerAddress.ToString());
  distributor.Start();
  return QCoreApplication::exec();
}

}

int
main(int argc, char* argv[])
{
  // Qt's own event dispatcher has less overhead per event than GLib's.
  qputenv("QT_NO_GLIB", "1");
  QCoreApplication application(argc, argv);
  auto arguments =
    docopt::docopt(kUsage, { argv + 1, argv + argc }, true, "papayalined 0.1");
  SetLogFormat(arguments["--log-format"].asString() == "json"
                 ? LogFormat::Json
                 : LogFormat::Text);
  const auto settings = LoadSettings(arguments["--settings"].asString());
  if (settings.IsError()) {
    return Fail(settings.GetError(), kExitBadInput);
  }
  if (arguments["--check"].asBool()) {
    std::printf("settings are valid\n");
    return 0;
  }
  if (const auto* relay = std::get_if<RelaySettings>(&settings.Value())) {
    return ServeRelay(*relay);
  }
  return Serve(std::get<Settings>(settings.Value()));
}
