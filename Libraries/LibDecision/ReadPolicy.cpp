#include "LibDecision/ReadPolicy.h"

#include <algorithm>
#include <tuple>

namespace papayaline {

void
FrontierHistory::Record(const Frontier& aFrontier)
{
  const auto later = AtOrAfter(aFrontier.mCompleteUntil);
  if (later && later->mPosition <= aFrontier.mPosition) {
    return;
  }
  std::erase_if(mFrontiers, [&](const auto& it) {
    return it.mCompleteUntil <= aFrontier.mCompleteUntil &&
           it.mPosition >= aFrontier.mPosition;
  });
  const auto at = std::ranges::upper_bound(
    mFrontiers, aFrontier.mCompleteUntil, {}, &Frontier::mCompleteUntil);
  mFrontiers.insert(at, aFrontier);
  if (mFrontiers.size() > kCapacity) {
    mFrontiers.pop_front();
  }
}

std::optional<Frontier>
FrontierHistory::AtOrAfter(Instant aInstant) const
{
  const auto it = std::ranges::lower_bound(
    mFrontiers, aInstant, {}, &Frontier::mCompleteUntil);
  return it != mFrontiers.end() ? std::optional(*it) : std::nullopt;
}

namespace {

/// The load of a candidate for comparison: the share of its slots in use, then
/// whether it is in another failure domain. Lower is better.
auto
LoadOf(const ReadCandidate& aCandidate)
{
  const auto slots = std::max<uint32_t>(aCandidate.mSlots, 1);
  return std::tuple(aCandidate.mInUse * 1000 / slots,
                    !aCandidate.mIsSameDomain);
}

std::optional<size_t>
ChooseReplica(std::span<const ReadCandidate> aCandidates,
              LogPosition aNeeded,
              RuleSet aRules)
{
  std::optional<size_t> best;
  for (size_t it = 0; it < aCandidates.size(); ++it) {
    const auto& candidate = aCandidates[it];
    const bool isSuitable = candidate.mIsUsable &&
                            IsCleanReplica(candidate.mReport, aRules) &&
                            ContainsToken(candidate.mReport, aNeeded, aRules);
    if (isSuitable &&
        (!best || LoadOf(candidate) < LoadOf(aCandidates[*best]))) {
      best = it;
    }
  }
  return best;
}

std::optional<size_t>
FindUsablePrimary(std::span<const ReadCandidate> aCandidates)
{
  std::optional<size_t> primary;
  for (size_t it = 0; it < aCandidates.size(); ++it) {
    const auto& report = aCandidates[it].mReport;
    if (report.mRole == Role::Primary &&
        (!primary ||
         report.mFencedTerm > aCandidates[*primary].mReport.mFencedTerm)) {
      primary = it;
    }
  }
  return primary && aCandidates[*primary].mIsUsable ? primary : std::nullopt;
}

/// The position that a replica must hold, with the instant up to which data
/// that includes it is complete.
std::optional<Frontier>
NeededPosition(const ReadRequirements& aRequirements,
               const FrontierHistory& aFrontiers,
               ReadRouting aRouting,
               Instant aNow)
{
  if (aRequirements.mMaxAge) {
    auto frontier = aFrontiers.AtOrAfter(aNow - *aRequirements.mMaxAge);
    if (frontier && aRequirements.mToken) {
      frontier->mPosition =
        std::max(frontier->mPosition, *aRequirements.mToken);
    }
    return frontier;
  }
  if (aRequirements.mToken && aRouting != ReadRouting::PrimaryOnly) {
    return Frontier{ *aRequirements.mToken, aRequirements.mArrivedAt };
  }
  if (aRouting == ReadRouting::ConfirmedFrontier) {
    return aFrontiers.AtOrAfter(aRequirements.mArrivedAt);
  }
  return std::nullopt;
}

bool
PrefersPrimary(const ReadRequirements& aRequirements, ReadRouting aRouting)
{
  if (aRequirements.mMaxAge) {
    return false;
  }
  return aRouting == ReadRouting::PrimaryOnly ||
         (aRouting == ReadRouting::TokenOnly && !aRequirements.mToken);
}

}

ReadChoice
ChooseRead(const ReadRequirements& aRequirements,
           std::span<const ReadCandidate> aCandidates,
           const FrontierHistory& aFrontiers,
           const ReadSettings& aSettings,
           Instant aNow)
{
  const auto needed =
    NeededPosition(aRequirements, aFrontiers, aSettings.mRouting, aNow);
  if (needed) {
    const auto replica =
      ChooseReplica(aCandidates, needed->mPosition, aSettings.mRules);
    if (replica) {
      return { ReadVerdict::UseReplica, *replica, needed->mCompleteUntil };
    }
  }
  const bool hasWaited =
    aNow - aRequirements.mArrivedAt >= aSettings.mReplicaWait;
  if (hasWaited || PrefersPrimary(aRequirements, aSettings.mRouting)) {
    if (const auto primary = FindUsablePrimary(aCandidates)) {
      return { ReadVerdict::UsePrimary, *primary, std::nullopt };
    }
  }
  return {};
}

bool
MayReturnReplicaRead(const UpstreamReport& aChosen,
                     const UpstreamReport& aAfter,
                     RuleSet aRules)
{
  return !aRules.Has(Rule::CleanReplicaRead) ||
         (IsCleanReplica(aAfter, aRules) &&
          aAfter.mFencedTerm == aChosen.mFencedTerm);
}

bool
MayReturnPrimaryRead(std::span<const UpstreamReport> aReports,
                     size_t aGroupSize,
                     LogPosition aSeen,
                     Instant aNotBefore,
                     RuleSet aRules)
{
  return IsAcknowledged(
    AskedSince(aReports, aNotBefore), aGroupSize, aSeen, aRules);
}

}
