#pragma once

#include "LibDecision/GroupView.h"

namespace papayaline {

/// What a statement, or the transaction that it opens, asks of a database.
struct RelayNeed
{
  /// Writes, and transactions that may write.
  bool mNeedsPrimary = false;
  /// Allowed age of what is read; none asks for every acknowledged write.
  std::optional<Duration> mMaxAge;
  /// The session's own last acknowledged write.
  std::optional<LogPosition> mOwnWrite;
  /// When the statement or the first statement of its transaction arrived.
  Instant mArrivedAt;
};

/// A database with what bears on the choice.
struct RelayCandidate
{
  std::string mName;
  /// Whether a connection is free or may be opened.
  bool mIsAvailable = true;
  bool mIsSameDomain = false;
  /// Refused this statement before.
  bool mIsExcluded = false;
  unsigned mInFlight = 0;
  unsigned mSlots = 1;
  /// Smoothed time of a statement there.
  Duration mServiceTime{};
};

enum class RelayVerdict
{
  Run,
  /// No connection to a fitting database is free.
  WaitForConnection,
  /// No position is known yet that makes a replica's age provable.
  WaitForEvidence,
  WaitForPrimary,
};

struct RelayChoice
{
  RelayVerdict mVerdict = RelayVerdict::WaitForPrimary;
  /// The database to run at; with WaitForConnection the one that would be
  /// chosen if it had a connection.
  size_t mIndex = 0;
  /// What the database must have applied.
  std::optional<LogPosition> mAfter;
  /// Set when the primary was chosen: what it shows must be confirmed.
  std::optional<PrimaryOfGroup> mPrimary;
};

struct RelayRoutingSettings
{
  /// Taken off the allowed age for the time between the caller's clock and
  /// this instance's.
  Duration mAgeMargin = std::chrono::milliseconds(50);
  /// What a statement may take longer in the same failure domain before one
  /// elsewhere is preferred: bytes between domains are dear.
  Duration mDomainPreference = std::chrono::milliseconds(20);
  /// The same for replicas against the primary, whose slots writes need.
  Duration mReplicaPreference = std::chrono::milliseconds(60);
};

/// How far back evidence may lie for a read: the oldest instant whose
/// acknowledged writes the read must include. The session's own writes need no
/// evidence: this instance acknowledged them, and knows their term.
/// Pure; any thread.
Instant
EvidenceSince(const RelayNeed& aNeed,
              const RelayRoutingSettings& aSettings = {});

/// The position that a replica must have applied for a read, or nothing while
/// it is not known. Pure; any thread.
std::optional<LogPosition>
PositionForRead(const RelayNeed& aNeed,
                const GroupView& aView,
                const RelayRoutingSettings& aSettings = {});

/// Chooses the database for a statement. Pure; any thread.
RelayChoice
ChooseUpstream(const RelayNeed& aNeed,
               std::span<const RelayCandidate> aCandidates,
               const GroupView& aView,
               const RelayRoutingSettings& aSettings = {});

}
