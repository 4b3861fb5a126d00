#pragma once

#include "LibPlatform/PlatformReader.h"
#include "LibRelay/DirectoryView.h"
#include "ObjectWatcher.h"

namespace papayaline {

/// Keeps the router's configuration and directory as the platform's store has
/// them. Thread safety: the thread of its event loop.
class DirectoryController
{
public:
  DirectoryController(RelayRouter& aRouter,
                      ObjectStore& aStore,
                      const PlatformReader& aReader);

  void Start();
  void Tick();

  /// Whether a configuration and a directory are held.
  bool IsComplete() const { return mHasDirectory && mRouter.IsConfigured(); }
  /// Where a listed database is; nothing when it is not listed.
  std::optional<Address> AddressOf(const std::string& aUpstream) const;

private:
  void TakeConfiguration(const StoredObject& aObject);
  void TakeEntry(const StoredObject& aObject);
  void Publish();

  RelayRouter& mRouter;
  const PlatformReader& mReader;
  ObjectWatcher mConfigurationWatcher;
  ObjectWatcher mDirectoryWatcher;
  DirectoryView mView;
  std::vector<DirectoryEntry> mEntries;
  bool mHasDirectory = false;
};

}
