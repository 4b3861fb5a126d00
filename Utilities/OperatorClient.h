#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibPlatform/PlatformClient.h"

namespace papayaline {

/// The exit codes of the papayaline command.
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

/// Makes blocking calls to the platform and to the HTTP servers of instances.
/// Thread safety: main thread.
class OperatorClient
{
public:
  explicit OperatorClient(const std::string& aPlatform);

  /// Errors: NotFound, Unreachable.
  Result<PlatformObject> GetConfiguration(const std::string& aName);
  /// Replaces the configuration if its stored version is aVersion.
  /// Errors: Conflict, Unreachable (the change may have taken effect).
  Result<PlatformObject> PutConfiguration(const Configuration& aConfiguration,
                                          int64_t aVersion);
  /// Errors: Unreachable.
  Result<std::vector<InstanceInfo>> ListInstances();

  /// Errors: Unreachable; Conflict with the message of the instance if it
  /// rejects the request.
  Result<QJsonObject> GetFrom(const InstanceInfo& aInstance,
                              const QString& aPath);
  Result<QJsonObject> PostTo(const InstanceInfo& aInstance,
                             const QString& aPath);

private:
  Result<QJsonObject> WaitForReply(QNetworkReply* aReply);

  PlatformClient mPlatform;
  QNetworkAccessManager mNetwork;
};

/// Prints an error and returns its exit code.
ExitCode
ReportError(const Error& aError);

/// Returns whether standard output is a terminal, so that colours may be used.
bool
IsTerminal();

}
