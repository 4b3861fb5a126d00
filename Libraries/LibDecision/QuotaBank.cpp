#include "LibDecision/QuotaBank.h"

#include <algorithm>
#include <cmath>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

/// A bank that no instance asks for this long gives up its tokens: several
/// times the interval between two requests of an instance with demand.
constexpr Duration kIdleTime = 2s;
/// In this time, each instance is asked once.
constexpr Duration kRoundTime = 1s;
/// While operations wait, an instance is asked again for an account after this
/// time.
constexpr Duration kUrgentInterval = 100ms;
/// How long an account counts as limited after a refusal. Meanwhile requests
/// are paid from the stock or refused at once.
constexpr Duration kLimitedTime = 1s;
/// Operations wait for this time before the first refusal: some tens of
/// milliseconds, in which instances mint more.
constexpr Duration kShortTime = 60ms;
/// A bank keeps tokens for its payments of this time, and a few in addition for
/// accounts with rare operations.
constexpr double kStockTime = 0.3;
constexpr double kMinStock = 5;
/// Instances may give more than is expected of them.
constexpr double kFilledPart = 0.75;
/// The part of a token's transfer time that a request waits for collections, so
/// that its answer arrives in time.
constexpr int kWaitPart = 5;
/// Bounds of the time after which a refused instance asks again.
constexpr auto kMinRetryAfter = 150ms;
constexpr auto kMaxRetryAfter = 1000ms;
/// Rounding of sums of fractions.
constexpr double kEpsilon = 1e-6;

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

}

void
QuotaBank::SetShares(const std::map<std::string, QuotaShares>& aShares)
{
  std::erase_if(mAccounts,
                [&](const auto& it) { return !aShares.contains(it.first); });
  for (auto& request : mRequests) {
    for (auto& it : request.mItems) {
      it.mNeeded = aShares.contains(it.mPayout.mAccount) ? it.mNeeded : 0;
    }
  }
  for (const auto& [name, shares] : aShares) {
    auto& account = mAccounts[name];
    account.mShares = shares;
    account.mStock = std::min(account.mStock, shares.mBankStock);
    account.mAskedAt.resize(mInstances.size());
  }
}

void
QuotaBank::SetInstances(const std::vector<std::string>& aInstances)
{
  for (auto& [name, it] : mAccounts) {
    std::vector<Instant> askedAt(aInstances.size());
    for (size_t n = 0; n < aInstances.size(); ++n) {
      const auto old = std::ranges::find(mInstances, aInstances[n]);
      if (old != mInstances.end()) {
        askedAt[n] = it.mAskedAt[static_cast<size_t>(old - mInstances.begin())];
      }
    }
    it.mAskedAt = std::move(askedAt);
  }
  mInstances = aInstances;
  mNextInstance = 0;
}

bool
QuotaBank::IsInUse(Instant aNow) const
{
  return mLastRequestAt && aNow - *mLastRequestAt < kIdleTime;
}

void
QuotaBank::Withdraw(uint64_t aRequest,
                    const std::vector<QuotaDemand>& aDemands,
                    Instant aNow)
{
  mLastRequestAt = aNow;
  Request request{ aRequest, aNow, {} };
  for (const auto& it : aDemands) {
    Item item;
    item.mPayout.mAccount = it.mAccount;
    item.mNeeded = it.mNeeded;
    const auto account = mAccounts.find(it.mAccount);
    if (account == mAccounts.end()) {
      // The configuration that names the account has not arrived here.
      item.mNeeded = 0;
    } else {
      // Operations that already wait go first.
      const bool isShort = Needs().contains(it.mAccount);
      const auto paid =
        isShort ? 0 : std::min(it.mWanted, account->second.mStock);
      account->second.mStock -= paid;
      account->second.mPaid.Add(std::max(it.mWanted, it.mNeeded), aNow);
      item.mPayout.mTokens = paid;
      item.mNeeded = std::max(it.mNeeded - paid, 0.0);
    }
    request.mItems.push_back(std::move(item));
  }
  mRequests.push_back(std::move(request));
}

std::map<std::string, double>
QuotaBank::Needs() const
{
  std::map<std::string, double> needs;
  for (const auto& request : mRequests) {
    for (const auto& it : request.mItems) {
      if (it.mNeeded > kEpsilon && !it.mIsDenied) {
        needs[it.mPayout.mAccount] += it.mNeeded;
      }
    }
  }
  return needs;
}

