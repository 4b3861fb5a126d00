#include "LibDecision/PromotionDuty.h"

#include <utility>

namespace papayaline {

PromotionDuty::PromotionDuty(std::string aInstance,
                             std::string aIncarnation,
                             DutySettings aSettings)
  : mInstance(std::move(aInstance))
  , mIncarnation(std::move(aIncarnation))
  , mSettings(aSettings)
{
}

DutyRecord
PromotionDuty::OwnRecord() const
{
  return { mInstance, mIncarnation, mSequence, false };
}

DutyDecision
PromotionDuty::Decide(const std::optional<StoredDuty>& aStored, Instant aNow)
{
  ++mSequence;
  if (!aStored) {
    return TakeDuty{ OwnRecord(), 0 };
  }
  const auto& record = aStored->mRecord;
  const bool isOwn =
    record.mHolder == mInstance && record.mIncarnation == mIncarnation;
  if (aStored->mRevision != mSeenRevision) {
    mSeenRevision = aStored->mRevision;
    mFirstSeenAt = aNow;
  }
  if (isOwn || record.mIsReleased || aNow - mFirstSeenAt >= mSettings.mTurn) {
    return TakeDuty{ OwnRecord(), aStored->mRevision };
  }
  return WaitForHolder{ mFirstSeenAt + mSettings.mTurn };
}

void
PromotionDuty::OnTaken(int64_t aRevision, Instant aSentAt)
{
  mOwnRevision = aRevision;
  mSeenRevision = aRevision;
  mFirstSeenAt = aSentAt;
  mLastOrderAt = aSentAt;
  mGrant = DutyGrant{ static_cast<uint64_t>(aRevision),
                      aSentAt + mSettings.mValidity };
}

std::optional<DutyGrant>
PromotionDuty::Grant(Instant aNow) const
{
  return mGrant && aNow < mGrant->mValidUntil ? mGrant : std::nullopt;
}

void
PromotionDuty::OnOrdered(Instant aNow)
{
  mLastOrderAt = aNow;
}

std::optional<TakeDuty>
PromotionDuty::ReleaseIfDue(Instant aNow)
{
  if (!mGrant || aNow - mLastOrderAt < mSettings.mTurn) {
    return std::nullopt;
  }
  mGrant.reset();
  ++mSequence;
  auto record = OwnRecord();
  record.mIsReleased = true;
  return TakeDuty{ record, mOwnRevision };
}

}
