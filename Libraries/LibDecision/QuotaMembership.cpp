#include "LibDecision/QuotaMembership.h"

#include <algorithm>

namespace papayaline {

void
QuotaMembership::ObserveList(size_t aInstances,
                             bool aIncludesSelf,
                             StartListing aStart,
                             Instant aNow)
{
  // A count that was in force until now is kept for the whole time from here.
  if (mListed != 0) {
    mSeen[mListed] = aNow;
  }
  mListed = aInstances;
  mSeen[aInstances] = aNow;
  mWasListedAtStart = aStart == StartListing::Listed;
  if (aIncludesSelf && !mListedSince) {
    mListedSince = aNow;
  }
  std::erase_if(
    mSeen, [&](const auto& it) { return aNow - it.second >= kForgetTime; });
}

void
QuotaMembership::ObserveCount(size_t aInstances, Instant aNow)
{
  if (aInstances > 0) {
    mSeen[aInstances] = aNow;
  }
  if (mListedSince && !mHeardSince) {
    mHeardSince = aNow;
  }
}

void
QuotaMembership::ObserveListedByPeer(size_t aInstances, Instant aNow)
{
  ObserveCount(aInstances, aNow);
  mListedByPeers[aInstances] = aNow;
}

size_t
QuotaMembership::Told(Instant aNow) const
{
  auto count = mListed;
  for (const auto& [n, at] : mListedByPeers) {
    if (aNow - at < kForgetTime) {
      count = std::max(count, n);
    }
  }
  return count;
}

size_t
QuotaMembership::Count(Instant aNow) const
{
  auto count = mListed;
  for (const auto& [n, at] : mSeen) {
    if (aNow - at < kForgetTime && mListed != 0) {
      count = std::max(count, n);
    }
  }
  return count;
}

bool
QuotaMembership::MayMint(Instant aNow) const
{
  if (!mListedSince) {
    return false;
  }
  const bool isAlone = mListed == 1 && aNow - *mListedSince >= kSpreadTime;
  return mWasListedAtStart || isAlone ||
         (mHeardSince && aNow - *mHeardSince >= kSpreadTime) ||
         aNow - *mListedSince >= kForgetTime;
}

}
