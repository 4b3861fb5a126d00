#pragma once

#include "LibDecision/Instant.h"

#include <cstddef>

namespace papayaline {

/// The quota of an account and the bound on its operations, over all instances
/// and in any window: (rate * window + burst) * (1 + excess) + slack.
struct QuotaTerms
{
  double mRatePerSecond = 0;
  /// In operations.
  double mBurst = 0;
  Duration mWindow{};
  double mExcess = 0;
  /// In operations.
  double mSlack = 0;

  bool operator==(const QuotaTerms&) const = default;
};

/// How long tokens are valid outside a stock. A token that takes longer is
/// lost, since whatever is on its way adds to what the stocks hold.
struct QuotaTimes
{
  /// From the request to the arrival of the tokens that answer it, on the clock
  /// of the instance that requested them.
  Duration mTransfer{};
  /// From the admission of an operation until it is sent to a database.
  Duration mAdmission{};

  bool operator==(const QuotaTimes&) const = default;
};

/// Pure; any thread.
QuotaTimes
QuotaTimesOf(Duration aWindow, double aExcess);

/// What one instance may mint and hold of an account's tokens, so that all
/// instances together stay within the bound.
struct QuotaShares
{
  /// Tokens that each instance mints per second.
  double mMintPerSecond = 0;
  /// Upper bound of the tokens that an instance mints and keeps.
  double mMintedStock = 0;
  /// Upper bound, over all instances, of what they keep beyond mMintedStock to
  /// serve their demand.
  double mWorkingStock = 0;
  /// Upper bound of the rate of admissions, over all instances.
  double mMaxRate = 0;
  /// Upper bound of the tokens of a bank, of which two may exist at a time.
  double mBankStock = 0;

  bool operator==(const QuotaShares&) const = default;

  /// The part of mWorkingStock of an instance that admits aRate operations per
  /// second; the parts of all instances add up to mWorkingStock at most.
  double WorkingStockAt(double aRate) const
  {
    return mMaxRate > 0 ? mWorkingStock * aRate / mMaxRate : 0;
  }
};

/// Divides an account's quota among aInstances; all shares are 0 while their
/// number is 0, that is unknown. Pure; any thread.
QuotaShares
ShareQuota(const QuotaTerms& aTerms, size_t aInstances);

}
