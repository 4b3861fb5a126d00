#pragma once

#include "LibConfiguration/RelayConfiguration.h"
#include "LibDecision/Instant.h"

#include <map>

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
  /// By rank, how long its statements may make those of the ranks above wait at
  /// a database. The highest rank is absent.
  const std::map<unsigned, Duration>& Tolerances() const
  {
    return mTolerances;
  }

private:
  bool mIsEnabled = false;
  std::map<std::string, double> mWeights;
  double mMeanWeight = 1;
  std::map<unsigned, Duration> mTolerances;
};

}
