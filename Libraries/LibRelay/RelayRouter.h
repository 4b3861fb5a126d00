#pragma once

#include "LibRelay/RelayGroup.h"

namespace papayaline {

/// A database as listed in the directory.
struct DirectoryEntry
{
  std::string mGroup;
  Address mAddress;
  GroupMember mMember;
  /// Increases with each report of one incarnation of the database.
  int64_t mSequence = 0;

  auto operator<=>(const DirectoryEntry&) const = default;
};

/// What sessions of callers may start.
enum class Admission
{
  Everything,
  SingleStatements,
  Nothing,
};

/// The active configuration and the groups that it names.
/// Thread safety: one thread.
class RelayRouter
{
public:
  /// Creates the runner of the statements of sessions on a group.
  using RunnerFactory = std::function<std::shared_ptr<StatementRunner>(
    const std::shared_ptr<RelayGroup>&)>;

  explicit RelayRouter(RelayEnvironment aEnvironment);

  /// Sets the factory of runners. Without a factory, sessions use the groups of
  /// this instance directly. Precondition: no configuration was offered yet.
  void SetRunnerFactory(RunnerFactory aFactory)
  {
    mMakeRunner = std::move(aFactory);
  }

  /// Applies a configuration. Returns false, without a change, when its version
  /// is not higher than the active one.
  bool ApplyConfigurationIfNewer(const RelayConfiguration& aConfiguration);
  /// Records that the store confirmed the active configuration at an instant:
  /// at the latest when the call that it answered was sent.
  void ConfirmConfiguration(Instant aConfirmedAt);
  /// The authority of a caller's key for a route of the active configuration.
  /// Errors: AuthenticationFailed when no account holds the key and the route
  /// is not public; AuthorityExpired when the store last confirmed the
  /// configuration too long ago. Precondition: configured.
  Result<StatementAuthority> FindAuthority(const RelayRoute& aRoute,
                                           const std::string& aKey) const;
  /// Whether a statement that was allowed when it arrived may still be sent to
  /// a database: the reason if not. Precondition: configured.
  std::optional<Error> CheckAuthority(
    const RelayRoute& aRoute,
    const StatementAuthority& aAuthority) const;
  /// Whether statements on behalf of client accounts may run: the store
  /// confirmed the configuration recently enough, or need not.
  bool HasAuthority() const;
  /// Time since the store confirmed the configuration. Unset where it is not
  /// limited, and before the first confirmation.
  std::optional<Duration> AuthorityAge() const;
  /// Whether statements of a route run only on behalf of a client account.
  bool NeedsAccount(const RelayRoute& aRoute) const;
  /// Counts an error that a session answered, and logs the refusal of a key.
  void RecordError(const std::string& aDatabase, const Error& aError);
  /// Errors that sessions answered, by kind.
  const std::map<ErrorKind, uint64_t>& ErrorCounts() const
  {
    return mErrorCounts;
  }
  void SetDirectory(const std::vector<DirectoryEntry>& aEntries);

  bool IsConfigured() const { return mConfiguration.has_value(); }
  const RelayConfiguration* Configuration() const
  {
    return mConfiguration ? &*mConfiguration : nullptr;
  }
  /// The group on this instance, or null when it is not configured.
  std::shared_ptr<RelayGroup> FindGroup(const std::string& aName) const;
  /// The runner of the statements of sessions on a group, or null when the
  /// group is not configured.
  std::shared_ptr<StatementRunner> FindRunner(const std::string& aName) const;
  Instant Now() const { return mEnvironment.mNow(); }
  /// What sessions may start from now on. What they have started goes on.
  void SetAdmission(Admission aAdmission) { mAdmission = aAdmission; }
  Admission GetAdmission() const { return mAdmission; }

  void Tick();
  template<typename Use>
  void ForEachGroup(Use aUse) const
  {
    for (const auto& [name, it] : mGroups) {
      aUse(*it.mGroup);
    }
  }

private:
  struct GroupEntry
  {
    std::shared_ptr<RelayGroup> mGroup;
    std::shared_ptr<StatementRunner> mRunner;
  };

  void ApplyMembers();
  void ObserveAuthority();
  bool IsExpired(std::optional<Instant> aConfirmedAt) const;
  std::optional<Error> CheckForwardedAuthority(
    const StatementAuthority& aAuthority) const;

  RelayEnvironment mEnvironment;
  RunnerFactory mMakeRunner;
  std::optional<RelayConfiguration> mConfiguration;
  std::optional<Instant> mConfirmedAt;
  /// When the authority expired; unset while there is one.
  std::optional<Instant> mExpiredSince;
  std::vector<DirectoryEntry> mEntries;
  std::map<std::string, GroupEntry> mGroups;
  std::map<ErrorKind, uint64_t> mErrorCounts;
  Admission mAdmission = Admission::Everything;
};

}
