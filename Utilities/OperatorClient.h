#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibPlatform/PlatformClient.h"

namespace papayaline {

/// The exit codes of the operator's command.
enum class ExitCode
{
  Done = 0,
  BadUsage = 1,
  Refused = 2,
  Conflict = 3,
  OutcomeUnknown = 4,
  Unreachable = 5,
  NotInForceYet = 6,
};

enum class OutputFormat
{
  Text,
  Json,
  Trace,
};

/// Blocking calls to the platform and to instances' HTTP ports.
/// Thread safety: the main thread.
class OperatorClient
{
public:
  explicit OperatorClient(const std::string& aPlatform);

  /// Errors: NotFound, Unreachable.
  Result<PlatformObject> GetConfiguration(const std::string& aName);
  /// Errors: Conflict, Unreachable.
  Result<PlatformObject> PutConfiguration(const Configuration& aConfiguration,
                                          int64_t aVersion);
  /// Errors: Unreachable.
  Result<std::vector<InstanceInfo>> Instances();

  /// Errors: Unreachable, or Conflict with the instance's own text.
  Result<QJsonObject> GetFrom(const InstanceInfo& aInstance,
                              const QString& aPath);
  Result<QJsonObject> PostTo(const InstanceInfo& aInstance,
                             const QString& aPath);

private:
  Result<QJsonObject> Await(QNetworkReply* aReply);

  PlatformClient mPlatform;
  QNetworkAccessManager mNetwork;
};

/// Prints an error and returns the exit code that belongs to it.
ExitCode
ReportError(const Error& aError);

/// Whether standard output is a terminal, so that colours and progress may be
/// shown.
bool
IsTerminal();

}
