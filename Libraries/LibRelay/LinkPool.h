#pragma once

#include "LibDecision/ConnectionBudget.h"
#include "LibRelay/UpstreamLink.h"

namespace papayaline {

struct LinkPoolSettings
{
  /// Above the time of a handshake, far below the silence that a failover
  /// waits for.
  Duration mOpenTimeout = std::chrono::milliseconds(600);
  /// After a failed attempt; grows to the maximum while attempts fail.
  Duration mRetryDelay = std::chrono::milliseconds(100);
  Duration mMaxRetryDelay = std::chrono::milliseconds(400);
  /// The same after refusals for lack of connections: attempts of many
  /// instances take slots from the statements of those that have one.
  Duration mMaxLimitDelay = std::chrono::milliseconds(1600);
  /// A rollback that takes longer will not be answered.
  Duration mReleaseTimeout = std::chrono::seconds(2);
};

/// The connections of one instance to one database. Thread safety: one thread.
class LinkPool
{
public:
  LinkPool(std::string aGroup,
           std::string aUpstream,
           AnswerObserver& aObserver,
           const ChannelOpener& aOpener,
           UpstreamLink::Clock aClock,
           std::function<void()> aOnChange);
  ~LinkPool();

  void SetPlan(const ConnectionPlan& aPlan) { mPlan = aPlan; }

  /// Whether a link is free now.
  bool HasFree() const;
  /// Opens a link when none is free and the limit allows it; aOnChange reports
  /// that it is ready.
  void Demand();
  /// Whether a link is being opened that was begun at or after aSince.
  bool IsOpeningSince(Instant aSince) const;
  /// Whether the plan allows no further link.
  bool IsAtLimit() const { return mEntries.size() >= mPlan.mAllowance; }
  /// Whether a link is kept open without need.
  bool KeepsOne() const { return mPlan.mMinimum > 0; }
  /// The free link that fits aSession best, or nothing after a Demand.
  LinkPointer Acquire(const SessionState& aSession);
  /// Opens another link although some are free: one that went silent can't
  /// tell whether the database lives.
  void OpenFresh();
  /// Takes a link back. One that is in a transaction is rolled back, one with
  /// an answer under way is free once it came.
  void Release(const LinkPointer& aLink);
  /// Closes a link that is in use.
  void Discard(const LinkPointer& aLink);

  /// Keeps the minimum of links open, and drops what timed out.
  void Tick(Instant aNow);

  unsigned InUse() const;
  size_t Size() const { return mEntries.size(); }
  /// Why the last attempt to open failed, while none has succeeded since.
  const std::optional<Error>& Failure() const { return mFailure; }
  std::function<void(const Error&)> mOnFailure;

private:
  struct Entry
  {
    LinkPointer mLink;
    bool mIsLeased = false;
  };

  void Open();
  void OnState(const LinkPointer& aLink, const std::optional<Error>& aError);
  Entry* Find(const LinkPointer& aLink);
  bool MayOpen(unsigned aLimit) const;
  Duration RetryDelay(const Error& aError) const;
  static bool IsFree(const Entry& aEntry);
  unsigned OpeningCount() const;
  void Remove(const LinkPointer& aLink);

  std::string mGroup;
  std::string mUpstream;
  AnswerObserver& mObserver;
  const ChannelOpener& mOpener;
  UpstreamLink::Clock mClock;
  std::function<void()> mOnChange;
  LinkPoolSettings mSettings;
  ConnectionPlan mPlan;
  std::vector<Entry> mEntries;
  std::optional<Error> mFailure;
  unsigned mFailures = 0;
  Instant mRetryAt;
};

}
