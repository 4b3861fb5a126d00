#include "LibPeer/QuotaExchange.h"

#include <algorithm>
#include <utility>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

/// Between two requests for more tokens of all accounts that run low; half the
/// time that the stocks of an instance are meant to last.
constexpr Duration kTopUpInterval = 250ms;
/// The part of a token's transfer time after which the next bank is asked. More
/// than a bank waits for its collections.
constexpr double kAttemptPart = 0.4;
/// The part of a stock that is still there when the answer arrives, since the
/// bound of a stock falls with the demand.
constexpr double kLastingPart = 0.9;
/// How long a bank that did not answer is passed over.
constexpr Duration kSuspicionTime = 300ms;
/// An account stops counting as limited after this time without a refusal.
constexpr Duration kLimitedTime = 10s;
/// After a refusal for want of a bank.
constexpr Duration kNoBankDelay = 150ms;
constexpr Duration kMinBankLogInterval = 1s;
constexpr Duration kIntroductionInterval = 1s;
const std::string kBankKey = "quota bank";

}

QuotaExchange::QuotaExchange(std::string aInstance,
                             QuotaTolerance aTolerance,
                             PeerPool& aPeers,
                             PeerPool::Clock aClock,
                             PeerPool::LogSink aLog)
  : mInstance(std::move(aInstance))
  , mTolerance(aTolerance)
  , mTimes(QuotaTimesOf(aTolerance.mWindow, aTolerance.mExcess))
  , mPeers(aPeers)
  , mClock(std::move(aClock))
  , mLog(std::move(aLog))
  , mBank(mTimes)
{
}

QuotaExchange::~QuotaExchange() = default;

void
QuotaExchange::Configure(std::shared_ptr<const ClientAccounts> aAccounts)
{
  if (aAccounts != mAccountTable) {
    mAccountTable = std::move(aAccounts);
    ApplyShares();
  }
}

void
QuotaExchange::SetFleet(const std::vector<InstanceInfo>& aInstances,
                        StartListing aStart)
{
  const bool includesSelf =
    std::ranges::find(aInstances, mInstance, &InstanceInfo::mName) !=
    aInstances.end();
  mMembership.ObserveList(aInstances.size(), includesSelf, aStart, mClock());
  auto order = RendezvousOrder(kBankKey, aInstances);
  if (order != mOrder) {
    mOrder = std::move(order);
    std::vector<std::string> names;
    std::ranges::transform(
      mOrder, std::back_inserter(names), &InstanceInfo::mName);
    mBank.SetInstances(names);
  }
  ApplyShares();
}

void
QuotaExchange::ApplyShares()
{
  const auto now = mClock();
  mShareCount = mMembership.Count(now);
  mIsMinting = mMembership.MayMint(now);
  QuotaLedger::Shares shares;
  if (mAccountTable) {
    for (const auto& it : mAccountTable->All()) {
      if (it.mQuota) {
        shares[it.mName] = ShareQuota({ it.mQuota->mRatePerSecond,
                                        it.mQuota->mBurst,
                                        mTolerance.mWindow,
                                        mTolerance.mExcess,
                                        mTolerance.mSlack },
                                      mShareCount);
      }
    }
  }
  mBank.SetShares(shares);
  if (!mIsMinting) {
    for (auto& [name, it] : shares) {
      it.mMintPerSecond = 0;
    }
  }
  mLedger.SetShares(shares, now);
  // Operations of accounts that are no longer limited need not wait.
  std::vector<WaitingOperation> admitted;
  std::erase_if(mAccounts, [&](auto& it) {
    const bool isGone = !mLedger.IsLimited(it.first);
    if (isGone) {
      std::ranges::move(it.second.mWaiting, std::back_inserter(admitted));
    }
    return isGone;
  });
  std::ranges::for_each(admitted,
                        [](auto& it) { it.mHandler(QuotaVerdict::Admitted); });
}

