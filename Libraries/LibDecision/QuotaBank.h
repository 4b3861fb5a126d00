#pragma once

#include "LibDecision/DecayedRate.h"
#include "LibDecision/QuotaShares.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayaline {

/// Tokens of an account that an instance asks for.
struct QuotaDemand
{
  std::string mAccount;
  double mWanted = 0;
  /// The part of mWanted that operations are waiting for.
  double mNeeded = 0;

  bool operator==(const QuotaDemand&) const = default;
};

/// The answer to a QuotaDemand.
struct QuotaPayout
{
  std::string mAccount;
  double mTokens = 0;
  /// Set when no instance has the tokens that are needed: when to ask again.
  std::chrono::milliseconds mRetryAfter{ 0 };

  bool operator==(const QuotaPayout&) const = default;
};

/// Collects tokens from the instances that don't need them and pays them out to
/// those that do. Holds few itself, and none while no instance asks. It never
/// makes tokens, so any number of banks may work at a time. Thread safety: one
/// thread.
class QuotaBank
{
public:
  /// A request to an instance for its spare tokens.
  struct Collection
  {
    uint64_t mId = 0;
    std::string mInstance;
    std::vector<QuotaDemand> mDemands;
  };
  struct Answer
  {
    uint64_t mRequest = 0;
    std::vector<QuotaPayout> mPayouts;
  };

  explicit QuotaBank(QuotaTimes aTimes)
    : mTimes(aTimes)
  {
  }

  void SetShares(const std::map<std::string, QuotaShares>& aShares);
  /// Sets the instances to collect from, this one included.
  void SetInstances(const std::vector<std::string>& aInstances);

  /// Handles a request for tokens. aRequest names it in its answer.
  /// Precondition: no other request that is not answered has that number.
  void Withdraw(uint64_t aRequest,
                const std::vector<QuotaDemand>& aDemands,
                Instant aNow);
  /// Handles the tokens that an instance gave. Ignores collections that have
  /// expired.
  void OnCollected(uint64_t aCollection,
                   const std::vector<QuotaPayout>& aPayouts,
                   Instant aNow);
  /// Handles a collection that fails.
  void OnCollectionLost(uint64_t aCollection);

  /// The collections to send now. Call at least every 20 ms, and after each
  /// other call.
  std::vector<Collection> TakeCollections(Instant aNow);
  /// The requests that are answered now. Call after TakeCollections.
  std::vector<Answer> TakeAnswers(Instant aNow);
  bool HasRequests() const { return !mRequests.empty(); }
  /// Whether an instance has asked recently.
  bool IsInUse(Instant aNow) const;

private:
  struct Account
  {
    QuotaShares mShares;
    double mStock = 0;
    /// What the collections on their way are expected to bring.
    double mExpected = 0;
    DecayedRate mPaid;
    /// When a request was last refused.
    std::optional<Instant> mDeniedAt;
    /// Since when needed tokens are not expected.
    std::optional<Instant> mShortSince;
    /// When each instance was last asked, in the order of mInstances.
    std::vector<Instant> mAskedAt;
  };
  struct Item
  {
    QuotaPayout mPayout;
    double mNeeded = 0;
    bool mIsDenied = false;
  };
  struct Request
  {
    uint64_t mId = 0;
    Instant mArrivedAt;
    std::vector<Item> mItems;
  };
  struct PendingCollection
  {
    Instant mSentAt;
    std::map<std::string, double> mExpected;
  };

  size_t RoundVisits(Instant aNow);
  void Pay();
  static bool IsShort(Account& aAccount, bool aIsExpected, Instant aNow);
  void Refund(Item& aItem);
  void Deny(Instant aNow);
  void ExpireCollections(Instant aNow);
  void Close(const PendingCollection& aCollection);
  static double Target(const Account& aAccount, Instant aNow);
  /// Whether the account has used up its quota.
  static bool IsLimited(const Account& aAccount, Instant aNow);
  double YieldOf(const Account& aAccount, size_t aIndex, Instant aNow) const;
  /// What may still be collected, without what is on its way.
  double Prospect(const Account& aAccount, Instant aNow) const;
  std::map<std::string, double> Needs() const;

  QuotaTimes mTimes;
  std::map<std::string, Account> mAccounts;
  std::vector<std::string> mInstances;
  std::list<Request> mRequests;
  std::map<uint64_t, PendingCollection> mPending;
  /// The instance that is asked next.
  size_t mNextInstance = 0;
  /// When an instance was last asked in its turn.
  Instant mVisitedAt;
  uint64_t mLastCollection = 0;
  std::optional<Instant> mLastRequestAt;
};

}
