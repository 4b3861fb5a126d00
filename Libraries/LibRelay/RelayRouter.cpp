#include "LibRelay/RelayRouter.h"

#include <algorithm>

namespace papayaline {

namespace {

/// Whether neither a session nor another instance still references a group:
/// the router and the runner hold the only pointers to it.
bool
IsUnused(const std::shared_ptr<RelayGroup>& aGroup,
         const std::shared_ptr<StatementRunner>& aRunner)
{
  const bool isOwnRunner = aRunner == aGroup;
  return aGroup->IsIdle() && aGroup.use_count() <= 2 &&
         aRunner.use_count() <= (isOwnRunner ? 2 : 1);
}

}

RelayRouter::RelayRouter(RelayEnvironment aEnvironment)
  : mEnvironment(std::move(aEnvironment))
{
  mEnvironment.mCheckAuthority = [this](const RelayRequest& aRequest) {
    return CheckAuthority(aRequest);
  };
}

void
RelayRouter::ConfirmConfiguration(Instant aConfirmedAt)
{
  mConfirmedAt = std::max(mConfirmedAt.value_or(aConfirmedAt), aConfirmedAt);
}

bool
RelayRouter::IsExpired(std::optional<Instant> aConfirmedAt) const
{
  const auto& limit = mEnvironment.mAuthorityTimeout;
  return limit && (!aConfirmedAt || Now() - *aConfirmedAt >= *limit);
}

Result<StatementAuthority>
RelayRouter::FindAuthority(const RelayRoute& aRoute,
                           const std::string& aKey) const
{
  StatementAuthority authority;
  if (!mConfiguration->mAccounts || aRoute.mIsPublic) {
    return authority;
  }
  const auto* account = mConfiguration->mAccounts->FindByKey(aKey);
  if (!account) {
    return Error{ ErrorKind::AuthenticationFailed,
                  "no account holds the caller's key" };
  }
  if (IsExpired(mConfirmedAt)) {
    return Error{ ErrorKind::AuthorityExpired,
                  "the store did not confirm the configuration in time" };
  }
  authority.mAccount = account->mName;
  authority.mAccountRank = account->mRank;
  authority.mKey = aKey;
  if (mEnvironment.mAuthorityTimeout) {
    authority.mConfirmedAt = mConfirmedAt;
  }
  return authority;
}

std::optional<Error>
RelayRouter::CheckAuthority(const RelayRequest& aRequest) const
{
  const auto& authority = aRequest.mAuthority;
  if (authority.mAccount.empty()) {
    return std::nullopt;
  }
  if (authority.mKey.empty()) {
    return IsExpired(authority.mConfirmedAt)
             ? std::optional(
                 Error{ ErrorKind::AuthorityExpired,
                        "the authority of the forwarded statement expired" })
             : std::nullopt;
  }
  const auto current = FindAuthority(aRequest.mRoute, authority.mKey);
  if (current.IsError()) {
    return current.GetError();
  }
  return current.Value().mAccount == authority.mAccount
           ? std::nullopt
           : std::optional(Error{ ErrorKind::AuthenticationFailed,
                                  "the key moved to another account" });
}

bool
RelayRouter::ApplyConfigurationIfNewer(const RelayConfiguration& aConfiguration)
{
  if (mConfiguration && aConfiguration.mVersion <= mConfiguration->mVersion) {
    return false;
  }
  mConfiguration = aConfiguration;
  for (const auto& it : aConfiguration.mGroups) {
    auto& entry = mGroups[it.mName];
    if (!entry.mGroup) {
      entry.mGroup = std::make_shared<RelayGroup>(mEnvironment, it);
      entry.mRunner = mMakeRunner ? mMakeRunner(entry.mGroup) : entry.mGroup;
    }
    entry.mGroup->Configure(it);
    entry.mGroup->SetAccounts(aConfiguration.mAccounts);
  }
  // A group that is not configured is removed once it is unused; one with open
  // transactions stays until a later configuration.
  std::erase_if(mGroups, [&](const auto& it) {
    return std::ranges::find(aConfiguration.mGroups,
                             it.first,
                             &RelayGroupConfiguration::mName) ==
             aConfiguration.mGroups.end() &&
           IsUnused(it.second.mGroup, it.second.mRunner);
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
  for (const auto& [name, entry] : mGroups) {
    std::vector<GroupMember> members;
    for (const auto& it : mEntries) {
      if (it.mGroup == name) {
        members.push_back(it.mMember);
      }
    }
    if (members != entry.mGroup->View().Members()) {
      entry.mGroup->SetMembers(members);
    }
  }
}

std::shared_ptr<RelayGroup>
RelayRouter::FindGroup(const std::string& aName) const
{
  const auto it = mGroups.find(aName);
  return it != mGroups.end() ? it->second.mGroup : nullptr;
}

std::shared_ptr<StatementRunner>
RelayRouter::FindRunner(const std::string& aName) const
{
  const auto it = mGroups.find(aName);
  return it != mGroups.end() ? it->second.mRunner : nullptr;
}

void
RelayRouter::Tick()
{
  for (const auto& [name, it] : mGroups) {
    it.mGroup->Tick();
  }
}

}
