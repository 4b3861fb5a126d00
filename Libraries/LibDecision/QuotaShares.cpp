#include "LibDecision/QuotaShares.h"

#include "LibDecision/DecayedRate.h"

#include <algorithm>

namespace papayaline {

namespace {

/// A token passes two transfers and an admission at most between two stocks
/// that are bounded; together they use 0.8 of the excess.
constexpr double kTransferPart = 0.3;
constexpr double kAdmissionPart = 0.2;
/// Instances may mint that are not counted yet; they use this part of the
/// excess. With an excess of a tenth it is one instance in eighty.
constexpr double kUncountedPart = 0.125;
/// The part of the burst that instances keep without demand. The rest is the
/// working stock of those with demand.
constexpr double kMintedPart = 0.5;
/// The hoard beyond the burst is divided between two banks, which exist while a
/// failed one is replaced, the instances without and those with demand.
constexpr double kBankPart = 0.3;
constexpr double kReservePart = 0.3;
constexpr double kWorkingPart = 1 - 2 * kBankPart - kReservePart;
/// Bound of the times when the tolerance allows none.
constexpr Duration kMinTime = std::chrono::milliseconds(20);

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Duration
PartOf(Duration aTime, double aPart)
{
  const auto time = std::chrono::duration<double>(Seconds(aTime) * aPart);
  return std::max(std::chrono::duration_cast<Duration>(time), kMinTime);
}

}

QuotaTimes
QuotaTimesOf(Duration aWindow, double aExcess)
{
  return { PartOf(aWindow, kTransferPart * aExcess),
           PartOf(aWindow, kAdmissionPart * aExcess) };
}

QuotaShares
ShareQuota(const QuotaTerms& aTerms, size_t aInstances)
{
  QuotaShares shares;
  if (aInstances == 0) {
    return shares;
  }
  const auto n = static_cast<double>(aInstances);
  const auto window = Seconds(aTerms.mWindow);
  const auto rate = aTerms.mRatePerSecond;
  const auto burst = aTerms.mBurst;
  const auto times = QuotaTimesOf(aTerms.mWindow, aTerms.mExcess);
  const auto onTheWay = Seconds(2 * times.mTransfer + times.mAdmission);
  const auto counted = 1 + kUncountedPart * aTerms.mExcess;
  const auto bound =
    (rate * window + burst) * (1 + aTerms.mExcess) + aTerms.mSlack;
  const auto hoard = bound - (window + onTheWay) * rate * counted;
  const auto reserve = std::max(hoard / counted - burst, 0.0);
  shares.mMintPerSecond = rate / n;
  shares.mMintedStock = (kMintedPart * burst + kReservePart * reserve) / n;
  shares.mWorkingStock = (1 - kMintedPart) * burst + kWorkingPart * reserve;
  shares.mBankStock = kBankPart * reserve;
  shares.mMaxRate =
    rate * counted * (1 + onTheWay / DecayedRate::kTimeConstant) +
    std::max(hoard, burst) / DecayedRate::kTimeConstant;
  return shares;
}

}
