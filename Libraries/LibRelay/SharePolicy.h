#pragma once

#include "LibConfiguration/RelayConfiguration.h"
#include "LibDecision/SlotShare.h"

#include <map>
#include <set>

namespace papayaline {

/// What the configuration says about how the callers of one group share its
/// slots. Immutable; any thread.
class SharePolicy
{
public:
  /// Without client accounts: statements are ordered by rank and arrival alone.
  SharePolicy() = default;
  SharePolicy(const RelayConfiguration& aConfiguration,
              const std::string& aGroup);

  /// Whether the configuration has client accounts, which share slots.
  bool IsEnabled() const { return mIsEnabled; }
  /// The part of the slots that an account is due, relative to the others: the
  /// rate of its quota. Accounts without one, and statements without an
  /// account, are due the mean. Greater than 0.
  double WeightOf(const std::string& aAccount) const;
  RankPlace PlaceOf(unsigned aRank) const;

private:
  bool mIsEnabled = false;
  std::map<std::string, double> mWeights;
  double mMeanWeight = 1;
  /// Of the group's routes.
  std::set<unsigned> mRanks;
};

}
