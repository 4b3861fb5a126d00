#pragma once

#include "LibPeer/ObjectWatcher.h"
#include "LibPlatform/PlatformDocumentParser.h"
#include "LibRelay/DirectoryView.h"

#include <QObject>

namespace papayaline {

/// Watches the configuration and the directory of databases in the platform's
/// store and passes changes to the router. Thread safety: the thread of its
/// event loop.
class DirectoryController
{
public:
  DirectoryController(RelayRouter& aRouter,
                      ObjectStore& aStore,
                      const PlatformDocumentParser& aReader);

  void Start();
  /// Drops removed databases whose removal delay has passed.
  void Tick();

  /// Whether both a configuration and a directory have been received.
  bool IsLoaded() const { return mHasDirectory && mRouter.IsConfigured(); }
  /// Tells the router that the store confirmed, at or after an instant, the
  /// configuration that was read last. No effect while that one is unreadable.
  void ConfirmConfiguration(Instant aConfirmedAt);
  /// The address of a database; nothing when the directory does not list it.
  std::optional<Address> FindAddress(const std::string& aUpstream) const;

private:
  ObjectWatcher::Environment MakeWatcherEnvironment();
  void ApplyConfiguration(const StoredObject& aObject);
  static void LogProblems(const RelayConfiguration& aConfiguration);
  void ApplyEntry(const StoredObject& aObject);
  void PublishDirectory();

  RelayRouter& mRouter;
  const PlatformDocumentParser& mReader;
  /// Its destruction cancels the timers of the watchers.
  QObject mTimerContext;
  ObjectWatcher mConfigurationWatcher;
  ObjectWatcher mDirectoryWatcher;
  DirectoryView mView;
  std::vector<DirectoryEntry> mEntries;
  bool mHasDirectory = false;
  bool mIsConfigurationReadable = false;
};

}
