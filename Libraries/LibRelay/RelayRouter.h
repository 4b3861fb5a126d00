#pragma once

#include "LibRelay/RelayGroup.h"

namespace papayaline {

/// A database that the directory lists.
struct DirectoryEntry
{
  std::string mGroup;
  Address mAddress;
  GroupMember mMember;

  auto operator<=>(const DirectoryEntry&) const = default;
};

/// The configuration in force with the groups that serve it.
/// Thread safety: one thread.
class RelayRouter
{
public:
  explicit RelayRouter(RelayEnvironment aEnvironment);

  /// Refuses a version that is not higher than the present one.
  bool OfferConfiguration(const RelayConfiguration& aConfiguration);
  void SetDirectory(const std::vector<DirectoryEntry>& aEntries);

  bool IsConfigured() const { return mConfiguration.has_value(); }
  const RelayConfiguration* Configuration() const
  {
    return mConfiguration ? &*mConfiguration : nullptr;
  }
  /// Null when no configuration names it.
  std::shared_ptr<RelayGroup> FindGroup(const std::string& aName) const;
  Instant Now() const { return mEnvironment.mNow(); }

  void Tick();
  template<typename Use>
  void ForEachGroup(Use aUse) const
  {
    for (const auto& [name, it] : mGroups) {
      aUse(*it);
    }
  }

private:
  void ApplyMembers();

  RelayEnvironment mEnvironment;
  std::optional<RelayConfiguration> mConfiguration;
  std::vector<DirectoryEntry> mEntries;
  std::map<std::string, std::shared_ptr<RelayGroup>> mGroups;
};

}