void
QuotaExchange::Admit(const std::string& aAccount, Handler aHandler)
{
  const auto now = mClock();
  if (!mLedger.IsLimited(aAccount)) {
    aHandler(QuotaVerdict::Admitted);
    return;
  }
  auto& account = mAccounts[aAccount];
  mLedger.ObserveDemand(aAccount, now);
  if (account.mWaiting.empty() && mLedger.TryTake(aAccount, now)) {
    ++account.mAdmitted;
    ++mCounts.mAdmitted;
    aHandler(QuotaVerdict::Admitted);
    return;
  }
  if (now < account.mRefusedUntil) {
    CountRefusal(aAccount, account);
    aHandler(QuotaVerdict::Exceeded);
    return;
  }
  account.mWaiting.push_back({ std::move(aHandler), now + mTimes.mTransfer });
  if (account.mWithdrawal == 0) {
    RequestTokens(aAccount);
  }
}

void
QuotaExchange::Return(const std::string& aAccount)
{
  mLedger.Add(aAccount, 1, mClock());
}

void
QuotaExchange::CountRefusal(const std::string& aName, Account& aAccount)
{
  ++aAccount.mRefused;
  ++mCounts.mRefused;
  if (!aAccount.mLimitedAt) {
    mLog("quota.limited",
         { { "account", aName },
           { "bank", mCurrentBank },
           { "instances", std::to_string(mShareCount) } });
  }
  aAccount.mLimitedAt = mClock();
}

/// Refuses the operations that wait now.
void
QuotaExchange::RefuseWaiting(const std::string& aName, Account& aAccount)
{
  const auto waiting = std::exchange(aAccount.mWaiting, {});
  for (size_t n = 0; n < waiting.size(); ++n) {
    CountRefusal(aName, aAccount);
  }
  std::ranges::for_each(
    waiting, [](const auto& it) { it.mHandler(QuotaVerdict::Exceeded); });
}

/// The first usable instance of the order.
std::optional<std::string>
QuotaExchange::ChooseBank()
{
  const auto now = mClock();
  const auto bank = std::ranges::find_if(mOrder, [&](const auto& it) {
    if (it.mName == mInstance) {
      return true;
    }
    const auto suspicion = mSuspectedUntil.find(it.mName);
    const bool isSuspected =
      suspicion != mSuspectedUntil.end() && now < suspicion->second;
    return !isSuspected && mPeers.IsUsable(it.mName) &&
           mPeers.FeatureLevelOf(it.mName).value_or(1) >= 1;
  });
  if (bank == mOrder.end()) {
    return std::nullopt;
  }
  if (bank->mName != mCurrentBank &&
      now - mBankLoggedAt >= kMinBankLogInterval) {
    mLog("quota.bank", { { "bank", bank->mName }, { "before", mCurrentBank } });
    mBankLoggedAt = now;
  }
  mCurrentBank = bank->mName;
  return bank->mName;
}

void
QuotaExchange::Suspect(const std::string& aBank)
{
  if (aBank != mInstance) {
    mSuspectedUntil[aBank] = mClock() + kSuspicionTime;
  }
}

/// Asks the bank for the tokens that the waiting operations of an account need,
/// and for those of all accounts that run low. aUrgentAccount may be empty.
void
QuotaExchange::RequestTokens(const std::string& aUrgentAccount)
{
  const auto now = mClock();
  std::vector<QuotaDemand> demands;
  if (!aUrgentAccount.empty()) {
    const auto waiting =
      static_cast<double>(mAccounts.at(aUrgentAccount).mWaiting.size());
    const auto needed = std::max(
      waiting - kLastingPart * mLedger.Stock(aUrgentAccount, now), 0.0);
    demands.push_back({ aUrgentAccount,
                        needed + mLedger.ShortfallOf(aUrgentAccount, now),
                        needed });
  }
  for (const auto& it : mLedger.Shortfalls(now)) {
    const auto& account = mAccounts[it.mAccount];
    if (it.mAccount != aUrgentAccount && account.mWithdrawal == 0 &&
        now >= account.mRefusedUntil) {
      demands.push_back({ it.mAccount, it.mTokens, 0 });
    }
  }
  if (demands.empty()) {
    return;
  }
  if (const auto bank = ChooseBank()) {
    Send(*bank, std::move(demands));
  } else if (!aUrgentAccount.empty()) {
    auto& account = mAccounts.at(aUrgentAccount);
    account.mRefusedUntil = now + kNoBankDelay;
    RefuseWaiting(aUrgentAccount, account);
  }
}

