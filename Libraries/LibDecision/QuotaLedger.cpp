#include "LibDecision/QuotaLedger.h"

#include <algorithm>

namespace papayaline {

namespace {

/// An instance keeps tokens for its demand in this many seconds: two intervals
/// between two requests for more.
constexpr double kStockTime = 0.5;
/// An instance keeps one token at least, and what is lost of it while the
/// demand falls, when it expects an operation within four seconds.
constexpr double kMinTarget = 1.2;
constexpr double kMinDemand = 0.25;
/// Rounding of sums of fractions, which pass between instances as millionths.
constexpr double kEpsilon = 1e-5;

}

double
QuotaLedger::Bound(const Account& aAccount, Instant aNow)
{
  return aAccount.mShares.mMintedStock +
         aAccount.mShares.WorkingStockAt(aAccount.mAdmitted.PerSecond(aNow));
}

double
QuotaLedger::Target(const Account& aAccount, Instant aNow)
{
  const auto demand = aAccount.mDemand.PerSecond(aNow);
  const auto wanted =
    demand >= kMinDemand ? std::max(demand * kStockTime, kMinTarget) : 0;
  const auto target = std::min(wanted, Bound(aAccount, aNow));
  // Less than one token admits nothing here, but may elsewhere.
  return target >= 1 ? target : 0;
}

void
QuotaLedger::Mint(Account& aAccount, Instant aNow)
{
  const std::chrono::duration<double> time = aNow - aAccount.mMintedAt;
  aAccount.mMintedAt = aNow;
  aAccount.mStock =
    std::min(aAccount.mStock + aAccount.mShares.mMintPerSecond * time.count(),
             Bound(aAccount, aNow));
}

void
QuotaLedger::SetShares(const Shares& aShares, Instant aNow)
{
  std::erase_if(mAccounts,
                [&](const auto& it) { return !aShares.contains(it.first); });
  for (const auto& [name, shares] : aShares) {
    const auto [it, isNew] = mAccounts.try_emplace(name);
    auto& account = it->second;
    if (isNew) {
      account.mMintedAt = aNow;
    }
    Mint(account, aNow);
    account.mShares = shares;
    account.mStock = std::min(account.mStock, Bound(account, aNow));
  }
}

void
QuotaLedger::ObserveDemand(const std::string& aAccount, Instant aNow)
{
  mAccounts.at(aAccount).mDemand.Add(1, aNow);
}

bool
QuotaLedger::TryTake(const std::string& aAccount, Instant aNow)
{
  auto& account = mAccounts.at(aAccount);
  Mint(account, aNow);
  if (account.mStock < 1 - kEpsilon) {
    return false;
  }
  account.mStock = std::max(account.mStock - 1, 0.0);
  account.mAdmitted.Add(1, aNow);
  return true;
}

void
QuotaLedger::Add(const std::string& aAccount, double aTokens, Instant aNow)
{
  const auto it = mAccounts.find(aAccount);
  if (it != mAccounts.end()) {
    Mint(it->second, aNow);
    it->second.mStock =
      std::min(it->second.mStock + aTokens, Bound(it->second, aNow));
  }
}

size_t
QuotaLedger::Receive(const std::string& aAccount,
                     double aTokens,
                     size_t aWaiting,
                     Instant aNow)
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end()) {
    return 0;
  }
  auto& account = it->second;
  Mint(account, aNow);
  const auto tokens = account.mStock + aTokens;
  const auto admitted =
    std::min(aWaiting, static_cast<size_t>(tokens + kEpsilon));
  account.mAdmitted.Add(static_cast<double>(admitted), aNow);
  account.mStock = std::clamp(
    tokens - static_cast<double>(admitted), 0.0, Bound(account, aNow));
  return admitted;
}

double
QuotaLedger::Give(const std::string& aAccount, double aWanted, Instant aNow)
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end()) {
    return 0;
  }
  auto& account = it->second;
  Mint(account, aNow);
  const auto given =
    std::clamp(account.mStock - Target(account, aNow), 0.0, aWanted);
  account.mStock -= given;
  return given;
}

double
QuotaLedger::Stock(const std::string& aAccount, Instant aNow)
{
  auto& account = mAccounts.at(aAccount);
  Mint(account, aNow);
  return account.mStock;
}

double
QuotaLedger::ShortfallOf(const std::string& aAccount, Instant aNow)
{
  auto& account = mAccounts.at(aAccount);
  Mint(account, aNow);
  return std::max(Target(account, aNow) - account.mStock, 0.0);
}

std::vector<QuotaLedger::Shortfall>
QuotaLedger::Shortfalls(Instant aNow)
{
  std::vector<Shortfall> shortfalls;
  for (auto& [name, it] : mAccounts) {
    Mint(it, aNow);
    const auto target = Target(it, aNow);
    if (target > 0 && it.mStock < std::max(target / 2, 1.0)) {
      shortfalls.push_back({ name, target - it.mStock });
    }
  }
  return shortfalls;
}

}