void
QuotaBank::OnCollected(uint64_t aCollection,
                       const std::vector<QuotaPayout>& aPayouts,
                       Instant aNow)
{
  const auto pending = mPending.find(aCollection);
  if (pending == mPending.end()) {
    return;
  }
  const bool isExpired = aNow - pending->second.mSentAt >= mTimes.mTransfer;
  Close(pending->second);
  mPending.erase(pending);
  if (isExpired) {
    return;
  }
  for (const auto& it : aPayouts) {
    const auto account = mAccounts.find(it.mAccount);
    if (account != mAccounts.end()) {
      account->second.mStock += it.mTokens;
    }
  }
  Pay();
  for (auto& [name, it] : mAccounts) {
    it.mStock = std::min(it.mStock, it.mShares.mBankStock);
  }
}

void
QuotaBank::OnCollectionLost(uint64_t aCollection)
{
  const auto pending = mPending.find(aCollection);
  if (pending != mPending.end()) {
    Close(pending->second);
    mPending.erase(pending);
  }
}

void
QuotaBank::Close(const PendingCollection& aCollection)
{
  for (const auto& [name, expected] : aCollection.mExpected) {
    const auto account = mAccounts.find(name);
    if (account != mAccounts.end()) {
      account->second.mExpected =
        std::max(account->second.mExpected - expected, 0.0);
    }
  }
}

void
QuotaBank::ExpireCollections(Instant aNow)
{
  std::erase_if(mPending, [&](const auto& it) {
    const bool isExpired = aNow - it.second.mSentAt >= mTimes.mTransfer;
    if (isExpired) {
      Close(it.second);
    }
    return isExpired;
  });
}

/// Pays what waiting operations need, in the order of their requests.
void
QuotaBank::Pay()
{
  for (auto& request : mRequests) {
    for (auto& it : request.mItems) {
      const auto account = mAccounts.find(it.mPayout.mAccount);
      if (it.mNeeded <= 0 || it.mIsDenied || account == mAccounts.end()) {
        continue;
      }
      const auto paid = std::min(it.mNeeded, account->second.mStock);
      account->second.mStock -= paid;
      it.mPayout.mTokens += paid;
      it.mNeeded -= paid;
    }
  }
}

double
QuotaBank::Target(const Account& aAccount, Instant aNow)
{
  return std::min(aAccount.mPaid.PerSecond(aNow) * kStockTime + kMinStock,
                  aAccount.mShares.mBankStock * kFilledPart);
}

bool
QuotaBank::IsLimited(const Account& aAccount, Instant aNow)
{
  return aAccount.mDeniedAt && aNow - *aAccount.mDeniedAt < kLimitedTime &&
         aAccount.mStock < Target(aAccount, aNow);
}

/// What an instance is expected to give if it has no demand.
double
QuotaBank::YieldOf(const Account& aAccount, size_t aIndex, Instant aNow) const
{
  const auto& shares = aAccount.mShares;
  return std::min(shares.mMintPerSecond *
                    Seconds(aNow - aAccount.mAskedAt[aIndex]),
                  shares.mMintedStock);
}

double
QuotaBank::Prospect(const Account& aAccount, Instant aNow) const
{
  double sum = 0;
  for (size_t n = 0; n < mInstances.size(); ++n) {
    if (aNow - aAccount.mAskedAt[n] >= kUrgentInterval) {
      sum += YieldOf(aAccount, n, aNow);
    }
  }
  return sum;
}

/// How many instances are asked now although no operation waits: all of them in
/// each round.
size_t
QuotaBank::RoundVisits(Instant aNow)
{
  const auto time = std::min<Duration>(aNow - mVisitedAt, kRoundTime);
  const auto n =
    static_cast<Duration::rep>(mInstances.size()) * time / kRoundTime;
  if (n > 0) {
    mVisitedAt = aNow;
  }
  return static_cast<size_t>(n);
}

