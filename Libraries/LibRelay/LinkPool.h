#pragma once

#include "LibConfiguration/ClientAccounts.h"
#include "LibDecision/AccountConnections.h"
#include "LibDecision/ConnectionBudget.h"
#include "LibRelay/UpstreamLink.h"

namespace papayaline {

struct LinkPoolSettings
{
  /// Longer than a handshake, and much shorter than the silence of a primary
  /// that starts a failover.
  Duration mOpenTimeout = std::chrono::milliseconds(600);
  /// Delay after a failed attempt to open a link; it doubles with each further
  /// failure up to mMaxRetryDelay.
  Duration mRetryDelay = std::chrono::milliseconds(100);
  Duration mMaxRetryDelay = std::chrono::milliseconds(400);
  /// The maximum after refusals for lack of connections: each attempt takes a
  /// slot of the database from the statements of connected instances.
  Duration mMaxLimitRetryDelay = std::chrono::milliseconds(1600);
  /// A released link whose rollback, or other command in flight, takes longer
  /// is closed.
  Duration mReleaseTimeout = std::chrono::seconds(2);
};

/// The pool of connections of one instance to one database.
/// Thread safety: one thread.
class LinkPool
{
public:
  LinkPool(std::string aGroup,
           std::string aUpstream,
           LinkObserver& aObserver,
           const ChannelOpener& aOpener,
           UpstreamLink::Clock aClock,
           std::function<void()> aOnChange);
  ~LinkPool();

  void SetPlan(const ConnectionPlan& aPlan) { mPlan = aPlan; }
  /// Idle links of accounts that are not among them are closed with the next
  /// tick. Null when there are no accounts.
  void SetAccounts(std::shared_ptr<const ClientAccounts> aAccounts)
  {
    mAccounts = std::move(aAccounts);
    mHasAccounts |= mAccounts != nullptr;
  }
  /// Call before the waiting statements are dispatched. aAnswerTime is how long
  /// a statement runs at the database.
  void BeginDispatch(Duration aAnswerTime);
  /// Records that a statement of an account waits for a link.
  void ObserveWaiting(const std::string& aAccount) { ++mWaiting[aAccount]; }

  /// Whether a link of any account is free now.
  bool HasFree() const;
  /// Whether a link of a client account, which may be empty, is free now.
  bool HasFree(const std::string& aAccount) const;
  /// Opens a link of an account when none of its own is free and
  /// ChooseConnection decides so, at the limit of the plan after closing a free
  /// link of another account. Without accounts, at most one link is opening at
  /// a time. aOnChange is called when the link is ready. Returns what was
  /// decided, or nothing without accounts and after a recent failure.
  std::optional<ConnectionVerdict> OpenIfNoneFree(const std::string& aAccount);
  /// How long a statement of an account that finds no free link waits for one,
  /// or nothing when it would wait for other accounts or there are none.
  std::optional<Duration> ExpectedDelay(const std::string& aAccount) const;
  /// Whether a link is opening that was started at or after aSince.
  bool IsOpeningSince(Instant aSince) const;
  bool IsOpeningSince(Instant aSince, const std::string& aAccount) const;
  /// Whether the plan allows no more links, and a newer one may.
  bool MayGrow() const
  {
    return mEntries.size() >= mPlan.mAllowance && mPlan.mMayGrow;
  }
  /// Whether the plan keeps at least one link open while none is needed.
  bool KeepsIdleLink() const { return mPlan.mMinimum > 0; }
  /// Takes the free link of an account that needs the fewest preparation
  /// commands for aSession. Returns null, and opens a link as OpenIfNoneFree
  /// does, when none is free.
  LinkPointer Acquire(const SessionState& aSession,
                      const std::string& aAccount);
  /// Takes a free link of any account, for a control command. Returns null, and
  /// opens a link for the account that last lacked one, when none is free and
  /// none is opening.
  LinkPointer AcquireForControl();
  /// Opens a link even when others are free, one more than the plan allows: a
  /// link without answers can't tell whether the database is reachable.
  void OpenAdditional();
  /// Returns a link to the pool. An open transaction is rolled back; a link
  /// with commands in flight becomes free when they are answered.
  void Release(const LinkPointer& aLink);
  /// Closes a link and removes it from the pool.
  void Discard(const LinkPointer& aLink);

  /// Opens a link while there are fewer than the minimum of the plan, and
  /// closes links that are idle or timed out.
  void Tick(Instant aNow);

  unsigned InUse() const;
  /// Number of links that are open, in use or not.
  unsigned ReadyCount() const;
  /// Number of links with a command in flight.
  unsigned RunningCount() const;
  size_t Size() const { return mEntries.size(); }
  /// The error of the last link that failed, until another one opens.
  const std::optional<Error>& Failure() const { return mFailure; }
  std::function<void(const Error&)> mOnFailure;
  /// Called when a link is opened, and when one is closed for another account.
  std::function<void()> mOnOpening;
  std::function<void()> mOnReplaced;

private:
  struct Entry
  {
    LinkPointer mLink;
    bool mIsInUse = false;
  };

  void Open(const std::string& aAccount);
  /// Closes the free link of an account that was used least recently.
  void CloseFree(const std::string& aAccount);
  ConnectionChoice Choose(const std::string& aAccount,
                          unsigned aPosition) const;
  unsigned WaitingCount(const std::string& aAccount) const;
  std::vector<AccountConnections> CountByAccount() const;
  /// Whether the account was removed from the configuration.
  bool IsGone(const std::string& aAccount) const;
  LinkPointer AcquireWhere(
    const SessionState& aSession,
    const std::function<bool(const UpstreamLink&)>& aFilter);
  void OnState(const LinkPointer& aLink, const std::optional<Error>& aError);
  Entry* Find(const LinkPointer& aLink);
  bool MayOpen(unsigned aLimit) const;
  Duration RetryDelay(const Error& aError) const;
  static bool IsFree(const Entry& aEntry);
  unsigned OpeningCount() const;
  void Remove(const LinkPointer& aLink);

  std::string mGroup;
  std::string mUpstream;
  LinkObserver& mObserver;
  const ChannelOpener& mOpener;
  UpstreamLink::Clock mClock;
  std::function<void()> mOnChange;
  LinkPoolSettings mSettings;
  ConnectionPlan mPlan;
  std::vector<Entry> mEntries;
  std::optional<Error> mFailure;
  unsigned mFailures = 0;
  /// The account of the last statement that found no free link of its own.
  std::string mNextAccount;
  /// Whether links of client accounts were ever needed.
  bool mHasAccounts = false;
  std::shared_ptr<const ClientAccounts> mAccounts;
  AccountDemand mDemand;
  Duration mAnswerTime{};
  /// The result of CountByAccount, kept while a dispatch changes no link.
  mutable std::optional<std::vector<AccountConnections>> mCounts;
  /// The numbers of waiting statements by account, in this dispatch so far and
  /// in the one before.
  std::map<std::string, unsigned> mWaiting;
  std::map<std::string, unsigned> mWaitingBefore;
  Instant mRetryAt;
};

}
