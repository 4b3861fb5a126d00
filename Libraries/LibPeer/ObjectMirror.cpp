#include "LibPeer/ObjectMirror.h"

#include <algorithm>

namespace papayaline {

void
ObjectMirror::AdvanceTo(int64_t aRevision, Instant aNow)
{
  mRevision = std::max(mRevision, aRevision);
  mLastUpdateSucceeded = true;
  mConfirmedAt = aNow;
}

void
ObjectMirror::Delete(const QString& aName, int64_t aRevision)
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
  // The first list does not contain objects that were deleted before it.
  if (mRevision == 0) {
    mCompactedRevision = aBatch.mStoreRevision - 1;
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
  AdvanceTo(aBatch.mStoreRevision, aNow);
}

void
ObjectMirror::ApplyChanges(const ObjectBatch& aBatch, Instant aNow)
{
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
ObjectMirror::ChangesAfter(int64_t aRevision) const
{
  if (aRevision != 0 && aRevision < mCompactedRevision) {
    return std::nullopt;
  }
  ObjectBatch batch;
  batch.mStoreRevision = std::max(aRevision, mRevision);
  if (aRevision >= mRevision) {
    return batch;
  }
  for (auto it = mTombstones.upper_bound(aRevision); it != mTombstones.end();
       ++it) {
    if (aRevision != 0 && !mObjects.contains(it->second)) {
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
