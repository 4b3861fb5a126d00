#include "LibDecision/PromotionLease.h"

#include <utility>

namespace papayaline {

PromotionLease::PromotionLease(std::string aInstance,
                               std::string aIncarnation,
                               LeaseSettings aSettings)
  : mInstance(std::move(aInstance))
  , mIncarnation(std::move(aIncarnation))
  , mSettings(aSettings)
{
}

LeaseRecord
PromotionLease::OwnRecord() const
{
  return { mInstance, mIncarnation, mSequence, false };
}

LeaseDecision
PromotionLease::Decide(const std::optional<StoredLease>& aStored, Instant aNow)
{
  ++mSequence;
  if (!aStored) {
    return WriteLease{ OwnRecord(), {} };
  }
  const auto& record = aStored->mRecord;
  const bool isOwn =
    record.mHolder == mInstance && record.mIncarnation == mIncarnation;
  if (aStored->mRevision != mSeenRevision) {
    mSeenRevision = aStored->mRevision;
    mFirstSeenAt = aNow;
  }
  if (isOwn || record.mIsReleased ||
      aNow - mFirstSeenAt >= mSettings.mTimeout) {
    return WriteLease{ OwnRecord(), aStored->mRevision };
  }
  return WaitForLeaseHolder{ mFirstSeenAt + mSettings.mTimeout };
}

void
PromotionLease::OnAcquired(const StoreRevision& aRevision, Instant aSentAt)
{
  mOwnRevision = aRevision;
  mSeenRevision = aRevision;
  mFirstSeenAt = aSentAt;
  mLastOrderAt = aSentAt;
  mGrant = LeaseGrant{ static_cast<uint64_t>(aRevision.mNumber),
                       aSentAt + mSettings.mValidity };
}

std::optional<LeaseGrant>
PromotionLease::Grant(Instant aNow) const
{
  return mGrant && aNow < mGrant->mValidUntil ? mGrant : std::nullopt;
}

void
PromotionLease::OnPromotionOrdered(Instant aNow)
{
  mLastOrderAt = aNow;
}

std::optional<WriteLease>
PromotionLease::ReleaseIfDue(Instant aNow)
{
  if (!mGrant || aNow - mLastOrderAt < mSettings.mTimeout) {
    return std::nullopt;
  }
  mGrant.reset();
  ++mSequence;
  auto record = OwnRecord();
  record.mIsReleased = true;
  return WriteLease{ record, mOwnRevision };
}

}
