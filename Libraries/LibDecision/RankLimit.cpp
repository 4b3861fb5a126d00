#include "LibDecision/RankLimit.h"

#include <algorithm>

namespace papayaline {

namespace {

/// An answer time of more than this many times the shortest one shows that
/// statements wait at the database, as for ConcurrencyLimit.
constexpr int kQueueingFactor = 2;
constexpr double kDecrease = 0.75;
constexpr double kIncrease = 1.0 / 16;
/// Lower ranks are never stopped altogether, since their answers show when the
/// queue at the database is gone.
constexpr double kMinPart = 1.0 / 16;

bool
IsKeptWaiting(const ConcurrencyLimit& aConcurrency, Duration aTolerance)
{
  const auto shortest = aConcurrency.ShortestAnswerTime();
  const auto present = aConcurrency.AnswerTime();
  return present > shortest * kQueueingFactor &&
         present - shortest > aTolerance;
}

}

void
RankLimit::OnAnswered(const ConcurrencyLimit& aConcurrency,
                      const std::map<unsigned, Duration>& aTolerances,
                      Instant aNow)
{
  for (const auto& [rank, tolerance] : aTolerances) {
    auto& share = mShares[rank];
    // An earlier change shows in the answers only after that time.
    if (aNow - share.mAdaptedAt < aConcurrency.AnswerTime()) {
      continue;
    }
    share.mAdaptedAt = aNow;
    share.mPart = IsKeptWaiting(aConcurrency, tolerance)
                    ? std::max(share.mPart * kDecrease, kMinPart)
                    : std::min(share.mPart + kIncrease, 1.0);
  }
}

void
RankLimit::OnStarted(unsigned aRank, Instant aNow)
{
  if (const auto it = mShares.find(aRank); it != mShares.end()) {
    it->second.mStartedAt = aNow;
  }
}

double
RankLimit::PartOf(unsigned aRank) const
{
  const auto it = mShares.find(aRank);
  return it != mShares.end() ? it->second.mPart : 1;
}

bool
RankLimit::MayStart(const ConcurrencyLimit& aConcurrency,
                    unsigned aRank,
                    unsigned aRunning,
                    Instant aNow) const
{
  const auto part = PartOf(aRank);
  if (part >= 1) {
    return true;
  }
  const auto allowed = part * aConcurrency.Limit();
  if (allowed >= 1) {
    return aRunning + 1 <= allowed;
  }
  // Less than one at a time: one, with a pause before the next.
  const auto interval = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aConcurrency.AnswerTime()) / allowed);
  return aRunning == 0 && aNow - mShares.at(aRank).mStartedAt >= interval;
}

}
