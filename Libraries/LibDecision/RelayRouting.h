#pragma once

#include "LibDecision/GroupView.h"
#include "LibDecision/Topology.h"

namespace papayaline {

/// What a statement, or the transaction that it opens, requires of a database.
struct RelayRequirements
{
  /// Set for writes and for transactions that may write.
  bool mNeedsPrimary = false;
  /// The allowed staleness of a read; none means that the read must include
  /// every acknowledged write.
  std::optional<Duration> mMaxAge;
  /// The position of the session's last acknowledged write, which a read must
  /// include whichever instance acknowledged it.
  std::optional<LogPosition> mLastWritePosition;
  /// When the statement or the first statement of its transaction arrived.
  Instant mStartedAt;
};

/// A database that a statement may be sent to.
struct RelayCandidate
{
  std::string mName;
  /// Whether a connection is idle or may be opened.
  bool mIsAvailable = true;
  /// When it is not available, how soon a connection of the statement's account
  /// can be, if the statement may wait for one rather than go elsewhere.
  std::optional<Duration> mConnectionDelay;
  Distance mDistance = Distance::SameRegion;
  /// Whether the database already refused this statement.
  bool mIsExcluded = false;
  unsigned mInFlight = 0;
  unsigned mSlots = 1;
  /// The smoothed duration of a statement at this database.
  Duration mServiceTime{};
};

enum class RelayVerdict
{
  Run,
  /// No connection to a suitable database is available.
  WaitForConnection,
  /// No position is known yet that proves how stale a replica is.
  WaitForEvidence,
  WaitForPrimary,
};

struct RelayChoice
{
  RelayVerdict mVerdict = RelayVerdict::WaitForPrimary;
  /// The index of the chosen candidate; with WaitForConnection the one that
  /// would be chosen if it had a connection.
  size_t mIndex = 0;
  /// The position that the database must have applied.
  std::optional<LogPosition> mMinPosition;
  /// Set when the primary was chosen, also with WaitForConnection. Its result
  /// must be confirmed before it is returned.
  std::optional<GroupPrimary> mPrimary;
};

struct RelayRoutingSettings
{
  /// Subtracted from the allowed staleness, to cover the time that passes
  /// between the caller's reading of the clock and this instance's.
  Duration mAgeMargin = std::chrono::milliseconds(50);
  /// Added to the expected time of a database in another failure domain,
  /// because traffic between failure domains is expensive.
  Duration mCrossDomainPenalty = std::chrono::milliseconds(20);
  /// The same for a database in another region, whose link all traffic between
  /// the regions shares. Above mPrimaryReadPenalty, so that a read runs at the
  /// primary of its own region before it leaves the region.
  Duration mCrossRegionPenalty = std::chrono::milliseconds(80);
  /// Added to the expected time of the primary for a read that a replica may
  /// serve, because writes need the primary's slots.
  Duration mPrimaryReadPenalty = std::chrono::milliseconds(60);
};

/// The instant up to which a read must include all acknowledged writes; older
/// evidence does not suffice for it. The session's own writes need no evidence:
/// ChooseUpstream requires their position of the database.
/// Pure; any thread.
Instant
EvidenceSince(const RelayRequirements& aRequirements,
              const RelayRoutingSettings& aSettings = {});

/// The position that a replica must have applied for a read, or nothing while
/// no confirmed position is recent enough. Reads without an allowed staleness
/// have none. Pure; any thread.
std::optional<LogPosition>
PositionForRead(const RelayRequirements& aRequirements,
                const GroupView& aView,
                const RelayRoutingSettings& aSettings = {});

/// Chooses the database for a statement by the shortest expected time among the
/// suitable ones. A primary is suitable unless a required position is of a
/// later term, which shows that it was replaced. Pure; any thread.
RelayChoice
ChooseUpstream(const RelayRequirements& aRequirements,
               std::span<const RelayCandidate> aCandidates,
               const GroupView& aView,
               const RelayRoutingSettings& aSettings = {});

}
