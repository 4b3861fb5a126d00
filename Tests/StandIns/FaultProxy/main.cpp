#include "FaultLink.h"

#include <QCoreApplication>
#include <QHttpServer>
#include <QJsonDocument>
#include <QJsonObject>
#include <cstdio>
#include <docopt.h>
#include <map>
#include <memory>

namespace {

using namespace papayaline;

constexpr const char kUsage[] =
  R"(TCP proxy that injects faults between two processes.

Usage:
  fault-proxy [options]

POST /links {"name", "host", "port"} adds a link and returns its port;
POST /faults {"name", "up": {"mode", "value"}, "down": {...}} sets faults.

Options:
  --port=N   Port of the control API; 0 picks a free one [default: 0].
)";

Fault
ParseFault(const QJsonObject& aJson)
{
  static const std::map<QString, FaultMode> sModes = {
    { "none", FaultMode::None },   { "cut", FaultMode::Cut },
    { "drop", FaultMode::Drop },   { "freeze", FaultMode::Freeze },
    { "delay", FaultMode::Delay }, { "cut_after", FaultMode::CutAfter },
  };
  const auto it = sModes.find(aJson["mode"].toString("none"));
  return { it != sModes.end() ? it->second : FaultMode::None,
           aJson["value"].toInteger() };
}

}

int
main(int argc, char* argv[])
{
  QCoreApplication application(argc, argv);
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
  std::map<QString, std::unique_ptr<FaultLink>> links;
  QHttpServer server;
  const auto bodyOf = [](const QHttpServerRequest& aRequest) {
    return QJsonDocument::fromJson(aRequest.body()).object();
  };
  server.route("/links", [&](const QHttpServerRequest& aRequest) {
    const auto body = bodyOf(aRequest);
    auto link =
      std::make_unique<FaultLink>(body["host"].toString("127.0.0.1"),
                                  static_cast<quint16>(body["port"].toInt()));
    link->listen(QHostAddress::LocalHost,
                 static_cast<quint16>(body["listen"].toInt()));
    const int port = link->serverPort();
    links[body["name"].toString()] = std::move(link);
    return QJsonObject{ { "port", port } };
  });
  server.route("/faults", [&](const QHttpServerRequest& aRequest) {
    const auto body = bodyOf(aRequest);
    const auto it = links.find(body["name"].toString());
    if (it != links.end()) {
      it->second->SetFaults(ParseFault(body["up"].toObject()),
                            ParseFault(body["down"].toObject()));
    }
    return QJsonObject{ { "ok", it != links.end() } };
  });
  const auto port =
    server.listen(QHostAddress::LocalHost,
                  static_cast<quint16>(arguments["--port"].asLong()));
  std::printf("listening on %d\n", port);
  std::fflush(stdout);
  return QCoreApplication::exec();
}
