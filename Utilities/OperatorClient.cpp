#include "OperatorClient.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkReply>
#include <cstdio>
#include <unistd.h>

namespace papayaline {

namespace {

constexpr int kRequestTimeoutMs = 3000;
constexpr auto kConfigurationKind = "configurations";

/// Calls aStart with a completion handler and runs an event loop until the
/// handler gets the result.
template<typename T, typename Start>
Result<T>
WaitForAnswer(Start aStart)
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
  return papayaline::WaitForAnswer<PlatformObject>([&](auto aHandler) {
    mPlatform.Get(kConfigurationKind, QString::fromStdString(aName), aHandler);
  });
}

Result<PlatformObject>
OperatorClient::PutConfiguration(const Configuration& aConfiguration,
                                 int64_t aVersion)
{
  return papayaline::WaitForAnswer<PlatformObject>([&](auto aHandler) {
    mPlatform.Put(kConfigurationKind,
                  QString::fromStdString(aConfiguration.mName),
                  aVersion,
                  aConfiguration.ToJson(),
                  aHandler);
  });
}

Result<std::vector<InstanceInfo>>
OperatorClient::ListInstances()
{
  return papayaline::WaitForAnswer<std::vector<InstanceInfo>>(
    [&](auto aHandler) { mPlatform.ListInstances(aHandler); });
}

Result<QJsonObject>
OperatorClient::WaitForReply(QNetworkReply* aReply)
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
  request.setTransferTimeout(kRequestTimeoutMs);
  return WaitForReply(mNetwork.get(request));
}

Result<QJsonObject>
OperatorClient::PostTo(const InstanceInfo& aInstance, const QString& aPath)
{
  QNetworkRequest request{ QUrl(
    "http://" + QString::fromStdString(aInstance.mAddress) + aPath) };
  request.setTransferTimeout(kRequestTimeoutMs);
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  return WaitForReply(mNetwork.post(request, QByteArray("{}")));
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
