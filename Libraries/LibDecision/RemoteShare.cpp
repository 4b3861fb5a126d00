#include "LibDecision/RemoteShare.h"

#include <algorithm>

namespace papayaline {

namespace {

Duration
PriceOf(Distance aDistance, const RemoteShareSettings& aSettings)
{
  switch (aDistance) {
    case Distance::SameDomain:
      return {};
    case Distance::SameRegion:
      return aSettings.mDomainPrice;
    case Distance::OtherRegion:
      return aSettings.mRegionPrice;
  }
  return aSettings.mRegionPrice;
}

}

Duration
PriceBeyond(Distance aNear, Distance aFar, const RemoteShareSettings& aSettings)
{
  return std::max(PriceOf(aFar, aSettings) - PriceOf(aNear, aSettings),
                  Duration{});
}

void
RemoteShare::Update(const RemoteShareInput& aInput)
{
  const std::chrono::duration<double> near = aInput.mNear;
  const std::chrono::duration<double> target =
    std::max<Duration>(aInput.mTarget, std::chrono::milliseconds(1));
  const auto beyondTarget = near - target * mSettings.mTargetPart;
  // Another home that has not answered yet is tried as if it answered at once.
  const std::chrono::duration<double> saved =
    near - aInput.mFar.value_or(Duration{}) - aInput.mPrice;
  const auto error =
    std::clamp(std::min(beyondTarget, saved) / target, -1.0, 1.0);
  const auto limit = aInput.mFar ? mSettings.mMaxShare : mSettings.mMaxTrial;
  mIntegral = std::clamp(mIntegral + mSettings.mIntegral * error, 0.0, limit);
  MoveTo(std::clamp(mIntegral + mSettings.mProportional * error, 0.0, limit));
}

void
RemoteShare::Retreat()
{
  mIntegral = std::max(mIntegral - mSettings.mMaxStep, 0.0);
  MoveTo(0);
}

void
RemoteShare::MoveTo(double aShare)
{
  mShare = std::clamp(
    aShare, mShare - mSettings.mMaxStep, mShare + mSettings.mMaxStep);
}

bool
RemoteShare::TakeNext()
{
  mCarried += mShare;
  if (mCarried < 1) {
    return false;
  }
  mCarried -= 1;
  return true;
}

}
