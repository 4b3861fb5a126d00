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

constexpr int kStoreTries = 5;
constexpr int kRetryMs = 500;
constexpr int kPollMs = 100;

Result<Configuration>
LoadOperatorFile(const std::string& aFile)
{
  const auto text = PL_TRY(ReadFile(aFile));
  return ParseOperatorFile(text, aFile);
}

/// The configuration that is stored now; an empty one before the first.
Result<Configuration>
LoadPresent(OperatorClient& aClient, const std::string& aName)
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

/// The live instances that do not have a version in force yet.
std::vector<std::string>
Behind(OperatorClient& aClient,
       const std::vector<InstanceInfo>& aInstances,
       int64_t aVersion)
{
  std::vector<std::string> behind;
  for (const auto& it : aInstances) {
    const auto status = aClient.GetFrom(it, "/v1/status");
    const bool isInForce =
      !status.IsError() && status.Value()["version"].toInteger() >= aVersion;
    if (!it.mIsLeaving && !isInForce) {
      behind.push_back(it.mName);
    }
  }
  return behind;
}

/// Two changes of a group's databases in a row are safe only once the first is
/// in force everywhere: otherwise majorities of the first and the third set may
/// miss each other.
Result<Done>
CheckSettled(OperatorClient& aClient,
             const Configuration& aPresent,
             const Configuration& aNext)
{
  if (!ChangesUpstreams(aPresent, aNext)) {
    return Done{};
  }
  const auto instances = PL_TRY(aClient.Instances());
  const auto behind = Behind(aClient, instances, aPresent.mVersion);
  if (!behind.empty()) {
    return Error{ ErrorKind::BadInput,
                  "version " + std::to_string(aPresent.mVersion) +
                    " is not in force on " + behind.front() +
                    " yet; a group's databases can't change before" };
  }
  return Done{};
}

Error
ConflictWith(const Configuration& aOther)
{
  return { ErrorKind::Conflict,
           "conflict: apply " + aOther.mApplyId + " stored version " +
             std::to_string(aOther.mVersion) +
             " in the meantime; nothing was changed" };
}

/// Stores aNext over aVersion; resolves lost answers by the apply id.
Result<int64_t>
Store(OperatorClient& aClient, const Configuration& aNext, int64_t aVersion)
{
  bool isKnown = false;
  for (int it = 0; it < kStoreTries; ++it) {
    const auto stored = aClient.PutConfiguration(aNext, aVersion);
    if (!stored.IsError()) {
      return stored.Value().mVersion;
    }
    const auto present = LoadPresent(aClient, aNext.mName);
    isKnown = !present.IsError();
    if (isKnown && present.Value().mApplyId == aNext.mApplyId) {
      return present.Value().mVersion;
    }
    if (isKnown && present.Value().mVersion != aVersion) {
      return ConflictWith(present.Value());
    }
    QThread::msleep(kRetryMs);
  }
  return Error{ ErrorKind::OutcomeUnknown,
                "the platform gave no answer; apply " + aNext.mApplyId +
                  " may have taken effect" };
}

ExitCode
WaitUntilInForce(OperatorClient& aClient,
                 int64_t aVersion,
                 std::chrono::seconds aTimeout)
{
  QElapsedTimer timer;
  timer.start();
  const auto instances = aClient.Instances();
  if (instances.IsError()) {
    return ReportError(instances.GetError());
  }
  qint64 reportedSecond = 0;
  for (;;) {
    const auto behind = Behind(aClient, instances.Value(), aVersion);
    if (behind.empty()) {
      return ExitCode::Done;
    }
    if (timer.elapsed() >= std::chrono::milliseconds(aTimeout).count()) {
      std::fprintf(stderr,
                   "papayaline: not in force on %zu instances, first %s\n",
                   behind.size(),
                   behind.front().c_str());
      return ExitCode::NotInForceYet;
    }
    if (timer.elapsed() / 1000 > reportedSecond) {
      reportedSecond = timer.elapsed() / 1000;
      std::fprintf(stderr,
                   "waiting for %zu of %zu instances\n",
                   behind.size(),
                   instances.Value().size());
    }
    QThread::msleep(kPollMs);
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
  const auto present = LoadPresent(aClient, next.Value().mName);
  if (present.IsError()) {
    return ReportError(present.GetError());
  }
  const auto lines = DescribeDifference(present.Value(), next.Value());
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
  const auto present = LoadPresent(aClient, next.mName);
  if (present.IsError()) {
    return ReportError(present.GetError());
  }
  for (const auto& check : { CheckTransition(present.Value(), next),
                             CheckSettled(aClient, present.Value(), next) }) {
    if (check.IsError()) {
      return ReportError(check.GetError());
    }
  }
  const auto lines = DescribeDifference(present.Value(), next);
  if (aFormat == OutputFormat::Text) {
    PrintDifference(lines);
  }
  const auto version = Store(aClient, next, present.Value().mVersion);
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
  return aMode == ApplyMode::Return
           ? ExitCode::Done
           : WaitUntilInForce(aClient, version.Value(), aTimeout);
}

}
