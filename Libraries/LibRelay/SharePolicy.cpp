#include "LibRelay/SharePolicy.h"

#include <algorithm>
#include <optional>

namespace papayaline {

namespace {

/// An operation waits at databases up to this many times, as a transaction of a
/// few statements that also needs evidence does. All of that has to fit into
/// its target latency.
constexpr int kWaitsPerOperation = 8;
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
  std::map<unsigned, Duration> targets;
  for (const auto& it : aConfiguration.mRoutes) {
    if (it.mGroup == aGroup) {
      const Duration target = it.mTargetLatency;
      auto& shortest = targets.try_emplace(it.mRank, target).first->second;
      shortest = std::min(shortest, target);
    }
  }
  // The lower ranks divide the time that those above them can spare.
  std::optional<Duration> shortest;
  int above = 0;
  for (const auto& [rank, target] : targets) {
    if (shortest) {
      mTolerances[rank] = *shortest / (kWaitsPerOperation * above);
    }
    shortest = std::min(shortest.value_or(target), target);
    ++above;
  }
}

double
SharePolicy::WeightOf(const std::string& aAccount) const
{
  const auto it = mWeights.find(aAccount);
  return it != mWeights.end() ? it->second : mMeanWeight;
}

}
