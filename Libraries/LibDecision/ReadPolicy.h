#pragma once

#include "LibDecision/Quorum.h"

#include <deque>

namespace papayaline {

/// The confirmed frontiers of one group on one instance, oldest first. A
/// frontier is dropped when a later one has a lower or equal position, so
/// positions increase with time.
class FrontierHistory
{
public:
  static constexpr size_t kCapacity = 512;

  void Record(const Frontier& aFrontier);

  /// The frontier with the lowest position among those that are complete up to
  /// aInstant or later.
  std::optional<Frontier> AtOrAfter(Instant aInstant) const;

  const std::deque<Frontier>& All() const { return mFrontiers; }

private:
  std::deque<Frontier> mFrontiers;
};

/// What the data that a read returns must include.
struct ReadRequirements
{
  /// The position that the session has written or read; none when it has no
  /// token.
  std::optional<LogPosition> mToken;
  /// The allowed staleness; none means read-your-writes.
  std::optional<Duration> mMaxAge;
  Instant mArrivedAt;
};

/// An upstream that a read may be sent to.
struct ReadCandidate
{
  UpstreamReport mReport;
  bool mIsUsable = true;
  uint32_t mInUse = 0;
  uint32_t mSlots = 1;
  bool mIsSameDomain = false;
};

enum class ReadVerdict
{
  UseReplica,
  UsePrimary,
  Wait,
};

/// The routing decision for a read; mIndex is an index into the candidates.
struct ReadChoice
{
  ReadVerdict mVerdict = ReadVerdict::Wait;
  size_t mIndex = 0;
  /// The instant up to which the returned data is complete. Unset for a read at
  /// the primary and for Wait.
  std::optional<Instant> mFreshAt;
};

/// How reads without a token are proved to be fresh.
enum class ReadRouting
{
  /// Every read-your-writes read uses the primary. The baseline of the
  /// measurements.
  PrimaryOnly,
  /// Of the reads without an allowed staleness, only those with a token use
  /// replicas.
  TokenOnly,
  ConfirmedFrontier,
};

struct ReadSettings
{
  ReadRouting mRouting = ReadRouting::ConfirmedFrontier;
  /// How long a read waits for a suitable replica before it may use the
  /// primary.
  Duration mReplicaWait = std::chrono::milliseconds(20);
  RuleSet mRules = RuleSet::All();
};

/// Chooses an upstream for a read. Returns Wait while no usable upstream is
/// known to satisfy it. Pure; any thread.
ReadChoice
ChooseRead(const ReadRequirements& aRequirements,
           std::span<const ReadCandidate> aCandidates,
           const FrontierHistory& aFrontiers,
           const ReadSettings& aSettings,
           Instant aNow);

/// Whether the result of a read at a replica may be returned. aAfter is the
/// status that was requested on the same connection after the read; it must
/// show that the database is still a replica in the same term as in aChosen.
/// Otherwise a database that was promoted during the read could return entries
/// that no other database has.
bool
MayReturnReplicaRead(const UpstreamReport& aChosen,
                     const UpstreamReport& aAfter,
                     RuleSet aRules = RuleSet::All());

/// Whether the result of a read at the primary may be returned. A majority must
/// hold aSeen, the position that the read saw, in the primary's term according
/// to reports that were requested at or after aNotBefore.
bool
MayReturnPrimaryRead(std::span<const UpstreamReport> aReports,
                     size_t aGroupSize,
                     LogPosition aSeen,
                     Instant aNotBefore,
                     RuleSet aRules = RuleSet::All());

}
