#include "LibRelay/RelayRouter.h"

#include <algorithm>

namespace papayaline {

namespace {

Error
Deny(const char* aReason)
{
  return { ErrorKind::AuthenticationFailed, aReason };
}

Error
Expire(const char* aReason)
{
  return { ErrorKind::AuthorityExpired, aReason };
}

Error
DenyUnknownKey()
{
  return Deny("no account holds the caller's key");
}

Error
ExpireUnconfirmed()
{
  return Expire("the store did not confirm the configuration in time");
}

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
    return CheckAuthority(aRequest.mRoute, aRequest.mAuthority);
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

bool
RelayRouter::HasAuthority() const
{
  return !mConfiguration || !mConfiguration->mAccounts ||
         !IsExpired(mConfirmedAt);
}

std::optional<Duration>
RelayRouter::AuthorityAge() const
{
  return mEnvironment.mAuthorityTimeout && mConfirmedAt
           ? std::optional(Now() - *mConfirmedAt)
           : std::nullopt;
}

/// Logs when the authority expires and when it is back.
void
RelayRouter::ObserveAuthority()
{
  const auto now = Now();
  const auto milliseconds = [](Duration aTime) {
    return std::to_string(
      std::chrono::duration_cast<Milliseconds>(aTime).count());
  };
  if (HasAuthority() == !mExpiredSince) {
    return;
  }
  if (mExpiredSince) {
    mEnvironment.mLog("authority.regained",
                      { { "afterMs", milliseconds(now - *mExpiredSince) } });
    mExpiredSince.reset();
    return;
  }
  mExpiredSince = now;
  const auto age = AuthorityAge();
  mEnvironment.mLog("authority.lost",
                    { { "ageMs", age ? milliseconds(*age) : "-" } });
}

bool
RelayRouter::NeedsAccount(const RelayRoute& aRoute) const
{
  if (aRoute.mIsPublic || !mConfiguration || !mConfiguration->mAccounts) {
    return false;
  }
  // Instances of an older version don't tell that a route is public.
  const auto* known = mConfiguration->FindRoute(aRoute.mDatabase);
  return !known || !known->mIsPublic;
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
    return DenyUnknownKey();
  }
  if (IsExpired(mConfirmedAt)) {
    return ExpireUnconfirmed();
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
RelayRouter::CheckAuthority(const RelayRoute& aRoute,
                            const StatementAuthority& aAuthority) const
{
  const auto* accounts = mConfiguration->mAccounts.get();
  if (aAuthority.mAccount.empty()) {
    return NeedsAccount(aRoute)
             ? std::optional(
                 Expire("the statement was admitted without an account"))
             : std::nullopt;
  }
  if (aAuthority.mKey.empty()) {
    return CheckForwardedAuthority(aAuthority);
  }
  const auto* account =
    accounts ? accounts->FindByKey(aAuthority.mKey) : nullptr;
  if (!account) {
    return DenyUnknownKey();
  }
  if (account->mName != aAuthority.mAccount) {
    return Deny("the key moved to another account");
  }
  return IsExpired(mConfirmedAt) ? std::optional(ExpireUnconfirmed())
                                 : std::nullopt;
}

/// The instance that forwarded the statement looked up the key. An account that
/// this instance does not know was dropped since, or is not known here yet.
std::optional<Error>
RelayRouter::CheckForwardedAuthority(const StatementAuthority& aAuthority) const
{
  const auto* accounts = mConfiguration->mAccounts.get();
  if (!accounts || !accounts->FindByName(aAuthority.mAccount)) {
    return Expire("the account of the forwarded statement is not configured");
  }
  return IsExpired(aAuthority.mConfirmedAt)
           ? std::optional(
               Expire("the authority of the forwarded statement expired"))
           : std::nullopt;
}

void
RelayRouter::RecordError(const std::string& aDatabase, const Error& aError)
{
  ++mErrorCounts[aError.mKind];
  if (aError.mKind == ErrorKind::AuthenticationFailed) {
    mEnvironment.mLog(
      "session.denied",
      { { "database", aDatabase }, { "reason", aError.mMessage } });
  }
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
    entry.mGroup->SetSharePolicy({ aConfiguration, it.mName });
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
  ObserveAuthority();
  for (const auto& [name, it] : mGroups) {
    it.mGroup->Tick();
  }
}

}
