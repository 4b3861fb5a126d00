#pragma once

#include "LibPlatform/ObjectStore.h"
#include "LibRelay/RelayRouter.h"

namespace papayaline {

/// Names and parses the objects in the platform's store that the configuration
/// and the database directory are kept in. Thread safety: any thread.
class PlatformDocumentParser
{
public:
  virtual ~PlatformDocumentParser() = default;

  virtual QString ConfigurationKind() const = 0;
  virtual QString ConfigurationName() const = 0;
  virtual QString DirectoryKind() const = 0;
  /// Errors: BadInput when a field is missing or has the wrong type.
  virtual Result<RelayConfiguration> ParseConfiguration(
    const QJsonValue& aDocument) const = 0;
  /// Errors: BadInput when the object does not describe a usable database.
  virtual Result<DirectoryEntry> ParseDirectoryEntry(
    const StoredObject& aObject) const = 0;
};

}
