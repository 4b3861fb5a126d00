#include "LibRelay/SharePolicy.h"

#include <algorithm>

namespace papayaline {

namespace {

/// In operations a second.
constexpr double kMinWeight = 1;

}

SharePolicy::SharePolicy(const RelayConfiguration& aConfiguration,
                         const std::string& aGroup)
  : mIsEnabled(aConfiguration.mAccounts != nullptr)
{
  if (!mIsEnabled) {
    return;
  }
  double sum = 0;
  for (const auto& it : aConfiguration.mAccounts->All()) {
    if (it.mQuota) {
      const auto weight = std::max(it.mQuota->mRatePerSecond, kMinWeight);
      mWeights[it.mName] = weight;
      sum += weight;
    }
  }
  if (!mWeights.empty()) {
    mMeanWeight = sum / static_cast<double>(mWeights.size());
  }
  for (const auto& it : aConfiguration.mRoutes) {
    if (it.mGroup == aGroup) {
      mRanks.insert(it.mRank);
    }
  }
}

RankPlace
SharePolicy::PlaceOf(unsigned aRank) const
{
  return mRanks.size() > 1 && aRank <= *mRanks.begin() ? RankPlace::First
                                                       : RankPlace::Other;
}

double
SharePolicy::WeightOf(const std::string& aAccount) const
{
  const auto it = mWeights.find(aAccount);
  return it != mWeights.end() ? it->second : mMeanWeight;
}

}
