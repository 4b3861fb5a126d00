#include "OperatorClient.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkReply>
#include <cstdio>
#include <unistd.h>

namespace papayaline {

namespace {

constexpr int kTimeoutMs = 3000;
constexpr auto kKind = "configurations";

/// Runs an event loop until the handler that it passes on was called.
template<typename T, typename Start>
Result<T>
Await(Start aStart)
{
  QEventLoop loop;
  Result<T> answer(Error{ ErrorKind::Unreachable, "no answer" });
  aStart([&](const Result<T>& aAnswer) {
    answer = aAnswer;
    loop.quit();
  });
  loop.exec();
  return answer;
}

}

OperatorClient::OperatorClient(const std::string& aPlatform)
  : mPlatform(aPlatform)
{
}

Result<PlatformObject>
OperatorClient::GetConfiguration(const std::string& aName)
{
  return papayaline::Await<PlatformObject>([&](auto aHandler) {
    mPlatform.Get(kKind, QString::fromStdString(aName), aHandler);
  });
}

Result<PlatformObject>
OperatorClient::PutConfiguration(const Configuration& aConfiguration,
                                 int64_t aVersion)
{
  return papayaline::Await<PlatformObject>([&](auto aHandler) {
    mPlatform.Put(kKind,
                  QString::fromStdString(aConfiguration.mName),
                  aVersion,
                  aConfiguration.ToJson(),
                  aHandler);
  });
}

Result<std::vector<InstanceInfo>>
OperatorClient::Instances()
{
  return papayaline::Await<std::vector<InstanceInfo>>(
    [&](auto aHandler) { mPlatform.ListInstances(aHandler); });
}

Result<QJsonObject>
OperatorClient::Await(QNetworkReply* aReply)
{
  QEventLoop loop;
  QObject::connect(aReply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
  loop.exec();
  aReply->deleteLater();
  const auto json = QJsonDocument::fromJson(aReply->readAll()).object();
  if (json.contains("error")) {
    return Error{ ErrorKind::Conflict, json["error"].toString().toStdString() };
  }
  if (aReply->error() != QNetworkReply::NoError) {
    return Error{ ErrorKind::Unreachable, aReply->errorString().toStdString() };
  }
  return json;
}

Result<QJsonObject>
OperatorClient::GetFrom(const InstanceInfo& aInstance, const QString& aPath)
{
  QNetworkRequest request{ QUrl(
    "http://" + QString::fromStdString(aInstance.mAddress) + aPath) };
  request.setTransferTimeout(kTimeoutMs);
  return Await(mNetwork.get(request));
}

Result<QJsonObject>
OperatorClient::PostTo(const InstanceInfo& aInstance, const QString& aPath)
{
  QNetworkRequest request{ QUrl(
    "http://" + QString::fromStdString(aInstance.mAddress) + aPath) };
  request.setTransferTimeout(kTimeoutMs);
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  return Await(mNetwork.post(request, QByteArray("{}")));
}

ExitCode
ReportError(const Error& aError)
{
  std::fprintf(stderr, "papayaline: %s\n", aError.mMessage.c_str());
  switch (aError.mKind) {
    case ErrorKind::Conflict:
      return ExitCode::Conflict;
    case ErrorKind::Unreachable:
      return ExitCode::Unreachable;
    case ErrorKind::OutcomeUnknown:
      return ExitCode::OutcomeUnknown;
    default:
      return ExitCode::Refused;
  }
}

bool
IsTerminal()
{
  return isatty(STDOUT_FILENO) != 0;
}

}
