#pragma once

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

  /// Whether a link of any account is free now.
  bool HasFree() const;
  /// Whether a link of a client account, which may be empty, is free now.
  bool HasFree(const std::string& aAccount) const;
  /// Opens a link of an account when none of its own is free or opening. At the
  /// limit of the plan, the free link of another account that was used least
  /// recently is closed for it. aOnChange is called when the link is ready.
  void OpenIfNoneFree(const std::string& aAccount);
  /// Whether a link is opening that was started at or after aSince.
  bool IsOpeningSince(Instant aSince) const;
  bool IsOpeningSince(Instant aSince, const std::string& aAccount) const;
  /// Whether the plan allows no more links.
  bool IsAtLimit() const { return mEntries.size() >= mPlan.mAllowance; }
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

private:
  struct Entry
  {
    LinkPointer mLink;
    bool mIsInUse = false;
  };

  void Open(const std::string& aAccount);
  /// Makes room for another link by closing a free one of another account.
  bool CloseForOther(const std::string& aAccount);
  LinkPointer AcquireWhere(
    const SessionState& aSession,
    const std::function<bool(const UpstreamLink&)>& aFilter);
  void OnState(const LinkPointer& aLink, const std::optional<Error>& aError);
  Entry* Find(const LinkPointer& aLink);
  bool MayOpen(unsigned aLimit) const;
  Duration RetryDelay(const Error& aError) const;
  static bool IsFree(const Entry& aEntry);
  unsigned OpeningCount() const;
  bool IsOpening(const std::string& aAccount) const;
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
  Instant mRetryAt;
};

}
