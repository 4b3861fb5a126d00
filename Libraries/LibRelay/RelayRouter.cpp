#include "LibRelay/RelayRouter.h"

#include <algorithm>

namespace papayaline {

RelayRouter::RelayRouter(RelayEnvironment aEnvironment)
  : mEnvironment(std::move(aEnvironment))
{
}

bool
RelayRouter::OfferConfiguration(const RelayConfiguration& aConfiguration)
{
  if (mConfiguration && aConfiguration.mVersion <= mConfiguration->mVersion) {
    return false;
  }
  mConfiguration = aConfiguration;
  for (const auto& it : aConfiguration.mGroups) {
    auto& group = mGroups[it.mName];
    if (!group) {
      group = std::make_shared<RelayGroup>(mEnvironment, it);
    }
    group->Configure(it);
  }
  // A group that is no longer configured goes once its transactions ended.
  std::erase_if(mGroups, [&](const auto& it) {
    return std::ranges::find(aConfiguration.mGroups,
                             it.first,
                             &RelayGroupConfiguration::mName) ==
             aConfiguration.mGroups.end() &&
           it.second.use_count() == 1 && it.second->IsIdle();
  });
  ApplyMembers();
  return true;
}

void
RelayRouter::SetDirectory(const std::vector<DirectoryEntry>& aEntries)
{
  mEntries = aEntries;
  ApplyMembers();
}

void
RelayRouter::ApplyMembers()
{
  for (const auto& [name, group] : mGroups) {
    std::vector<GroupMember> members;
    for (const auto& it : mEntries) {
      if (it.mGroup == name) {
        members.push_back(it.mMember);
      }
    }
    if (members != group->View().Members()) {
      group->SetMembers(members);
    }
  }
}

std::shared_ptr<RelayGroup>
RelayRouter::FindGroup(const std::string& aName) const
{
  const auto it = mGroups.find(aName);
  return it != mGroups.end() ? it->second : nullptr;
}

void
RelayRouter::Tick()
{
  for (const auto& [name, it] : mGroups) {
    it->Tick();
  }
}

}
