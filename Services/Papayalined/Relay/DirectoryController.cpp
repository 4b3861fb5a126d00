#include "DirectoryController.h"

#include <algorithm>

namespace papayaline {

DirectoryController::DirectoryController(RelayRouter& aRouter,
                                         ObjectStore& aStore,
                                         const PlatformReader& aReader)
  : mRouter(aRouter)
  , mReader(aReader)
  , mConfigurationWatcher(
      aStore,
      aReader.ConfigurationKind(),
      { [this](const std::vector<StoredObject>& aObjects) {
         std::ranges::for_each(
           aObjects, [this](const auto& it) { TakeConfiguration(it); });
       },
        [this](const StoredObject& aObject) { TakeConfiguration(aObject); } })
  , mDirectoryWatcher(aStore,
                      aReader.DirectoryKind(),
                      { [this](const std::vector<StoredObject>& aObjects) {
                         std::vector<std::string> names;
                         for (const auto& it : aObjects) {
                           names.push_back(it.mName.toStdString());
                           TakeEntry(it);
                         }
                         mView.Retain(names, mRouter.Now());
                         mHasDirectory |= !aObjects.empty();
                         Publish();
                       },
                        [this](const StoredObject& aObject) {
                          TakeEntry(aObject);
                          mHasDirectory = true;
                          Publish();
                        } })
{
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
  if (mView.HasVanished()) {
    Publish();
  }
}

std::optional<Address>
DirectoryController::AddressOf(const std::string& aUpstream) const
{
  const auto it = std::ranges::find_if(mEntries, [&](const auto& aEntry) {
    return aEntry.mMember.mName == aUpstream;
  });
  return it != mEntries.end() ? std::optional(it->mAddress) : std::nullopt;
}

void
DirectoryController::TakeConfiguration(const StoredObject& aObject)
{
  if (aObject.mIsDeleted || aObject.mName != mReader.ConfigurationName()) {
    return;
  }
  const auto read = mReader.ReadConfiguration(aObject.mContent);
  if (read.IsError()) {
    StructuredLog::Instance().Write(
      LogPriority::Decision,
      "configuration.unreadable",
      { { "revision", std::to_string(aObject.mRevision) },
        { "error", read.GetError().mMessage } });
    return;
  }
  const bool isTaken = mRouter.OfferConfiguration(read.Value());
  StructuredLog::Instance().Write(
    LogPriority::Decision,
    isTaken ? "configuration.applied" : "configuration.kept",
    { { "version", std::to_string(read.Value().mVersion) },
      { "revision", std::to_string(aObject.mRevision) } });
}

void
DirectoryController::TakeEntry(const StoredObject& aObject)
{
  const auto name = aObject.mName.toStdString();
  if (aObject.mIsDeleted) {
    mView.Remove(name, mRouter.Now());
    return;
  }
  const auto read = mReader.ReadDirectoryEntry(aObject);
  if (read.IsError()) {
    mView.Remove(name, mRouter.Now());
    StructuredLog::Instance().Write(
      LogPriority::Decision,
      "directory.unreadable",
      { { "upstream", name }, { "error", read.GetError().mMessage } });
    return;
  }
  mView.Set(read.Value());
}

void
DirectoryController::Publish()
{
  auto entries = mView.Entries(mRouter.Now());
  if (entries != mEntries) {
    mEntries = std::move(entries);
    mRouter.SetDirectory(mEntries);
  }
}

}
