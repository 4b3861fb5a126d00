#include "LibDecision/SlotShare.h"

#include <algorithm>

namespace papayaline {

unsigned
ConcurrencyOf(const SlotUse& aUse, RankPlace aPlace)
{
  if (aUse.mSharers == 0) {
    return aUse.mLimit;
  }
  const auto share = (aUse.mSlots + aUse.mSharers - 1) / aUse.mSharers;
  return std::max(aUse.mLimit,
                  aPlace == RankPlace::First ? aUse.mSlots : share);
}

}
