#include "DirectoryController.h"

#include "../Clock.h"
#include "LibCore/StructuredLog.h"

#include <QTimer>
#include <algorithm>
#include <span>

namespace papayaline {

namespace {

/// Bounds the log entries of one configuration.
constexpr size_t kMaxLoggedProblems = 20;

}

DirectoryController::DirectoryController(RelayRouter& aRouter,
                                         ObjectStore& aStore,
                                         const PlatformDocumentParser& aReader)
  : mRouter(aRouter)
  , mReader(aReader)
  , mConfigurationWatcher(
      aStore,
      aReader.ConfigurationKind(),
      { [this](const std::vector<StoredObject>& aObjects) {
         std::ranges::for_each(
           aObjects, [this](const auto& it) { ApplyConfiguration(it); });
       },
        [this](const StoredObject& aObject) { ApplyConfiguration(aObject); } },
      MakeWatcherEnvironment())
  , mDirectoryWatcher(aStore,
                      aReader.DirectoryKind(),
                      { [this](const std::vector<StoredObject>& aObjects) {
                         std::vector<std::string> names;
                         for (const auto& it : aObjects) {
                           names.push_back(it.mName.toStdString());
                           ApplyEntry(it);
                         }
                         mView.Retain(names, mRouter.Now());
                         mHasDirectory |= !aObjects.empty();
                         PublishDirectory();
                       },
                        [this](const StoredObject& aObject) {
                          ApplyEntry(aObject);
                          mHasDirectory = true;
                          PublishDirectory();
                        } },
                      MakeWatcherEnvironment())
{
}

ObjectWatcher::Environment
DirectoryController::MakeWatcherEnvironment()
{
  return { Now,
           [this](Duration aDelay, std::function<void()> aRun) {
             const auto wait =
               std::chrono::ceil<std::chrono::milliseconds>(aDelay);
             QTimer::singleShot(wait, &mTimerContext, std::move(aRun));
           },
           [](const std::string& aEvent, const LogFields& aFields) {
             StructuredLog::Instance().Write(
               LogPriority::Decision, aEvent, aFields);
           } };
}

void
DirectoryController::Start()
{
  mConfigurationWatcher.Start();
  mDirectoryWatcher.Start();
}

void
DirectoryController::Tick()
{
  if (mView.HasPendingRemovals()) {
    PublishDirectory();
  }
}

std::optional<Address>
DirectoryController::FindAddress(const std::string& aUpstream) const
{
  const auto it = std::ranges::find_if(mEntries, [&](const auto& aEntry) {
    return aEntry.mMember.mName == aUpstream;
  });
  return it != mEntries.end() ? std::optional(it->mAddress) : std::nullopt;
}

void
DirectoryController::ApplyConfiguration(const StoredObject& aObject)
{
  if (aObject.mIsDeleted || aObject.mName != mReader.ConfigurationName()) {
    return;
  }
  const auto parsed = mReader.ParseConfiguration(aObject.mContent);
  mIsConfigurationReadable = !parsed.IsError();
  if (parsed.IsError()) {
    StructuredLog::Instance().Write(
      LogPriority::Decision,
      "configuration.unreadable",
      { { "revision", aObject.mRevision.ToString() },
        { "error", parsed.GetError().mMessage } });
    return;
  }
  const bool isApplied = mRouter.ApplyConfigurationIfNewer(parsed.Value());
  StructuredLog::Instance().Write(
    LogPriority::Decision,
    isApplied ? "configuration.applied" : "configuration.kept",
    { { "version", std::to_string(parsed.Value().mVersion) },
      { "revision", aObject.mRevision.ToString() } });
  if (isApplied) {
    LogProblems(parsed.Value());
  }
}

void
DirectoryController::ConfirmConfiguration(Instant aConfirmedAt)
{
  if (mIsConfigurationReadable) {
    mRouter.ConfirmConfiguration(aConfirmedAt);
  }
}

void
DirectoryController::LogProblems(const RelayConfiguration& aConfiguration)
{
  const auto& problems = aConfiguration.mProblems;
  const auto logged = std::min(problems.size(), kMaxLoggedProblems);
  for (const auto& it : std::span(problems).first(logged)) {
    StructuredLog::Instance().Write(
      LogPriority::Decision,
      "configuration.omitted",
      { { "version", std::to_string(aConfiguration.mVersion) },
        { "problem", it },
        { "problems", std::to_string(problems.size()) } });
  }
}

void
DirectoryController::ApplyEntry(const StoredObject& aObject)
{
  const auto name = aObject.mName.toStdString();
  if (aObject.mIsDeleted) {
    mView.Remove(name, mRouter.Now());
    return;
  }
  const auto parsed = mReader.ParseDirectoryEntry(aObject);
  if (parsed.IsError()) {
    mView.Remove(name, mRouter.Now());
    StructuredLog::Instance().Write(
      LogPriority::Decision,
      "directory.unreadable",
      { { "upstream", name }, { "error", parsed.GetError().mMessage } });
    return;
  }
  mView.Set(parsed.Value());
}

void
DirectoryController::PublishDirectory()
{
  auto entries = mView.Entries(mRouter.Now());
  if (entries != mEntries) {
    mEntries = std::move(entries);
    mRouter.SetDirectory(mEntries);
  }
}

}
