#pragma once

#include "LibDecision/Instant.h"
#include "LibRelay/RelayRouter.h"

#include <map>

namespace papayaline {

/// The databases that the directory lists, over outages of the directory: an
/// entry that vanishes is kept for a while, because a directory that returns
/// lists its entries again only after a moment. Thread safety: one thread.
class DirectoryView
{
public:
  /// Above the two seconds after which a living database is listed again.
  static constexpr Duration kRemovalDelay = std::chrono::milliseconds(2500);

  /// An entry is as given. An entry without a usable description, which
  /// another writer may have made, counts as removed.
  void Set(const DirectoryEntry& aEntry);
  void Remove(const std::string& aName, Instant aNow);
  /// Removes all entries that are not in aNames.
  void Retain(const std::vector<std::string>& aNames, Instant aNow);

  /// Whether entries that vanished are still in use.
  bool HasVanished() const;
  /// The entries to use. Those removed longer ago than the delay are dropped.
  std::vector<DirectoryEntry> Entries(Instant aNow);

private:
  struct Known
  {
    DirectoryEntry mEntry;
    std::optional<Instant> mRemovedAt;
  };

  std::map<std::string, Known> mEntries;
};

}
