#include "LibDecision/AccountConnections.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace papayaline {

namespace {

/// Long enough to tell accounts apart that send a few statements a minute.
constexpr std::chrono::duration<double> kDemandTime(30);
/// Rates are not computed over less.
constexpr std::chrono::duration<double> kMinDemandTime(1);
/// Above this number of accounts, those whose uses count less are forgotten.
constexpr size_t kMaxAccounts = 1024;
constexpr double kMinCount = 0.01;
/// Waiting for a running connection costs its statement time; opening one costs
/// the same time and as much of a slot that other statements lack.
constexpr int kOpeningCost = 2;

/// The order in which accounts take the openings that a database bears.
auto
OpeningOrder(const AccountConnections& aConnections)
{
  return std::tuple(!aConnections.HasUsable(), aConnections.mWaiting);
}

bool
IsWaitShorterThanOpening(const AccountConnections& aOwn,
                         unsigned aLacking,
                         const ConnectionLimits& aLimits)
{
  return aOwn.mRunning > 0 &&
         aLimits.mAnswerTime * aLacking <=
           aLimits.mOpenTime * kOpeningCost * aOwn.mRunning;
}

/// The account whose idle connection is used least, or null.
const AccountConnections*
FindReplaceable(const std::string& aAccount,
                std::span<const AccountConnections> aAll,
                const ConnectionLimits& aLimits)
{
  const AccountConnections* least = nullptr;
  double leastRate = 0;
  for (const auto& it : aAll) {
    if (it.mAccount == aAccount || it.mIdle <= it.mWaiting ||
        it.mIdleTime < aLimits.mOpenTime) {
      continue;
    }
    const auto rate =
      ConnectionUseRate(it.mRate, aLimits.mAnswerTime, it.Total());
    if (!least || rate < leastRate) {
      least = &it;
      leastRate = rate;
    }
  }
  return least;
}

}

void
AccountDemand::Observe(const std::string& aAccount, Instant aNow)
{
  mSince = mSince.value_or(aNow);
  if (mUses.size() >= kMaxAccounts) {
    Prune(aNow);
  }
  auto& uses = mUses[aAccount];
  uses.mCount = CountAt(uses, aNow) + 1;
  uses.mAt = aNow;
}

double
AccountDemand::CountAt(const Uses& aUses, Instant aNow)
{
  const std::chrono::duration<double> age = aNow - aUses.mAt;
  return aUses.mCount * std::exp(-age / kDemandTime);
}

double
AccountDemand::Rate(const std::string& aAccount, Instant aNow) const
{
  const auto it = mUses.find(aAccount);
  if (it == mUses.end()) {
    return 0;
  }
  const auto observed = std::clamp<std::chrono::duration<double>>(
    aNow - *mSince, kMinDemandTime, kDemandTime);
  return CountAt(it->second, aNow) / observed.count();
}

void
AccountDemand::Prune(Instant aNow)
{
  std::erase_if(mUses, [aNow](const auto& it) {
    return CountAt(it.second, aNow) < kMinCount;
  });
}

double
ConnectionUseRate(double aRate, Duration aAnswerTime, unsigned aConnections)
{
  const auto load = aRate * std::chrono::duration<double>(aAnswerTime).count();
  double blocked = 1;
  for (unsigned n = 1; n < aConnections; ++n) {
    blocked = load * blocked / (n + load * blocked);
  }
  return aRate * blocked;
}

ConnectionChoice
ChooseConnection(const std::string& aAccount,
                 unsigned aPosition,
                 std::span<const AccountConnections> aAll,
                 const ConnectionLimits& aLimits)
{
  const auto found =
    std::ranges::find(aAll, aAccount, &AccountConnections::mAccount);
  const auto own =
    found != aAll.end() ? *found : AccountConnections{ .mAccount = aAccount };
  if (aPosition <= own.mIdle + own.mOpening) {
    return { ConnectionVerdict::WaitForOpening, {} };
  }
  const auto lacking = aPosition - own.mIdle - own.mOpening;
  if (IsWaitShorterThanOpening(own, lacking, aLimits)) {
    return { ConnectionVerdict::WaitForOwn, {} };
  }
  const auto ahead = std::ranges::count_if(aAll, [&](const auto& it) {
    return it.mWaiting > it.mIdle + it.mOpening &&
           OpeningOrder(it) > OpeningOrder(own);
  });
  if (aLimits.mOpenings + ahead >= aLimits.mMaxOpenings) {
    return { ConnectionVerdict::WaitForOpeningSlot, {} };
  }
  if (aLimits.mTotal < aLimits.mAllowance) {
    return { ConnectionVerdict::Open, {} };
  }
  const auto* least = FindReplaceable(aAccount, aAll, aLimits);
  if (!least) {
    return { ConnectionVerdict::WaitForOther, {} };
  }
  const auto total = own.Total() + 1;
  const bool mayTake =
    !own.HasUsable() ||
    (total * 2 <= aLimits.mAllowance &&
     ConnectionUseRate(own.mRate, aLimits.mAnswerTime, total) >
       ConnectionUseRate(least->mRate, aLimits.mAnswerTime, least->Total()));
  if (!mayTake) {
    return { ConnectionVerdict::WaitForOther, {} };
  }
  return { ConnectionVerdict::Replace, least->mAccount };
}

}
