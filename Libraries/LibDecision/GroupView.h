#pragma once

#include "LibDecision/ReadPolicy.h"
#include "LibDecision/RuleSet.h"

#include <map>
#include <set>

namespace papayaline {

/// The state of a database as it reported it, where another party controls the
/// replication.
struct ReplicationStatus
{
  std::string mUpstream;
  Role mRole = Role::Replica;
  uint64_t mTerm = 0;
  /// The end of the received log, which may not be applied yet.
  LogPosition mReceived;
  /// The term for which the database stopped receiving; 0 while it receives.
  uint64_t mFencedTerm = 0;
  /// Open connections to the database from all instances.
  unsigned mConnections = 0;
  /// When the status request was sent, on the clock of the requesting instance.
  Instant mRequestedAt;

  bool operator==(const ReplicationStatus&) const = default;
};

/// A database of a group, as listed in the directory.
struct GroupMember
{
  std::string mName;
  std::string mFailureDomain;
  unsigned mSlots = 1;
  bool mIsLeaving = false;
  /// Set while the database is still slow after its start.
  bool mIsCold = false;
  /// The role listed in the directory, which may be outdated.
  Role mListedRole = Role::Replica;
  /// When the database process started, in Unix milliseconds. A database that
  /// restarts under the same name has no earlier state.
  int64_t mStartedMs = 0;

  auto operator<=>(const GroupMember&) const = default;
};

/// The primary of a group, as far as an instance knows.
struct GroupPrimary
{
  std::string mName;
  uint64_t mTerm = 0;

  bool operator==(const GroupPrimary&) const = default;
};

/// The state of one group as one instance knows it, for groups whose databases
/// are promoted through the platform: roles, terms, log positions, and the
/// evidence that the primary has not been replaced.
///
/// Evidence is based on majorities of the voting members. A write is
/// acknowledged only when a majority, including the primary, is known to hold
/// it in the primary's term, or when every other member reported after the
/// commit that it is a replica in that term. A replica receives nothing from a
/// primary once another one is promoted, so everything that it received was
/// committed before.
///
/// Instances learn of changes of the directory at different times, so their
/// majorities are of different lists. Majorities of lists that differ by one
/// member intersect. For lists that differ by more, a majority here also has to
/// intersect every majority of each voting list of the last kListRetention:
/// whoever still uses one of those, or already uses a later one, has a majority
/// that intersects this one.
///
/// If a majority of the group reports, in answer to requests sent at or after
/// some instant, that it is in no later term than the primary's, no later
/// primary had acknowledged a write before that instant: any two majorities
/// intersect, also if one is of a group that has a member more. The primary is
/// one of the majority only if an answer to such a request shows that it still
/// leads. A primary that was replaced follows the next one and counts towards
/// the majorities of that one's writes, while its answers to reads look as
/// before.
///
/// A value type without clock or socket. Thread safety: one thread.
class GroupView
{
public:
  /// How long a member has to be listed before it votes. Longer than a planned
  /// replacement takes to begin after the new database is listed, so that the
  /// majorities are those of the group without it.
  static constexpr Duration kVotingDelay = std::chrono::seconds(5);
  /// How long a former voting list is taken into account. Longer than the
  /// directory is out of reach of an instance that is partitioned from it.
  static constexpr Duration kListRetention = std::chrono::seconds(6);

  explicit GroupView(RelayRuleSet aRules = RelayRuleSet::All())
    : mRules(aRules)
  {
  }

  /// Replaces the member list. The state of members that remain is kept, unless
  /// the database restarted. The members of the first list vote at once.
  void SetMembers(std::vector<GroupMember> aMembers, Instant aNow);
  /// Lets members vote that have been listed for kVotingDelay, and forgets old
  /// voting lists. Call at least every second.
  void UpdateVoters(Instant aNow);
  const std::vector<GroupMember>& Members() const { return mMembers; }
  const GroupMember* FindMember(const std::string& aName) const;
  bool IsVoter(const std::string& aName) const;
  /// Whether the voting list changed within kListRetention.
  bool HasFormerLists() const { return !mFormerLists.empty(); }
  /// Whether a set of databases is a majority of the voting members and
  /// intersects every majority of each former voting list.
  bool IsMajority(const std::set<std::string>& aNames) const;
  /// Whether a set of databases intersects every majority of each voting list,
  /// the present one and the former ones.
  bool IntersectsMajorities(const std::set<std::string>& aNames) const;
  /// The number of replicas that make a majority with the primary, at least 1.
  size_t NeededReplicas() const;

