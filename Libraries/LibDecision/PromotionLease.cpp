#include "LibDecision/PromotionLease.h"

#include <utility>

namespace papayaline {

namespace {

/// Bits of a fencing token that hold the revision's number. A store that is
/// written a thousand times a second uses them up in more than 30 years.
constexpr unsigned kNumberBits = 40;

uint64_t
ToFencingToken(const StoreRevision& aRevision)
{
  return (aRevision.mEra << kNumberBits) +
         static_cast<uint64_t>(aRevision.mNumber);
}

}

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
  return { mInstance, mIncarnation, mSequence, false, mEra };
}

bool
PromotionLease::ObserveEra(uint64_t aEra, Instant aNow)
{
  if (aEra <= mEra) {
    return false;
  }
  mEraSince = aNow;
  return std::exchange(mEra, aEra) != 0;
}

void
PromotionLease::ObserveRecord(const StoredLease& aStored, Instant aNow)
{
  ObserveEra(aStored.mRevision.mEra, aNow);
  if (aStored.mRevision.mEra == mEra && aStored.mRevision != mSeenRevision) {
    mSeenRevision = aStored.mRevision;
    mFirstSeenAt = aNow;
  }
}

/// While this instance has a grant, no other has acquired the lease: neither in
/// the grant's era nor, before the lease timeout has passed, in a later one.
bool
PromotionLease::MayWrite(const std::optional<StoredLease>& aStored,
                         Instant aNow) const
{
  if (Grant(aNow)) {
    return true;
  }
  if (!aStored) {
    return mEra == 0 || aNow - mEraSince >= mSettings.mTimeout;
  }
  const auto& record = aStored->mRecord;
  const bool isOwn =
    record.mHolder == mInstance && record.mIncarnation == mIncarnation;
  const bool isOfEra = record.mEra == aStored->mRevision.mEra;
  return (isOfEra && (isOwn || record.mIsReleased)) ||
         aNow - mFirstSeenAt >= mSettings.mTimeout;
}

LeaseDecision
PromotionLease::Decide(const std::optional<StoredLease>& aStored, Instant aNow)
{
  if (aStored && aStored->mRevision.mEra < mEra) {
    // The record was read before the store was restored.
    return WaitForLeaseHolder{ aNow };
  }
  if (aStored) {
    ObserveRecord(*aStored, aNow);
  }
  ++mSequence;
  mDecidedEra = mEra;
  if (MayWrite(aStored, aNow)) {
    return WriteLease{ OwnRecord(),
                       aStored ? aStored->mRevision : StoreRevision{} };
  }
  return WaitForLeaseHolder{ (aStored ? mFirstSeenAt : mEraSince) +
                             mSettings.mTimeout };
}

std::optional<LeaseGrant>
PromotionLease::OnAcquired(const StoreRevision& aRevision, Instant aSentAt)
{
  if (aRevision.mEra != mDecidedEra) {
    return std::nullopt;
  }
  mOwnRevision = aRevision;
  mSeenRevision = aRevision;
  mFirstSeenAt = aSentAt;
  mLastOrderAt = aSentAt;
  mGrant =
    LeaseGrant{ ToFencingToken(aRevision), aSentAt + mSettings.mValidity };
  return mGrant;
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
  if (mOwnRevision.mEra != mEra) {
    return std::nullopt;
  }
  ++mSequence;
  auto record = OwnRecord();
  record.mIsReleased = true;
  return WriteLease{ record, mOwnRevision };
}

}
