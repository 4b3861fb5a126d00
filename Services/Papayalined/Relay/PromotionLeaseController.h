#pragma once

#include "LibDecision/PromotionLease.h"
#include "LibPlatform/ObjectStore.h"
#include "LibPlatform/PromotionService.h"
#include "LibRelay/RelayRouter.h"

#include <set>

namespace papayaline {

/// Acquires and releases the promotion lease for the groups of this instance,
/// and sends promotion orders with its fencing token. Thread safety: the thread
/// of its event loop.
class PromotionLeaseController
{
public:
  PromotionLeaseController(ObjectStore& aStore,
                           PromotionService& aPromotion,
                           std::string aInstance,
                           std::string aIncarnation,
                           UpstreamLink::Clock aClock);

  /// Must be called before any other method.
  void SetRouter(RelayRouter& aRouter) { mRouter = &aRouter; }

  std::optional<LeaseGrant> Grant() const { return mLease.Grant(mClock()); }
  /// Starts to acquire the lease. On failure the group is told when to retry.
  void Acquire(const std::string& aGroup);
  /// Orders the platform to promote aUpstream. Orders nothing when the lease
  /// has expired.
  void OrderPromotion(const std::string& aGroup, const std::string& aUpstream);
  /// Releases the lease when no promotion has been ordered for the lease
  /// timeout.
  void Tick();
  /// Handles a new era of the store. When the store was restored, reads the
  /// record, so that its lease timeout starts now and not with the next
  /// takeover.
  void ObserveEra(uint64_t aEra);

private:
  void WriteRecord(const WriteLease& aWrite);
  void NotifyRefused(Instant aRetryAt, const std::string& aReason);

  ObjectStore& mStore;
  PromotionService& mPromotion;
  std::string mInstance;
  PromotionLease mLease;
  UpstreamLink::Clock mClock;
  RelayRouter* mRouter = nullptr;
  /// Groups that wait for the lease.
  std::set<std::string> mWaitingGroups;
  bool mIsAcquiring = false;
};

}
