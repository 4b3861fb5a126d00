#pragma once

#include "LibConfiguration/RelaySettings.h"
#include "LibDecision/QuotaLedger.h"
#include "LibDecision/QuotaMembership.h"
#include "LibPeer/PeerPool.h"
#include "LibPeer/PeerServer.h"
#include "LibRelay/QuotaGate.h"

#include <deque>

namespace papayaline {

/// Counters of one instance, for the metrics.
struct QuotaCounts
{
  uint64_t mAdmitted = 0;
  uint64_t mRefused = 0;
  /// Requests sent to other instances: as an instance with demand, and as a
  /// bank.
  uint64_t mWithdrawals = 0;
  uint64_t mCollections = 0;
  /// Tokens that were given to a bank.
  double mTokensLent = 0;
};

struct QuotaAccountCounts
{
  std::string mAccount;
  uint64_t mAdmitted = 0;
  uint64_t mRefused = 0;
};

/// Enforces the quotas of client accounts over all instances. Each instance
/// mints an equal share of an account's tokens; those with demand withdraw more
/// at a bank, the first usable instance in a rendezvous order, which collects
/// them from the others. Tokens pass only in answers and are dropped when the
/// answer is late, so that lost, late and repeated messages make none. Sockets
/// and the clock are injected. Thread safety: one thread.
class QuotaExchange
  : public QuotaGate
  , public QuotaServer
{
public:
  QuotaExchange(std::string aInstance,
                QuotaTolerance aTolerance,
                PeerPool& aPeers,
                PeerPool::Clock aClock,
                PeerPool::LogSink aLog);
  ~QuotaExchange() override;

  /// Sets the accounts of the active configuration; null for none, then nothing
  /// is limited.
  void Configure(std::shared_ptr<const ClientAccounts> aAccounts);
  /// Handles a complete list of the live instances. No tokens are minted before
  /// the first one. aStart must be the same in each call.
  void SetFleet(const std::vector<InstanceInfo>& aInstances,
                StartListing aStart);

  void Admit(const std::string& aAccount, Handler aHandler) override;
  void Return(const std::string& aAccount) override;
  Duration Validity() const override { return mTimes.mAdmission; }

  void ServeQuota(const QuotaRequest& aRequest,
                  AnswerHandler aHandler) override;

  /// Must run at least each 20 ms.
  void Tick();

  const QuotaCounts& Counts() const { return mCounts; }
  /// The accounts with the most operations, at most aCount, and the sum of all
  /// others under the name "other".
  std::vector<QuotaAccountCounts> LargestAccounts(size_t aCount) const;

private:
  struct WaitingOperation
  {
    Handler mHandler;
    Instant mDeadline;
  };
  struct Account
  {
    std::deque<WaitingOperation> mWaiting;
    /// The withdrawal in flight; 0 for none.
    uint64_t mWithdrawal = 0;
    /// Until when operations without a token are refused without a request.
    Instant mRefusedUntil;
    /// When an operation was last refused, while the account counts as limited.
    std::optional<Instant> mLimitedAt;
    uint64_t mAdmitted = 0;
    uint64_t mRefused = 0;
  };
  struct Withdrawal
  {
    std::string mBank;
    Instant mSentAt;
    std::vector<QuotaDemand> mDemands;
  };

  void ApplyShares();
  std::optional<std::string> ChooseBank();
  void RequestTokens(const std::string& aUrgentAccount);
  void Send(const std::string& aBank, std::vector<QuotaDemand> aDemands);
  void OnWithdrawn(uint64_t aId, const Result<QuotaAnswer>& aAnswer);
  void OnPayout(const QuotaPayout& aPayout);
  void Introduce(Instant aNow);
  void EndWithdrawal(uint64_t aId);
  void ExpireWithdrawals(Instant aNow);
  void ExpireOperations(Instant aNow);
  void RunBank();
  void RunBankOnce();
  QuotaAnswer GiveSpare(const QuotaRequest& aRequest);
  void Suspect(const std::string& aBank);
  void RefuseWaiting(const std::string& aName, Account& aAccount);
  void CountRefusal(const std::string& aName, Account& aAccount);

  std::string mInstance;
  QuotaTolerance mTolerance;
  QuotaTimes mTimes;
  PeerPool& mPeers;
  PeerPool::Clock mClock;
  PeerPool::LogSink mLog;
  std::shared_ptr<const ClientAccounts> mAccountTable;
  /// All instances in the order in which they are chosen as bank.
  std::vector<InstanceInfo> mOrder;
  QuotaMembership mMembership;
  /// What the shares were last computed from.
  size_t mShareCount = 0;
  bool mIsMinting = false;
  QuotaLedger mLedger;
  QuotaBank mBank;
  std::map<std::string, Account> mAccounts;
  std::map<uint64_t, Withdrawal> mWithdrawals;
  /// The requests that the bank of this instance has not answered.
  std::map<uint64_t, AnswerHandler> mServed;
  uint64_t mLastId = 0;
  /// Banks that did not answer, and until when others are preferred.
  std::map<std::string, Instant> mSuspectedUntil;
  std::string mCurrentBank;
  Instant mBankLoggedAt;
  Instant mNextTopUpAt;
  Instant mNextIntroductionAt;
  /// Whether the bank handles a request of this instance.
  bool mIsServingSelf = false;
  bool mIsBankRunning = false;
  bool mIsBankDue = false;
  QuotaCounts mCounts;
  /// Handlers of calls in flight hold a weak reference to it.
  std::shared_ptr<const bool> mLifetime = std::make_shared<const bool>(true);
};

}
