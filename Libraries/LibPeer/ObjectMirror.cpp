#include "LibPeer/ObjectMirror.h"

#include <algorithm>

namespace papayaline {

void
ObjectMirror::AdvanceTo(const StoreRevision& aRevision, Instant aNow)
{
  mRevision = std::max(mRevision, aRevision);
  mLastUpdateSucceeded = true;
  mConfirmedAt = aNow;
}

void
ObjectMirror::Delete(const QString& aName, const StoreRevision& aRevision)
{
  if (mObjects.erase(aName) == 0) {
    return;
  }
  mTombstones.emplace(aRevision, aName);
  if (mTombstones.size() > kMaxTombstones) {
    mCompactedRevision = mTombstones.begin()->first;
    mTombstones.erase(mTombstones.begin());
  }
}

void
ObjectMirror::ApplyList(const ObjectBatch& aBatch, Instant aNow)
{
  if (aBatch.mStoreRevision < mRevision) {
    return;
  }
  // The first list of an era does not contain objects that were deleted before
  // it.
  const auto era = aBatch.mStoreRevision.mEra;
  if (mRevision == StoreRevision{} || mRevision.mEra != era) {
    mObjects.clear();
    mTombstones.clear();
    mCompactedRevision = { era, aBatch.mStoreRevision.mNumber - 1 };
  }
  std::vector<QString> removed;
  for (const auto& [name, it] : mObjects) {
    if (std::ranges::find(aBatch.mObjects, name, &StoredObject::mName) ==
        aBatch.mObjects.end()) {
      removed.push_back(name);
    }
  }
  for (const auto& it : removed) {
    Delete(it, aBatch.mStoreRevision);
  }
  for (const auto& it : aBatch.mObjects) {
    mObjects[it.mName] = it;
  }
  mIsComplete = true;
  AdvanceTo(aBatch.mStoreRevision, aNow);
}

void
ObjectMirror::ApplyChanges(const ObjectBatch& aBatch, Instant aNow)
{
  if (aBatch.mStoreRevision.mEra != mRevision.mEra) {
    return;
  }
  for (const auto& it : aBatch.mObjects) {
    if (it.mIsDeleted) {
      Delete(it.mName, aBatch.mStoreRevision);
      continue;
    }
    auto& known = mObjects[it.mName];
    if (it.mRevision >= known.mRevision) {
      known = it;
    }
  }
  AdvanceTo(aBatch.mStoreRevision, aNow);
}

bool
ObjectMirror::IsCurrent(Instant aNow, Duration aMaxAge) const
{
  return mLastUpdateSucceeded && aNow - mConfirmedAt <= aMaxAge;
}

std::optional<ObjectBatch>
ObjectMirror::ChangesAfter(const StoreRevision& aRevision) const
{
  const bool isFromStart = aRevision == StoreRevision{};
  ObjectBatch batch;
  batch.mStoreRevision = std::max(aRevision, mRevision);
  if (!isFromStart && aRevision.mEra < mRevision.mEra) {
    return batch;
  }
  if (!isFromStart &&
      (aRevision.mEra > mRevision.mEra || aRevision < mCompactedRevision)) {
    return std::nullopt;
  }
  if (aRevision >= mRevision) {
    return batch;
  }
  for (auto it = mTombstones.upper_bound(aRevision); it != mTombstones.end();
       ++it) {
    if (!isFromStart && !mObjects.contains(it->second)) {
      StoredObject object;
      object.mName = it->second;
      object.mRevision = it->first;
      object.mIsDeleted = true;
      batch.mObjects.push_back(object);
    }
  }
  for (const auto& [name, it] : mObjects) {
    if (it.mRevision > aRevision) {
      batch.mObjects.push_back(it);
    }
  }
  return batch;
}

}
