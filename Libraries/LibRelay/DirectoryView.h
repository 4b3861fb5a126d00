#pragma once

#include "LibDecision/Instant.h"
#include "LibRelay/RelayRouter.h"

#include <map>

namespace papayaline {

/// The databases that the directory lists. A removed entry stays in use for
/// kRemovalDelay, because a directory that recovers from an outage lists its
/// entries again only gradually. Thread safety: one thread.
class DirectoryView
{
public:
  /// Longer than the 2 s within which a running database is listed again.
  static constexpr Duration kRemovalDelay = std::chrono::milliseconds(2500);

  /// Adds or replaces an entry, and cancels its pending removal. An earlier
  /// report of the same incarnation, which a restored store may list, replaces
  /// nothing: a database that is leaving must not be used again. An entry
  /// without a usable description, which another writer may have made, has to
  /// be passed to Remove instead.
  void Set(const DirectoryEntry& aEntry);
  void Remove(const std::string& aName, Instant aNow);
  /// Removes all entries whose names are not in aNames.
  void Retain(const std::vector<std::string>& aNames, Instant aNow);

  /// Whether removed entries are still in use.
  bool HasPendingRemovals() const;
  /// Returns the entries in use, after dropping those that were removed at
  /// least kRemovalDelay ago.
  std::vector<DirectoryEntry> Entries(Instant aNow);

private:
  struct TrackedEntry
  {
    DirectoryEntry mEntry;
    std::optional<Instant> mRemovedAt;
  };

  std::map<std::string, TrackedEntry> mEntries;
};

}
