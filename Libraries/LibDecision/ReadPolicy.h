#pragma once

#include "LibDecision/Quorum.h"

#include <deque>

namespace papayaline {

/// Confirmed frontiers of one group on one instance, oldest first. Only those
/// are kept that no later frontier with a lower or equal position replaces, so
/// positions grow with time.
class FrontierHistory
{
public:
  static constexpr size_t kCapacity = 512;

  void Record(const Frontier& aFrontier);

  /// The lowest position that proves that a read is complete up to aInstant or
  /// later.
  std::optional<Frontier> AtOrAfter(Instant aInstant) const;

  const std::deque<Frontier>& All() const { return mFrontiers; }

private:
  std::deque<Frontier> mFrontiers;
};

/// What a read must be able to see.
struct ReadNeed
{
  /// Position that the caller's session has written or seen.
  std::optional<LogPosition> mToken;
  /// Allowed age; none means read-your-writes.
  std::optional<Duration> mMaxAge;
  Instant mArrivedAt;
};

/// An upstream that may serve a read.
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

/// Where a read goes; mIndex refers to the candidates.
struct ReadChoice
{
  ReadVerdict mVerdict = ReadVerdict::Wait;
  size_t mIndex = 0;
  /// The data shown is complete up to this instant. Unset for a token read.
  std::optional<Instant> mFreshAt;
};

/// How reads without a token prove that they are fresh.
enum class ReadRouting
{
  /// Baseline of the measurements: every read-your-writes read uses the
  /// primary.
  PrimaryOnly,
  /// Only reads that carry a token use replicas.
  TokenOnly,
  ConfirmedFrontier,
};

struct ReadSettings
{
  ReadRouting mRouting = ReadRouting::ConfirmedFrontier;
  /// How long a read waits for a replica before the primary serves it.
  Duration mReplicaWait = std::chrono::milliseconds(20);
  RuleSet mRules = RuleSet::All();
};

/// Chooses an upstream for a read, or Wait when no evidence suffices yet.
/// Pure; any thread.
ReadChoice
ChooseRead(const ReadNeed& aNeed,
           std::span<const ReadCandidate> aCandidates,
           const FrontierHistory& aFrontiers,
           const ReadSettings& aSettings,
           Instant aNow);

/// Whether the answer of a read at a replica may be shown: aAfter, asked for on
/// the same connection behind the read, must show the replica that was chosen,
/// in the same term. A read that was under way while the database became a
/// primary could show entries that no other database has.
bool
MayShowReplicaRead(const UpstreamReport& aChosen,
                   const UpstreamReport& aAfter,
                   RuleSet aRules = RuleSet::All());

/// Whether the answer of a read at the primary may be shown: a majority held,
/// in the primary's term, the position that the read saw, in reports asked for
/// at or after aNotBefore.
bool
MayShowPrimaryRead(std::span<const UpstreamReport> aReports,
                   size_t aGroupSize,
                   LogPosition aSeen,
                   Instant aNotBefore,
                   RuleSet aRules = RuleSet::All());

}
