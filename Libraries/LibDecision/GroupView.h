#pragma once

#include "LibDecision/ReadPolicy.h"

#include <map>
#include <set>

namespace papayaline {

/// What a database whose replication is driven from outside says of itself.
struct ReplicationStatus
{
  std::string mUpstream;
  Role mRole = Role::Replica;
  uint64_t mTerm = 0;
  /// The end of the log that was received; it may not be applied yet.
  LogPosition mReceived;
  /// The term for which the database stopped receiving; 0 when it receives.
  uint64_t mFencedTerm = 0;
  /// Connections that the database has from all instances.
  unsigned mConnections = 0;
  /// When the request was sent, on the asking instance's clock.
  Instant mAskedAt;

  bool operator==(const ReplicationStatus&) const = default;
};

/// A database that an instance may use for a group.
struct GroupMember
{
  std::string mName;
  std::string mFailureDomain;
  unsigned mSlots = 1;
  bool mIsLeaving = false;
  /// Still slow after its start.
  bool mIsCold = false;
  /// What the directory says; it may be old.
  Role mListedRole = Role::Replica;
  /// The start of this life of the database, Unix milliseconds. A database that
  /// starts again under its name knows nothing of before.
  int64_t mStartedMs = 0;

  auto operator<=>(const GroupMember&) const = default;
};

/// The primary that an instance believes in.
struct PrimaryOfGroup
{
  std::string mName;
  uint64_t mTerm = 0;

  bool operator==(const PrimaryOfGroup&) const = default;
};

/// What one instance knows of one group whose databases are promoted through
/// the platform: roles, terms, positions, and the evidence that the primary has
/// not been replaced.
///
/// The evidence rests on the order that a promotion keeps: all members but one
/// are fenced before it. So a replica that is in the primary's term and not
/// fenced, asked at some instant, proves that no promotion had begun to take
/// effect before that instant without the primary itself being fenced.
///
/// A value without clock or socket. Thread safety: one thread.
class GroupView
{
public:
  /// Takes the members; what is known of those that stay is kept.
  void SetMembers(std::vector<GroupMember> aMembers);
  const std::vector<GroupMember>& Members() const { return mMembers; }
  const GroupMember* FindMember(const std::string& aName) const;

  /// The answer to a status request.
  void ObserveStatus(const ReplicationStatus& aStatus, Instant aNow);
  /// The position that came with any answer: what the database has applied.
  void ObservePosition(const std::string& aName,
                       LogPosition aApplied,
                       Instant aAskedAt,
                       Instant aNow);
  /// A write was refused because the database does not lead.
  void ObserveNotPrimary(const std::string& aName);
  /// A connection failed or a request went unanswered.
  void ObserveFailure(const std::string& aName, Instant aNow);

  /// The primary of the highest term seen, or nothing while that term's primary
  /// is not known.
  std::optional<PrimaryOfGroup> Primary() const;
  uint64_t HighestTerm() const { return mHighestTerm; }
  /// The highest term that any member is fenced for or in.
  uint64_t HighestFencedTerm() const;
  const ReplicationStatus* StatusOf(const std::string& aName) const;
  /// What a database is known to have applied.
  LogPosition AppliedOf(const std::string& aName) const;
  /// When a database last answered; unset when it never did.
  std::optional<Instant> LastContact(const std::string& aName) const;
  /// Whether the last attempt to reach a database failed.
  bool IsFailing(const std::string& aName) const;

  /// Whether evidence asked for at or after aSince shows that aPrimary had not
  /// been replaced.
  bool IsUnreplaced(const PrimaryOfGroup& aPrimary, Instant aSince) const;
  /// Whether a replica that proves this also held aPosition.
  bool IsReplicated(const PrimaryOfGroup& aPrimary,
                    LogPosition aPosition,
                    Instant aSince) const;

  /// Positions that include every write acknowledged before their instant.
  const FrontierHistory& Frontiers() const { return mFrontiers; }

private:
  struct Knowledge
  {
    std::optional<ReplicationStatus> mStatus;
    LogPosition mApplied;
    std::optional<Instant> mContact;
    bool mIsFailing = false;
  };
  struct Sample
  {
    LogPosition mPosition;
    Instant mAskedAt;
  };

  void AddSample(LogPosition aPosition, Instant aAskedAt);
  void RecordFrontiers();
  void ForgetPrimary();
  bool Proves(const ReplicationStatus& aStatus, uint64_t aTerm) const;

  std::vector<GroupMember> mMembers;
  std::map<std::string, Knowledge> mKnowledge;
  uint64_t mHighestTerm = 0;
  std::string mPrimary;
  std::deque<Sample> mSamples;
  /// When the latest evidence for the present primary was asked for.
  std::optional<Instant> mEvidenceAskedAt;
  FrontierHistory mFrontiers;
};

}