void
QuotaExchange::Send(const std::string& aBank, std::vector<QuotaDemand> aDemands)
{
  const auto id = ++mLastId;
  for (const auto& it : aDemands) {
    mAccounts[it.mAccount].mWithdrawal = id;
  }
  mWithdrawals[id] = { aBank, mClock(), aDemands };
  QuotaRequest request;
  request.mPurpose = QuotaPurpose::Withdraw;
  request.mInstances = mMembership.Listed();
  request.mDemands = std::move(aDemands);
  if (aBank == mInstance) {
    mIsServingSelf = true;
    ServeQuota(request, [this, id](const QuotaAnswer& aAnswer) {
      OnWithdrawn(id, aAnswer);
    });
    mIsServingSelf = false;
    return;
  }
  ++mCounts.mWithdrawals;
  mPeers.AskQuota(
    aBank,
    std::move(request),
    [this, id, lifetime = std::weak_ptr(mLifetime)](const auto& aAnswer) {
      if (!lifetime.expired()) {
        OnWithdrawn(id, aAnswer);
      }
    });
}

/// A new instance tells the bank what it has listed, without a demand, until it
/// mints; the bank tells all others.
void
QuotaExchange::Introduce(Instant aNow)
{
  if (mIsMinting || mMembership.Listed() == 0 || aNow < mNextIntroductionAt) {
    return;
  }
  mNextIntroductionAt = aNow + kIntroductionInterval;
  const auto bank = ChooseBank();
  if (bank && *bank != mInstance) {
    Send(*bank, {});
  }
}

/// Lets the accounts of a withdrawal request tokens again.
void
QuotaExchange::EndWithdrawal(uint64_t aId)
{
  for (const auto& it : mWithdrawals.at(aId).mDemands) {
    const auto account = mAccounts.find(it.mAccount);
    if (account != mAccounts.end() && account->second.mWithdrawal == aId) {
      account->second.mWithdrawal = 0;
    }
  }
}

void
QuotaExchange::OnWithdrawn(uint64_t aId, const Result<QuotaAnswer>& aAnswer)
{
  const auto it = mWithdrawals.find(aId);
  if (it == mWithdrawals.end()) {
    return;
  }
  const auto now = mClock();
  const auto withdrawal = it->second;
  EndWithdrawal(aId);
  mWithdrawals.erase(it);
  if (aAnswer.IsError()) {
    Suspect(withdrawal.mBank);
  } else {
    const auto& answer = aAnswer.Value();
    if (withdrawal.mBank != mInstance) {
      mSuspectedUntil.erase(withdrawal.mBank);
      mMembership.ObserveCount(answer.mInstances, now);
    }
    if (now - withdrawal.mSentAt < mTimes.mTransfer) {
      for (const auto& payout : answer.mPayouts) {
        OnPayout(payout);
      }
      return;
    }
  }
  for (const auto& demand : withdrawal.mDemands) {
    const auto account = mAccounts.find(demand.mAccount);
    if (account != mAccounts.end() && !account->second.mWaiting.empty() &&
        account->second.mWithdrawal == 0) {
      RequestTokens(demand.mAccount);
    }
  }
}

