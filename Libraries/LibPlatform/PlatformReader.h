#pragma once

#include "LibPlatform/ObjectStore.h"
#include "LibRelay/RelayRouter.h"

namespace papayaline {

/// Names and parses the objects in the platform's store that the configuration
/// and the database directory are kept in. Thread safety: any thread.
class PlatformReader
{
public:
  virtual ~PlatformReader() = default;

  virtual QString ConfigurationKind() const = 0;
  virtual QString ConfigurationName() const = 0;
  virtual QString DirectoryKind() const = 0;
  /// Errors: BadInput when a field is missing or has the wrong type.
  virtual Result<RelayConfiguration> ReadConfiguration(
    const QJsonValue& aDocument) const = 0;
  /// Errors: BadInput when the object does not describe a usable database.
  virtual Result<DirectoryEntry> ReadDirectoryEntry(
    const StoredObject& aObject) const = 0;
};

}