/// Every instance that is asked is asked for all accounts that lack tokens, so
/// that the number of requests does not grow with the number of accounts.
std::vector<QuotaBank::Collection>
QuotaBank::TakeCollections(Instant aNow)
{
  ExpireCollections(aNow);
  if (!IsInUse(aNow)) {
    for (auto& [name, it] : mAccounts) {
      it.mStock = 0;
    }
    return {};
  }
  struct Gap
  {
    const std::string* mName;
    Account* mAccount;
    double mMissing;
    double mUrgent;
  };
  std::vector<Gap> gaps;
  const auto needs = Needs();
  for (auto& [name, it] : mAccounts) {
    const auto need = needs.find(name);
    const auto needed = need != needs.end() ? need->second : 0;
    const auto held = it.mStock + it.mExpected;
    const auto missing = Target(it, aNow) + needed - held;
    if (missing > 0) {
      const auto urgent = IsLimited(it, aNow) ? 0 : needed - held;
      gaps.push_back({ &name, &it, missing, urgent });
    }
  }
  const auto isUrgent = [](const Gap& it) { return it.mUrgent > kEpsilon; };
  const auto visits = RoundVisits(aNow);
  std::vector<Collection> collections;
  for (size_t n = 0; n < mInstances.size(); ++n) {
    const bool isInRound = n < visits;
    if (gaps.empty() || (!isInRound && std::ranges::none_of(gaps, isUrgent))) {
      break;
    }
    const auto at = (mNextInstance + n) % mInstances.size();
    const bool isUseful =
      isInRound || std::ranges::any_of(gaps, [&](const auto& it) {
        return isUrgent(it) &&
               aNow - it.mAccount->mAskedAt[at] >= kUrgentInterval;
      });
    if (!isUseful) {
      continue;
    }
    Collection collection{ ++mLastCollection, mInstances[at], {} };
    auto& pending = mPending[collection.mId];
    pending.mSentAt = aNow;
    for (auto& it : gaps) {
      const auto yield = YieldOf(*it.mAccount, at, aNow);
      collection.mDemands.push_back({ *it.mName, it.mMissing, 0 });
      it.mAccount->mAskedAt[at] = aNow;
      it.mAccount->mExpected += yield;
      pending.mExpected[*it.mName] = yield;
      it.mMissing -= yield;
      it.mUrgent -= yield;
    }
    std::erase_if(gaps, [](const auto& it) { return it.mMissing <= kEpsilon; });
    collections.push_back(std::move(collection));
  }
  mNextInstance = mInstances.empty()
                    ? 0
                    : (mNextInstance + collections.size()) % mInstances.size();
  return collections;
}

/// Whether the account's operations are refused, since the tokens that they
/// need are not expected.
bool
QuotaBank::IsShort(Account& aAccount, bool aIsExpected, Instant aNow)
{
  if (IsLimited(aAccount, aNow)) {
    return true;
  }
  if (aIsExpected) {
    aAccount.mShortSince.reset();
    return false;
  }
  if (!aAccount.mShortSince || aNow - *aAccount.mShortSince >= 2 * kShortTime) {
    aAccount.mShortSince = aNow;
  }
  return aNow - *aAccount.mShortSince >= kShortTime;
}

/// Takes back the part of a token that admits no operation.
void
QuotaBank::Refund(Item& aItem)
{
  const auto account = mAccounts.find(aItem.mPayout.mAccount);
  if (aItem.mNeeded <= kEpsilon || aItem.mIsDenied ||
      account == mAccounts.end()) {
    return;
  }
  auto& paid = aItem.mPayout.mTokens;
  const auto kept =
    std::max(paid + aItem.mNeeded - std::ceil(aItem.mNeeded), 0.0);
  account->second.mStock += paid - std::min(kept, paid);
  paid = std::min(kept, paid);
}

/// Refuses what no instance is expected to have.
void
QuotaBank::Deny(Instant aNow)
{
  for (const auto& [name, need] : Needs()) {
    auto& account = mAccounts.at(name);
    const bool isExpected =
      account.mStock + account.mExpected + Prospect(account, aNow) >=
      need - kEpsilon;
    if (!IsShort(account, isExpected, aNow)) {
      continue;
    }
    // A refusal in that time does not prolong it, so that all instances are
    // asked again.
    if (!IsLimited(account, aNow)) {
      account.mDeniedAt = aNow;
    }
    const auto rate =
      account.mShares.mMintPerSecond * static_cast<double>(mInstances.size());
    const auto wait =
      rate > 0 ? std::chrono::ceil<std::chrono::milliseconds>(
                   std::chrono::duration<double>(std::min(1 / rate, 1.0)))
               : kMaxRetryAfter;
    for (auto& request : mRequests) {
      for (auto& it : request.mItems) {
        if (it.mPayout.mAccount == name && it.mNeeded > kEpsilon) {
          Refund(it);
          it.mIsDenied = true;
          it.mPayout.mRetryAfter = std::clamp<std::chrono::milliseconds>(
            wait, kMinRetryAfter, kMaxRetryAfter);
        }
      }
    }
  }
}

std::vector<QuotaBank::Answer>
QuotaBank::TakeAnswers(Instant aNow)
{
  Deny(aNow);
  std::vector<Answer> answers;
  std::erase_if(mRequests, [&](Request& aRequest) {
    const bool isOpen =
      std::ranges::any_of(aRequest.mItems, [](const auto& it) {
        return it.mNeeded > kEpsilon && !it.mIsDenied;
      });
    if (isOpen && aNow - aRequest.mArrivedAt < mTimes.mTransfer / kWaitPart) {
      return false;
    }
    if (isOpen) {
      std::ranges::for_each(aRequest.mItems, [&](auto& it) { Refund(it); });
    }
    Answer answer{ aRequest.mId, {} };
    std::ranges::transform(
      aRequest.mItems, std::back_inserter(answer.mPayouts), &Item::mPayout);
    answers.push_back(std::move(answer));
    return true;
  });
  return answers;
}

}
