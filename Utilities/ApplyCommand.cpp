#include "Commands.h"

#include "LibConfiguration/OperatorFile.h"
#include "LibConfiguration/YamlMap.h"

#include <QElapsedTimer>
#include <QJsonArray>
#include <QJsonDocument>
#include <QThread>
#include <QUuid>
#include <algorithm>
#include <cstdio>

namespace papayaline {

namespace {

constexpr int kMaxStoreAttempts = 5;
constexpr int kRetryDelayMs = 500;
constexpr int kPollIntervalMs = 100;

Result<Configuration>
LoadOperatorFile(const std::string& aFile)
{
  const auto text = PL_TRY(ReadFile(aFile));
  return ParseOperatorFile(text, aFile);
}

/// Returns the stored configuration, or an empty one if none is stored yet.
Result<Configuration>
LoadCurrent(OperatorClient& aClient, const std::string& aName)
{
  const auto object = aClient.GetConfiguration(aName);
  if (!object.IsError()) {
    return Configuration::FromJson(object.Value().mSpec,
                                   object.Value().mVersion);
  }
  if (object.GetError().mKind == ErrorKind::NotFound) {
    return Configuration{};
  }
  return object.GetError();
}

void
PrintDifference(const QStringList& aLines)
{
  for (const auto& it : aLines) {
    std::printf("%s\n", qPrintable(it));
  }
  if (aLines.isEmpty()) {
    std::printf("no difference\n");
  }
}

bool
ChangesUpstreams(const Configuration& aFrom, const Configuration& aTo)
{
  return std::ranges::any_of(aTo.mGroups, [&](const auto& it) {
    const auto* before = aFrom.FindGroup(it.mName);
    return before &&
           !std::ranges::is_permutation(before->mUpstreams,
                                        it.mUpstreams,
                                        {},
                                        &UpstreamConfiguration::mName,
                                        &UpstreamConfiguration::mName);
  });
}

/// Returns the instances, except leaving ones, on which the version is not in
/// force yet or whose status can't be read.
std::vector<std::string>
FindOutdatedInstances(OperatorClient& aClient,
                      const std::vector<InstanceInfo>& aInstances,
                      int64_t aVersion)
{
  std::vector<std::string> outdated;
  for (const auto& it : aInstances) {
    const auto status = aClient.GetFrom(it, "/v1/status");
    const bool isInForce =
      !status.IsError() && status.Value()["version"].toInteger() >= aVersion;
    if (!it.mIsLeaving && !isInForce) {
      outdated.push_back(it.mName);
    }
  }
  return outdated;
}

/// Rejects a change of a group's databases until the current version is in
/// force on all instances. Otherwise some instances could still use the set of
/// databases before the current one while others use the next one, and
/// majorities of these two sets may not overlap.
Result<Done>
CheckCurrentInForce(OperatorClient& aClient,
                    const Configuration& aCurrent,
                    const Configuration& aNext)
{
  if (!ChangesUpstreams(aCurrent, aNext)) {
    return Done{};
  }
  const auto instances = PL_TRY(aClient.ListInstances());
  const auto outdated =
    FindOutdatedInstances(aClient, instances, aCurrent.mVersion);
  if (!outdated.empty()) {
    return Error{ ErrorKind::BadInput,
                  "version " + std::to_string(aCurrent.mVersion) +
                    " is not in force on " + outdated.front() +
                    " yet; a group's databases can't be changed until it is" };
  }
  return Done{};
}

Error
MakeConflictError(const Configuration& aOther)
{
  return { ErrorKind::Conflict,
           "conflict: apply " + aOther.mApplyId + " stored version " +
             std::to_string(aOther.mVersion) +
             " in the meantime; nothing was changed" };
}

/// Stores aNext if the stored version is still aVersion. If an answer is lost,
/// reads back the apply ID of the stored configuration to find the outcome.
Result<int64_t>
Store(OperatorClient& aClient, const Configuration& aNext, int64_t aVersion)
{
  bool isKnown = false;
  for (int it = 0; it < kMaxStoreAttempts; ++it) {
    const auto stored = aClient.PutConfiguration(aNext, aVersion);
    if (!stored.IsError()) {
      return stored.Value().mVersion;
    }
    const auto current = LoadCurrent(aClient, aNext.mName);
    isKnown = !current.IsError();
    if (isKnown && current.Value().mApplyId == aNext.mApplyId) {
      return current.Value().mVersion;
    }
    if (isKnown && current.Value().mVersion != aVersion) {
      return MakeConflictError(current.Value());
    }
    QThread::msleep(kRetryDelayMs);
  }
  return Error{ ErrorKind::OutcomeUnknown,
                "no answer from the platform; apply " + aNext.mApplyId +
                  " may have taken effect" };
}

ExitCode
WaitUntilInForce(OperatorClient& aClient,
                 int64_t aVersion,
                 std::chrono::seconds aTimeout)
{
  QElapsedTimer timer;
  timer.start();
  const auto instances = aClient.ListInstances();
  if (instances.IsError()) {
    return ReportError(instances.GetError());
  }
  qint64 lastReportedSecond = 0;
  for (;;) {
    const auto outdated =
      FindOutdatedInstances(aClient, instances.Value(), aVersion);
    if (outdated.empty()) {
      return ExitCode::Done;
    }
    if (timer.elapsed() >= std::chrono::milliseconds(aTimeout).count()) {
      std::fprintf(
        stderr,
        "papayaline: not in force yet on %zu instances; the first is %s\n",
        outdated.size(),
        outdated.front().c_str());
      return ExitCode::NotInForceYet;
    }
    if (timer.elapsed() / 1000 > lastReportedSecond) {
      lastReportedSecond = timer.elapsed() / 1000;
      std::fprintf(stderr,
                   "waiting for %zu of %zu instances\n",
                   outdated.size(),
                   instances.Value().size());
    }
    QThread::msleep(kPollIntervalMs);
  }
}

}

ExitCode
RunCheck(const std::string& aFile)
{
  const auto configuration = LoadOperatorFile(aFile);
  if (configuration.IsError()) {
    return ReportError(configuration.GetError());
  }
  std::printf("%s is valid: %zu groups, %zu classes\n",
              aFile.c_str(),
              configuration.Value().mGroups.size(),
              configuration.Value().mClasses.size());
  return ExitCode::Done;
}

ExitCode
RunDiff(OperatorClient& aClient, const std::string& aFile, OutputFormat aFormat)
{
  const auto next = LoadOperatorFile(aFile);
  if (next.IsError()) {
    return ReportError(next.GetError());
  }
  const auto current = LoadCurrent(aClient, next.Value().mName);
  if (current.IsError()) {
    return ReportError(current.GetError());
  }
  const auto lines = DescribeDifference(current.Value(), next.Value());
  if (aFormat == OutputFormat::Json) {
    const QJsonObject json{ { "difference",
                              QJsonArray::fromStringList(lines) } };
    std::printf("%s\n", QJsonDocument(json).toJson().constData());
  } else {
    PrintDifference(lines);
  }
  return ExitCode::Done;
}

ExitCode
RunApply(OperatorClient& aClient,
         const std::string& aFile,
         ApplyMode aMode,
         std::chrono::seconds aTimeout,
         OutputFormat aFormat)
{
  auto loaded = LoadOperatorFile(aFile);
  if (loaded.IsError()) {
    return ReportError(loaded.GetError());
  }
  auto next = loaded.Take();
  next.mApplyId =
    QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
  const auto current = LoadCurrent(aClient, next.mName);
  if (current.IsError()) {
    return ReportError(current.GetError());
  }
  for (const auto& check :
       { CheckTransition(current.Value(), next),
         CheckCurrentInForce(aClient, current.Value(), next) }) {
    if (check.IsError()) {
      return ReportError(check.GetError());
    }
  }
  const auto lines = DescribeDifference(current.Value(), next);
  if (aFormat == OutputFormat::Text) {
    PrintDifference(lines);
  }
  const auto version = Store(aClient, next, current.Value().mVersion);
  if (version.IsError()) {
    return ReportError(version.GetError());
  }
  if (aFormat == OutputFormat::Json) {
    const QJsonObject json{
      { "version", static_cast<qint64>(version.Value()) },
      { "applyId", QString::fromStdString(next.mApplyId) },
      { "difference", QJsonArray::fromStringList(lines) }
    };
    std::printf("%s\n", QJsonDocument(json).toJson().constData());
  } else {
    std::printf("applied as version %lld\n",
                static_cast<long long>(version.Value()));
  }
  return aMode == ApplyMode::ReturnWhenStored
           ? ExitCode::Done
           : WaitUntilInForce(aClient, version.Value(), aTimeout);
}

}
