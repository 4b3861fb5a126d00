#pragma once

#include "LibDecision/DecayedRate.h"
#include "LibDecision/QuotaShares.h"

#include <map>
#include <string>
#include <vector>

namespace papayaline {

/// The tokens of an instance, by account: each stands for one operation. An
/// instance mints its share, receives tokens from others and gives away what it
/// does not need. Tokens beyond the bound of a stock are lost. Thread safety:
/// one thread.
class QuotaLedger
{
public:
  using Shares = std::map<std::string, QuotaShares>;

  /// Replaces the accounts and their shares. A new account starts without
  /// tokens.
  void SetShares(const Shares& aShares, Instant aNow);
  /// Whether the account's operations are limited.
  bool IsLimited(const std::string& aAccount) const
  {
    return mAccounts.contains(aAccount);
  }

  /// Records that an operation asks for admission.
  void ObserveDemand(const std::string& aAccount, Instant aNow);
  /// Takes a token; returns false when there is none. Precondition: the account
  /// is limited.
  bool TryTake(const std::string& aAccount, Instant aNow);
  /// Adds tokens that were not used. Accounts that are not limited are ignored.
  void Add(const std::string& aAccount, double aTokens, Instant aNow);
  /// Adds tokens that were received and takes those of aWaiting operations, or
  /// of fewer if there are not enough; returns for how many.
  size_t Receive(const std::string& aAccount,
                 double aTokens,
                 size_t aWaiting,
                 Instant aNow);
  /// Takes up to aWanted tokens that this instance does not need itself soon.
  double Give(const std::string& aAccount, double aWanted, Instant aNow);
  /// The tokens held. Precondition: the account is limited.
  double Stock(const std::string& aAccount, Instant aNow);

  struct Shortfall
  {
    std::string mAccount;
    double mTokens = 0;
  };
  /// How many tokens to request before the next operations find none; accounts
  /// with enough are left out.
  std::vector<Shortfall> Shortfalls(Instant aNow);
  /// The same for one account, however much it has.
  double ShortfallOf(const std::string& aAccount, Instant aNow);

private:
  struct Account
  {
    QuotaShares mShares;
    double mStock = 0;
    Instant mMintedAt;
    DecayedRate mDemand;
    DecayedRate mAdmitted;
  };

  static double Bound(const Account& aAccount, Instant aNow);
  static double Target(const Account& aAccount, Instant aNow);
  static void Mint(Account& aAccount, Instant aNow);

  std::map<std::string, Account> mAccounts;
};

}