void
QuotaExchange::OnPayout(const QuotaPayout& aPayout)
{
  const auto now = mClock();
  const auto it = mAccounts.find(aPayout.mAccount);
  if (it == mAccounts.end()) {
    return;
  }
  auto& account = it->second;
  const auto n = mLedger.Receive(
    aPayout.mAccount, aPayout.mTokens, account.mWaiting.size(), now);
  std::vector<Handler> admitted;
  for (size_t i = 0; i < n; ++i) {
    admitted.push_back(std::move(account.mWaiting.front().mHandler));
    account.mWaiting.pop_front();
  }
  account.mAdmitted += n;
  mCounts.mAdmitted += n;
  if (aPayout.mRetryAfter > 0ms) {
    account.mRefusedUntil = now + aPayout.mRetryAfter;
    RefuseWaiting(aPayout.mAccount, account);
  }
  std::ranges::for_each(admitted,
                        [](const auto& it) { it(QuotaVerdict::Admitted); });
}

void
QuotaExchange::ServeQuota(const QuotaRequest& aRequest, AnswerHandler aHandler)
{
  const auto now = mClock();
  if (aRequest.mPurpose == QuotaPurpose::Collect) {
    mMembership.ObserveCount(aRequest.mInstances, now);
    aHandler(GiveSpare(aRequest));
    return;
  }
  if (!mIsServingSelf) {
    mMembership.ObserveListedByPeer(aRequest.mInstances, now);
  }
  const auto id = ++mLastId;
  mServed[id] = [call = aRequest.mCall,
                 handler = std::move(aHandler)](const QuotaAnswer& aAnswer) {
    auto answer = aAnswer;
    answer.mCall = call;
    handler(answer);
  };
  mBank.Withdraw(id, aRequest.mDemands, now);
  RunBank();
}

/// Gives tokens that no operation waits for here.
QuotaAnswer
QuotaExchange::GiveSpare(const QuotaRequest& aRequest)
{
  const auto now = mClock();
  QuotaAnswer answer{ aRequest.mCall, mMembership.Listed(), {} };
  for (const auto& it : aRequest.mDemands) {
    const auto account = mAccounts.find(it.mAccount);
    if (account != mAccounts.end() && !account->second.mWaiting.empty()) {
      continue;
    }
    const auto tokens = mLedger.Give(it.mAccount, it.mWanted, now);
    if (tokens > 0) {
      answer.mPayouts.push_back({ it.mAccount, tokens, 0ms });
      mCounts.mTokensLent += tokens;
    }
  }
  return answer;
}

/// An answer of the bank may cause further requests to it.
void
QuotaExchange::RunBank()
{
  if (mIsBankRunning) {
    mIsBankDue = true;
    return;
  }
  mIsBankRunning = true;
  do {
    mIsBankDue = false;
    RunBankOnce();
  } while (mIsBankDue);
  mIsBankRunning = false;
}

void
QuotaExchange::RunBankOnce()
{
  const auto now = mClock();
  for (auto& it : mBank.TakeCollections(now)) {
    QuotaRequest request;
    request.mPurpose = QuotaPurpose::Collect;
    request.mInstances = mMembership.Told(now);
    request.mDemands = std::move(it.mDemands);
    if (it.mInstance == mInstance) {
      mBank.OnCollected(it.mId, GiveSpare(request).mPayouts, now);
    } else if (!mPeers.IsUsable(it.mInstance) ||
               mPeers.FeatureLevelOf(it.mInstance).value_or(1) < 1) {
      mBank.OnCollectionLost(it.mId);
    } else {
      ++mCounts.mCollections;
      mPeers.AskQuota(
        it.mInstance,
        std::move(request),
        [this, id = it.mId, lifetime = std::weak_ptr(mLifetime)](
          const Result<QuotaAnswer>& aAnswer) {
          if (lifetime.expired()) {
            return;
          }
          if (aAnswer.IsError()) {
            mBank.OnCollectionLost(id);
          } else {
            mMembership.ObserveListedByPeer(aAnswer.Value().mInstances,
                                            mClock());
            mBank.OnCollected(id, aAnswer.Value().mPayouts, mClock());
          }
          RunBank();
        });
    }
  }
  for (const auto& it : mBank.TakeAnswers(now)) {
    const auto served = mServed.find(it.mRequest);
    const auto handler = std::move(served->second);
    mServed.erase(served);
    handler({ 0, mMembership.Told(now), it.mPayouts });
  }
}

