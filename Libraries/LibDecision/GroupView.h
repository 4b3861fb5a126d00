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
/// Evidence rests on majorities. A write is acknowledged only when a majority
/// of the group, the primary included, is known to hold it in the primary's
/// term, or when every other member was seen to be a replica in that term after
/// the commit. A replica receives nothing from a primary once another was
/// promoted, so what it received was committed before. Enough replicas that are
/// in the primary's term, asked at some instant, prove that no later primary
/// had acknowledged anything before that instant, because the majorities meet.
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
  void ObserveFailure(const std::string& aName);

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
  /// Since when a database owes an answer; unset when it owes none, or answered
  /// anything since.
  std::optional<Instant> UnansweredSince(const std::string& aName) const;
  /// Whether the last attempt to reach a database failed.
  bool IsFailing(const std::string& aName) const;

  /// Something was sent to a database, or a connection to it was begun.
  void ObserveAsked(const std::string& aName, Instant aNow);
  /// A refusal that shows that a database lives without telling its state.
  void ObserveContact(const std::string& aName, Instant aNow);

  /// Whether a member was a replica in the term of aPrimary when last asked.
  bool IsFollowing(const std::string& aName,
                   const PrimaryOfGroup& aPrimary) const;
  /// Whether enough replicas, asked at or after aSince, were in the term of
  /// aPrimary: no other primary had acknowledged anything before aSince.
  bool IsUnreplaced(const PrimaryOfGroup& aPrimary, Instant aSince) const;
  /// Whether a majority holds aPosition in the term of aPrimary.
  bool IsReplicated(const PrimaryOfGroup& aPrimary,
                    LogPosition aPosition) const;
  /// Whether every other member, asked at or after aSince, was a replica in the
  /// term of aPrimary and not fenced: nothing had been promoted by then.
  bool IsUnchallenged(const PrimaryOfGroup& aPrimary, Instant aSince) const;

  /// Positions that include every write acknowledged before their instant.
  const FrontierHistory& Frontiers() const { return mFrontiers; }

private:
  struct Knowledge
  {
    std::optional<ReplicationStatus> mStatus;
    LogPosition mApplied;
    std::optional<Instant> mContact;
    std::optional<Instant> mAsked;
    bool mIsFailing = false;
  };
  struct Sample
  {
    LogPosition mPosition;
    Instant mAskedAt;
  };

  /// The size that majorities are counted of: a group that was seen whole does
  /// not shrink below it because entries are missing.
  size_t GroupSize() const;
  void Touch(Knowledge& aKnowledge, Instant aNow);
  /// Replicas that were in the term of aPrimary and had received aPosition when
  /// they were asked.
  size_t CountFollowers(const PrimaryOfGroup& aPrimary,
                        Instant aSince,
                        LogPosition aPosition) const;
  void AddSample(LogPosition aPosition, Instant aAskedAt);
  void RecordFrontiers();
  void ForgetPrimary();

  /// Groups are at least this large once they were.
  static constexpr size_t kUsualSize = 3;

  std::vector<GroupMember> mMembers;
  size_t mLargestSize = 0;
  std::map<std::string, Knowledge> mKnowledge;
  uint64_t mHighestTerm = 0;
  std::string mPrimary;
  std::deque<Sample> mSamples;
  FrontierHistory mFrontiers;
};

}
