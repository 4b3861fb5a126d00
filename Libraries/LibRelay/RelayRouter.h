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
  /// Makes what runs the statements of sessions on a group.
  using RunnerFactory = std::function<std::shared_ptr<StatementRunner>(
    const std::shared_ptr<RelayGroup>&)>;

  explicit RelayRouter(RelayEnvironment aEnvironment);

  /// Without one, sessions use the groups of this instance. Precondition: no
  /// configuration has been offered.
  void SetRunnerFactory(RunnerFactory aFactory)
  {
    mMakeRunner = std::move(aFactory);
  }

  /// Refuses a version that is not higher than the present one.
  bool OfferConfiguration(const RelayConfiguration& aConfiguration);
  void SetDirectory(const std::vector<DirectoryEntry>& aEntries);

  bool IsConfigured() const { return mConfiguration.has_value(); }
  const RelayConfiguration* Configuration() const
  {
    return mConfiguration ? &*mConfiguration : nullptr;
  }
  /// The group's databases from here. Null when no configuration names it.
  std::shared_ptr<RelayGroup> FindGroup(const std::string& aName) const;
  /// What runs the statements of sessions on a group, here or elsewhere. Null
  /// when no configuration names it.
  std::shared_ptr<StatementRunner> FindRunner(const std::string& aName) const;
  Instant Now() const { return mEnvironment.mNow(); }

  void Tick();
  template<typename Use>
  void ForEachGroup(Use aUse) const
  {
    for (const auto& [name, it] : mGroups) {
      aUse(*it.mGroup);
    }
  }

private:
  struct Served
  {
    std::shared_ptr<RelayGroup> mGroup;
    std::shared_ptr<StatementRunner> mRunner;
  };

  void ApplyMembers();

  RelayEnvironment mEnvironment;
  RunnerFactory mMakeRunner;
  std::optional<RelayConfiguration> mConfiguration;
  std::vector<DirectoryEntry> mEntries;
  std::map<std::string, Served> mGroups;
};

}