/// Lets the next bank be asked when one does not answer. Its answer may still
/// arrive while the tokens are valid.
void
QuotaExchange::ExpireWithdrawals(Instant aNow)
{
  std::erase_if(mWithdrawals, [&](const auto& it) {
    const auto age = aNow - it.second.mSentAt;
    const bool isOverdue = age >= std::chrono::duration_cast<Duration>(
                                    mTimes.mTransfer * kAttemptPart);
    if (isOverdue) {
      EndWithdrawal(it.first);
      if (!mSuspectedUntil.contains(it.second.mBank)) {
        Suspect(it.second.mBank);
      }
    }
    return age >= mTimes.mTransfer;
  });
  std::erase_if(mSuspectedUntil,
                [&](const auto& it) { return aNow >= it.second; });
}

void
QuotaExchange::ExpireOperations(Instant aNow)
{
  std::vector<std::string> waiting;
  std::vector<Handler> refused;
  for (auto& [name, it] : mAccounts) {
    while (!it.mWaiting.empty() && aNow >= it.mWaiting.front().mDeadline) {
      CountRefusal(name, it);
      refused.push_back(std::move(it.mWaiting.front().mHandler));
      it.mWaiting.pop_front();
    }
    if (!it.mWaiting.empty() && it.mWithdrawal == 0) {
      waiting.push_back(name);
    }
    if (it.mLimitedAt && aNow - *it.mLimitedAt >= kLimitedTime) {
      mLog("quota.unlimited", { { "account", name } });
      it.mLimitedAt.reset();
    }
  }
  std::ranges::for_each(refused,
                        [](const auto& it) { it(QuotaVerdict::Exceeded); });
  for (const auto& name : waiting) {
    const auto it = mAccounts.find(name);
    if (it != mAccounts.end() && !it->second.mWaiting.empty() &&
        it->second.mWithdrawal == 0) {
      RequestTokens(name);
    }
  }
}

void
QuotaExchange::Tick()
{
  const auto now = mClock();
  if (mMembership.Count(now) != mShareCount ||
      mMembership.MayMint(now) != mIsMinting) {
    ApplyShares();
  }
  ExpireWithdrawals(now);
  ExpireOperations(now);
  if (now >= mNextTopUpAt) {
    mNextTopUpAt = now + kTopUpInterval;
    RequestTokens({});
    Introduce(now);
  }
  if (mBank.IsInUse(now) || mBank.HasRequests()) {
    RunBank();
  } else {
    mBank.TakeCollections(now);
  }
}

std::vector<QuotaAccountCounts>
QuotaExchange::LargestAccounts(size_t aCount) const
{
  std::vector<QuotaAccountCounts> counts;
  for (const auto& [name, it] : mAccounts) {
    counts.push_back({ name, it.mAdmitted, it.mRefused });
  }
  std::ranges::sort(counts, std::greater{}, [](const auto& it) {
    return it.mAdmitted + it.mRefused;
  });
  if (counts.size() <= aCount) {
    return counts;
  }
  QuotaAccountCounts other{ "other", 0, 0 };
  for (size_t n = aCount; n < counts.size(); ++n) {
    other.mAdmitted += counts[n].mAdmitted;
    other.mRefused += counts[n].mRefused;
  }
  counts.resize(aCount);
  counts.push_back(other);
  return counts;
}

}