  /// Handles the answer to a status request. An answer to an earlier request
  /// than the last one handled only counts as contact.
  void ObserveStatus(const ReplicationStatus& aStatus, Instant aNow);
  /// Handles the applied position that a database sends with each answer.
  void ObservePosition(const std::string& aName,
                       LogPosition aApplied,
                       Instant aRequestedAt,
                       Instant aNow);
  /// Handles a write that a database refused because it is not the primary.
  void ObserveNotPrimary(const std::string& aName);
  /// Handles the success of a statement that a database runs only while it is
  /// the primary: a write, or a statement of a transaction that may write.
  void ObserveLeading(const std::string& aName, Instant aRequestedAt);
  /// Handles the proof that a primary has led a term: a write that was
  /// acknowledged in it.
  void ObserveTerm(uint64_t aTerm);
  /// Handles a failed connection or a request that got no answer.
  void ObserveFailure(const std::string& aName);

  /// The primary of the highest known term, or nothing while the primary of
  /// that term is unknown.
  std::optional<GroupPrimary> Primary() const;
  uint64_t HighestTerm() const { return mHighestTerm; }
  /// The highest term that any member is in or fenced for.
  uint64_t HighestFencedTerm() const;
  const ReplicationStatus* StatusOf(const std::string& aName) const;
  /// The position that a database is known to have applied.
  LogPosition AppliedOf(const std::string& aName) const;
  /// When a database last answered; unset if it never did.
  std::optional<Instant> LastContact(const std::string& aName) const;
  /// When the oldest outstanding request to a database was sent; unset when
  /// none is outstanding. Any answer clears it.
  std::optional<Instant> UnansweredSince(const std::string& aName) const;
  /// Whether the last attempt to contact a database failed.
  bool IsFailing(const std::string& aName) const;

  /// Records that a request was sent to a database or a connection attempt
  /// began.
  void ObserveRequestSent(const std::string& aName, Instant aNow);
  /// Handles a refusal, which shows that a database is running but not its
  /// state.
  void ObserveContact(const std::string& aName, Instant aNow);

  /// Whether a member reported in its last status that it is a replica in the
  /// term of aPrimary.
  bool IsFollowing(const std::string& aName,
                   const GroupPrimary& aPrimary) const;
  /// Whether a majority of the group, of which the primary itself may be one,
  /// reported in answer to requests sent at or after aSince that it is in no
  /// later term than aPrimary. If so, no later primary had acknowledged a write
  /// before aSince. A member that has not joined the term yet counts too,
  /// unless its log is empty: it may have restarted without what it held.
  bool IsPrimaryConfirmed(const GroupPrimary& aPrimary, Instant aSince) const;
  /// The same for a statement that the database runs only while it is the
  /// primary, so that its success is the report of aPrimary.
  bool IsPrimaryConfirmedByOthers(const GroupPrimary& aPrimary,
                                  Instant aSince) const;
  /// Whether the last report of a member counts for IsPrimaryConfirmed since
  /// aSince.
  bool HasConfirmed(const std::string& aName,
                    const GroupPrimary& aPrimary,
                    Instant aSince) const;
  /// Whether enough replicas reported, in answer to requests sent at or after
  /// aSince, that they are in the term of aPrimary and not fenced for a later
  /// one, so that a write can be acknowledged once they receive it.
  bool IsPrimaryFollowed(const GroupPrimary& aPrimary, Instant aSince) const;
  /// Whether a majority holds aPosition in the term of aPrimary.
  bool IsReplicated(const GroupPrimary& aPrimary, LogPosition aPosition) const;
  /// The end of the log that aPrimary reported as the primary in its last
  /// status, if that was requested at or after aSince. It includes all that was
  /// committed there before aSince.
  std::optional<LogPosition> LogEndSince(const GroupPrimary& aPrimary,
                                         Instant aSince) const;
  /// Whether every other member reported, in answer to a request sent at or
  /// after aSince, that it is a replica in the term of aPrimary and not fenced.
  /// If so, no other member had been promoted by aSince.
  bool AreAllMembersFollowing(const GroupPrimary& aPrimary,
                              Instant aSince) const;

