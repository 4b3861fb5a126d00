#include "LibDecision/SlotShare.h"

#include <algorithm>

namespace papayaline {

namespace {

/// The even shares that the first rank of one instance may use: those of all
/// homes of a group, since its statements that need the primary meet at one.
constexpr unsigned kFirstRankShares = 3;

}

unsigned
ConcurrencyOf(const SlotUse& aUse, RankPlace aPlace)
{
  if (aUse.mSharers == 0) {
    return aUse.mLimit;
  }
  const auto share = (aUse.mSlots + aUse.mSharers - 1) / aUse.mSharers;
  const auto least = aPlace == RankPlace::First
                       ? std::min(share * kFirstRankShares, aUse.mSlots)
                       : share;
  return std::max(aUse.mLimit, least);
}

}
