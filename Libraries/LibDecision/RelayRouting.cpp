#include "LibDecision/RelayRouting.h"

#include <algorithm>

namespace papayaline {

namespace {

Duration
DistancePenalty(Distance aDistance, const RelayRoutingSettings& aSettings)
{
  switch (aDistance) {
    case Distance::SameDomain:
      return {};
    case Distance::SameRegion:
      return aSettings.mCrossDomainPenalty;
    case Distance::OtherRegion:
      return aSettings.mCrossRegionPenalty;
  }
  return aSettings.mCrossRegionPenalty;
}

/// The expected time until a database completes one more statement.
Duration
ExpectedTime(const RelayCandidate& aCandidate,
             const RelayRoutingSettings& aSettings)
{
  const auto slots = std::max(aCandidate.mSlots, 1U);
  const auto waiting = aCandidate.mInFlight / slots;
  return aCandidate.mServiceTime * (1 + waiting) +
         aCandidate.mServiceTime * (aCandidate.mInFlight % slots) /
           (2 * slots) +
         DistancePenalty(aCandidate.mDistance, aSettings);
}

struct BestCandidate
{
  std::optional<size_t> mIndex;
  Duration mExpected = Duration::max();

  void Offer(size_t aIndex, Duration aExpected)
  {
    if (aExpected < mExpected) {
      mIndex = aIndex;
      mExpected = aExpected;
    }
  }
};

bool
HasApplied(const GroupView& aView,
           const std::string& aName,
           LogPosition aNeeded)
{
  const auto* status = aView.StatusOf(aName);
  return status && status->mRole == Role::Replica &&
         aView.AppliedOf(aName) >= aNeeded;
}

/// The position that the primary has to confirm that it holds. It holds every
/// write of an earlier term that survived, and waiting for one that did not
/// would never end.
std::optional<LogPosition>
PositionAtPrimary(std::optional<LogPosition> aNeeded,
                  const GroupPrimary& aPrimary)
{
  return aNeeded && aNeeded->mTerm >= aPrimary.mTerm ? aNeeded : std::nullopt;
}

}

Instant
EvidenceSince(const RelayRequirements& aRequirements,
              const RelayRoutingSettings& aSettings)
{
  return aRequirements.mMaxAge
           ? aRequirements.mStartedAt -
               (*aRequirements.mMaxAge - aSettings.mAgeMargin)
           : aRequirements.mStartedAt;
}

std::optional<LogPosition>
PositionForRead(const RelayRequirements& aRequirements,
                const GroupView& aView,
                const RelayRoutingSettings& aSettings)
{
  if (!aRequirements.mMaxAge) {
    return std::nullopt;
  }
  const auto frontier =
    aView.Frontiers().AtOrAfter(EvidenceSince(aRequirements, aSettings));
  if (!frontier) {
    return std::nullopt;
  }
  // A write of an earlier term that survived the failover is below every
  // position of the new term. One that did not survive will never be applied,
  // so the read must not wait for it.
  const bool isCurrent =
    aRequirements.mLastWritePosition &&
    aRequirements.mLastWritePosition->mTerm >= frontier->mPosition.mTerm;
  return isCurrent
           ? std::max(*aRequirements.mLastWritePosition, frontier->mPosition)
           : frontier->mPosition;
}

RelayChoice
ChooseUpstream(const RelayRequirements& aRequirements,
               std::span<const RelayCandidate> aCandidates,
               const GroupView& aView,
               const RelayRoutingSettings& aSettings)
{
  const auto primary = aView.Primary();
  const bool isPrimaryOnly =
    aRequirements.mNeedsPrimary || !aRequirements.mMaxAge;
  const auto needed = isPrimaryOnly
                        ? aRequirements.mLastWritePosition
                        : PositionForRead(aRequirements, aView, aSettings);
  const bool isReplaced = primary && needed && needed->mTerm > primary->mTerm;
  BestCandidate best;
  BestCandidate bestBusy;
  for (size_t it = 0; it < aCandidates.size(); ++it) {
    const auto& candidate = aCandidates[it];
    const bool isPrimary = primary && primary->mName == candidate.mName;
    const bool fits = isPrimary ? !isReplaced
                                : !isPrimaryOnly && needed &&
                                    HasApplied(aView, candidate.mName, *needed);
    if (!fits || candidate.mIsExcluded) {
      continue;
    }
    const auto primaryPenalty =
      isPrimary && !isPrimaryOnly ? aSettings.mPrimaryReadPenalty : Duration{};
    const auto expected = ExpectedTime(candidate, aSettings) + primaryPenalty;
    if (candidate.mIsAvailable || candidate.mConnectionDelay) {
      best.Offer(it,
                 expected + (candidate.mIsAvailable
                               ? Duration{}
                               : *candidate.mConnectionDelay));
    } else {
      bestBusy.Offer(it, expected);
    }
  }
  RelayChoice choice;
  if (!isPrimaryOnly && !needed && primary) {
    choice.mVerdict = RelayVerdict::WaitForEvidence;
    return choice;
  }
  if (best.mIndex) {
    choice.mVerdict = aCandidates[*best.mIndex].mIsAvailable
                        ? RelayVerdict::Run
                        : RelayVerdict::WaitForConnection;
    choice.mIndex = *best.mIndex;
  } else if (bestBusy.mIndex) {
    choice.mVerdict = RelayVerdict::WaitForConnection;
    choice.mIndex = *bestBusy.mIndex;
  } else {
    return choice;
  }
  if (primary && aCandidates[choice.mIndex].mName == primary->mName) {
    choice.mPrimary = primary;
    choice.mMinPosition = PositionAtPrimary(needed, *primary);
  } else {
    choice.mMinPosition = needed;
  }
  return choice;
}

}