  /// Log positions, each of which includes every write acknowledged before its
  /// instant.
  const FrontierHistory& Frontiers() const { return mFrontiers; }

private:
  struct MemberState
  {
    std::optional<ReplicationStatus> mStatus;
    LogPosition mApplied;
    std::optional<Instant> mLastContactAt;
    std::optional<Instant> mUnansweredSince;
    bool mIsFailing = false;
  };
  /// A position that the primary stated in answer to a request.
  struct Sample
  {
    LogPosition mPosition;
    Instant mRequestedAt;
  };

  /// Databases of which a majority is evidence.
  struct VotingList
  {
    std::set<std::string> mNames;
    /// The number of databases of which a majority is counted.
    size_t mSize = 0;
    /// When another list took its place; unused for the present list.
    Instant mReplacedAt;

    size_t Majority() const;
    /// How many of the databases a set has to include so that it intersects
    /// every majority of the list.
    size_t Intersection() const;
  };
  struct Listing
  {
    Instant mSince;
    Instant mLastListedAt;
  };

  /// The group size from which majorities are computed. It does not fall below
  /// the largest size seen, up to kMinGroupSize, when the directory lists fewer
  /// members. Otherwise a minority could pass for a majority.
  size_t GroupSize(size_t aListed) const;
  void RecordContact(MemberState& aState, Instant aNow);
  /// Whether the voting members for which aPredicate holds are a majority in
  /// the sense of IsMajority.
  template<typename Predicate>
  bool IsMajorityOf(Predicate aPredicate) const;
  /// When the last report of a member was requested, if it shows that the
  /// member has joined no later term than that of aPrimary, or that aPrimary
  /// leads.
  std::optional<Instant> ReportedAt(const std::string& aName,
                                    const GroupPrimary& aPrimary) const;
  /// The latest instant since which IsPrimaryConfirmed holds, or
  /// IsPrimaryConfirmedByOthers if the report of the primary is given.
  std::optional<Instant> ConfirmedAt(
    const GroupPrimary& aPrimary,
    std::optional<Instant> aPrimaryReport) const;
  /// Whether a member is known to have joined no later term than that of
  /// aPrimary.
  static bool IsBehind(const ReplicationStatus& aStatus,
                       const GroupPrimary& aPrimary);
  void AddSample(LogPosition aPosition, Instant aRequestedAt);
  /// Whether a position is lower than one that mPrimary stated earlier: it
  /// started again without its log, or was rolled back.
  bool HasLostEntries(LogPosition aPosition, Instant aRequestedAt) const;
  void RecordFrontiers();
  void ForgetPrimary();

  static constexpr size_t kMinGroupSize = 3;

  RelayRuleSet mRules;
  std::vector<GroupMember> mMembers;
  size_t mLargestSize = 0;
  /// The databases listed within kListRetention.
  std::map<std::string, Listing> mListings;
  VotingList mVoters;
  /// The voting lists that were replaced within kListRetention, oldest first.
  std::deque<VotingList> mFormerLists;
  std::map<std::string, MemberState> mMemberStates;
  uint64_t mHighestTerm = 0;
  std::string mPrimary;
  /// When the first answer arrived that showed that mPrimary leads. Answers to
  /// earlier requests may be those of a replica.
  Instant mLeadKnownAt;
  /// The highest position that mPrimary stated as applied, and when that was
  /// first known.
  LogPosition mStatedPosition;
  Instant mStatedAt;
  /// When the last request was sent whose answer shows that mPrimary leads.
  std::optional<Instant> mLeadingAt;
  std::deque<Sample> mSamples;
  FrontierHistory mFrontiers;
};

}
