#include "Commands.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QUrl>
#include <algorithm>
#include <cstdio>

namespace papayaline {

namespace {

constexpr const char* kAnsiRed = "\033[31m";
constexpr const char* kAnsiReset = "\033[0m";

void
PrintGroup(const QJsonObject& aGroup)
{
  const bool isHealthy = aGroup["healthy"].toBool();
  const bool isHighlighted = IsTerminal() && !isHealthy;
  std::printf("  %s%-20s primary %-20s term %-4lld %s%s\n",
              isHighlighted ? kAnsiRed : "",
              qPrintable(aGroup["name"].toString()),
              qPrintable(aGroup["primary"].toString("-")),
              static_cast<long long>(aGroup["term"].toInteger()),
              isHealthy ? "healthy" : "NOT healthy",
              isHighlighted ? kAnsiReset : "");
}

void
PrintStatus(const InstanceInfo& aInstance, const Result<QJsonObject>& aStatus)
{
  if (aStatus.IsError()) {
    std::printf("%-16s unreachable: %s\n",
                aInstance.mName.c_str(),
                aStatus.GetError().mMessage.c_str());
    return;
  }
  const auto& status = aStatus.Value();
  std::printf("%-16s %-12s version %lld in force, %s%s\n",
              aInstance.mName.c_str(),
              aInstance.mFailureDomain.c_str(),
              static_cast<long long>(status["version"].toInteger()),
              qPrintable(status["drain"].toString()),
              status["watcher"].toBool() ? ", watches the platform" : "");
  for (const auto& it : status["groups"].toArray()) {
    PrintGroup(it.toObject());
  }
}

}

ExitCode
RunStatus(OperatorClient& aClient, OutputFormat aFormat)
{
  const auto instances = aClient.ListInstances();
  if (instances.IsError()) {
    return ReportError(instances.GetError());
  }
  auto result = ExitCode::Done;
  QJsonArray all;
  for (const auto& it : instances.Value()) {
    const auto status = aClient.GetFrom(it, "/v1/status");
    if (status.IsError()) {
      result = ExitCode::Unreachable;
    } else {
      all.append(status.Value());
    }
    if (aFormat == OutputFormat::Text) {
      PrintStatus(it, status);
    }
  }
  if (aFormat == OutputFormat::Json) {
    std::printf("%s\n", QJsonDocument(all).toJson().constData());
  }
  return result;
}

ExitCode
RunDrain(OperatorClient& aClient, const std::string& aInstance)
{
  const auto instances = aClient.ListInstances();
  if (instances.IsError()) {
    return ReportError(instances.GetError());
  }
  const auto it =
    std::ranges::find(instances.Value(), aInstance, &InstanceInfo::mName);
  if (it == instances.Value().end()) {
    return ReportError(
      { ErrorKind::NotFound, "no instance named " + aInstance });
  }
  const auto answer = aClient.PostTo(*it, "/v1/drain");
  if (answer.IsError()) {
    return ReportError(answer.GetError());
  }
  std::printf("%s is draining\n", aInstance.c_str());
  return ExitCode::Done;
}

ExitCode
RunSwitchover(OperatorClient& aClient, const std::string& aGroup)
{
  const auto instances = aClient.ListInstances();
  if (instances.IsError()) {
    return ReportError(instances.GetError());
  }
  const auto path =
    "/v1/switchover?group=" +
    QString::fromUtf8(QUrl::toPercentEncoding(QString::fromStdString(aGroup)));
  Error last{ ErrorKind::Unreachable, "the platform lists no instances" };
  for (const auto& it : instances.Value()) {
    const auto answer = aClient.PostTo(it, path);
    if (!answer.IsError()) {
      std::printf(
        "%s changes the primary of %s\n", it.mName.c_str(), aGroup.c_str());
      return ExitCode::Done;
    }
    last = answer.GetError();
  }
  return ReportError(last);
}

}
