#include "AccountCheck.h"

#include <QByteArrayList>

#include <algorithm>
#include <utility>

namespace papayaline {

namespace {

constexpr const char kKeyPrefix[] = "secret-of-";

}

AccountCheck::AccountCheck(int aAccounts)
  : mAccounts(aAccounts)
{
  mClock.start();
}

std::string
AccountCheck::AccountOf(int aCaller) const
{
  return HasAccounts() ? "account-" + std::to_string(aCaller % mAccounts) : "";
}

QByteArray
AccountCheck::KeyOf(int aCaller)
{
  return kKeyPrefix + QByteArray::number(aCaller);
}

AccountCheck::Quota
AccountCheck::QuotaOf(int aAccount) const
{
  return aAccount == 0 ? Quota{ 10, 10 } : Quota{ 1000, 1000 };
}

void
AccountCheck::SetKeyHeld(int aCaller, bool aIsHeld)
{
  if (aIsHeld) {
    mTakenAt.erase(aCaller);
  } else {
    mTakenAt.emplace(aCaller, mClock.elapsed());
  }
}

void
AccountCheck::OnSent(const std::string& aRequest, int aCaller)
{
  mRequests[aRequest] = { aCaller, mClock.elapsed() };
}

void
AccountCheck::OnLine(const std::string& aAccount, const QByteArray& aLine)
{
  if (!HasAccounts()) {
    return;
  }
  if (aLine.contains(kKeyPrefix)) {
    mViolations.push_back("a database received a key: " + aLine.toStdString());
  }
  const auto words = aLine.split(' ');
  const auto it = mRequests.find(words.value(1).toStdString());
  if (words[0] != "QUERY" || it == mRequests.end()) {
    return;
  }
  auto& [caller, sentAt, hasArrived] = it->second;
  if (aAccount != AccountOf(caller)) {
    mViolations.push_back("request " + it->first + " ran for \"" + aAccount +
                          "\"");
  }
  const auto taken = mTakenAt.find(caller);
  if (taken != mTakenAt.end() && sentAt - taken->second > kAuthorityTimeoutMs) {
    mViolations.push_back("request " + it->first + " ran " +
                          std::to_string(sentAt - taken->second) +
                          " ms after its key was taken away");
  }
  // An instance may send a read twice; it is one operation.
  if (!aLine.endsWith(" COMMIT") && !std::exchange(hasArrived, true)) {
    mOperations[aAccount].push_back(mClock.elapsed());
  }
}

void
AccountCheck::CheckQuota(const std::string& aAccount,
                         const Quota& aQuota,
                         std::vector<std::string>& aViolations) const
{
  const auto it = mOperations.find(aAccount);
  if (it == mOperations.end()) {
    return;
  }
  const auto limit =
    (aQuota.mRatePerSecond * kQuotaWindowMs / 1000.0 + aQuota.mBurst) *
      (1 + kQuotaExcess) +
    kQuotaSlack;
  const auto& times = it->second;
  size_t most = 0;
  for (size_t first = 0, end = 0; first < times.size(); ++first) {
    while (end < times.size() && times[end] < times[first] + kQuotaWindowMs) {
      ++end;
    }
    most = std::max(most, end - first);
  }
  if (static_cast<double>(most) > limit) {
    aViolations.push_back(aAccount + " ran " + std::to_string(most) +
                          " operations in a window that allows " +
                          std::to_string(limit));
  }
}

std::vector<std::string>
AccountCheck::Violations() const
{
  auto violations = mViolations;
  for (int n = 0; n < mAccounts; ++n) {
    CheckQuota(AccountOf(n), QuotaOf(n), violations);
  }
  return violations;
}

}
