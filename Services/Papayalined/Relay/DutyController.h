#pragma once

#include "LibDecision/PromotionDuty.h"
#include "LibPlatform/ObjectStore.h"
#include "LibPlatform/PromotionService.h"
#include "LibRelay/RelayRouter.h"

#include <set>

namespace papayaline {

/// Holds the promotion duty on behalf of the groups of this instance, and
/// orders promotions under it. Thread safety: the thread of its event loop.
class DutyController
{
public:
  DutyController(ObjectStore& aStore,
                 PromotionService& aPromotion,
                 std::string aInstance,
                 std::string aIncarnation,
                 UpstreamLink::Clock aClock);

  /// Must be called before any other method.
  void SetRouter(RelayRouter& aRouter) { mRouter = &aRouter; }

  std::optional<DutyGrant> Grant() const { return mDuty.Grant(mClock()); }
  void Acquire(const std::string& aGroup);
  void Order(const std::string& aGroup, const std::string& aUpstream);
  /// Releases the duty once it has not been used for a turn.
  void Tick();

private:
  void Take(const TakeDuty& aTake);
  void Refuse(Instant aRetryAt, const std::string& aReason);

  ObjectStore& mStore;
  PromotionService& mPromotion;
  std::string mInstance;
  PromotionDuty mDuty;
  UpstreamLink::Clock mClock;
  RelayRouter* mRouter = nullptr;
  /// Groups that wait for the duty.
  std::set<std::string> mWaiting;
  bool mIsAcquiring = false;
};

}
