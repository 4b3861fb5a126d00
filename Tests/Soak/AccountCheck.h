#pragma once

#include <QByteArray>
#include <QElapsedTimer>
#include <map>
#include <string>
#include <vector>

namespace papayaline {

/// The client accounts of a soak run, and what the databases saw of them.
/// Checks that statements run only for the account of their caller, not after
/// their key was taken away for longer than the authority timeout, within the
/// quotas, and that no key arrives at a database.
class AccountCheck
{
public:
  struct Quota
  {
    double mRatePerSecond = 0;
    double mBurst = 0;
  };

  /// aAccounts accounts share the callers; with 0 there are none.
  explicit AccountCheck(int aAccounts);

  static constexpr int kAuthorityTimeoutMs = 5000;
  static constexpr int kQuotaWindowMs = 5000;
  static constexpr double kQuotaExcess = 0.1;
  static constexpr double kQuotaSlack = 20;

  bool HasAccounts() const { return mAccounts > 0; }
  int Count() const { return mAccounts; }
  std::string AccountOf(int aCaller) const;
  static QByteArray KeyOf(int aCaller);
  /// The first account's callers want more than its quota.
  Quota QuotaOf(int aAccount) const;

  /// Records that the store holds, or no longer holds, the key of a caller.
  void SetKeyHeld(int aCaller, bool aIsHeld);
  bool IsKeyHeld(int aCaller) const { return !mTakenAt.contains(aCaller); }
  /// Records that a caller sends a request.
  void OnSent(const std::string& aRequest, int aCaller);
  /// Records a line that a database received on a connection of an account.
  void OnLine(const std::string& aAccount, const QByteArray& aLine);
  /// The violations, including those of the quotas in any window.
  std::vector<std::string> Violations() const;

private:
  struct Request
  {
    int mCaller = 0;
    qint64 mSentAtMs = 0;
    bool mHasArrived = false;
  };

  void CheckQuota(const std::string& aAccount,
                  const Quota& aQuota,
                  std::vector<std::string>& aViolations) const;

  int mAccounts;
  QElapsedTimer mClock;
  std::map<int, qint64> mTakenAt;
  std::map<std::string, Request> mRequests;
  /// When a single statement or a COMMIT of an account arrived.
  std::map<std::string, std::vector<qint64>> mOperations;
  std::vector<std::string> mViolations;
};

}
