#include "LibPeer/ObjectMirror.h"

#include <algorithm>

namespace papayaline {

void
ObjectMirror::Advance(int64_t aRevision, Instant aNow)
{
  mRevision = std::max(mRevision, aRevision);
  mIsCurrent = true;
  mCurrentAt = aNow;
}

void
ObjectMirror::Delete(const QString& aName, int64_t aRevision)
{
  if (mObjects.erase(aName) == 0) {
    return;
  }
  mDeleted.emplace(aRevision, aName);
  if (mDeleted.size() > kMaxDeleted) {
    mForgottenUpTo = mDeleted.begin()->first;
    mDeleted.erase(mDeleted.begin());
  }
}

void
ObjectMirror::TakeList(const ObjectBatch& aBatch, Instant aNow)
{
  if (aBatch.mStoreRevision < mRevision) {
    return;
  }
  // The first list tells nothing of what was deleted before it.
  if (mRevision == 0) {
    mForgottenUpTo = aBatch.mStoreRevision - 1;
  }
  std::vector<QString> gone;
  for (const auto& [name, it] : mObjects) {
    if (std::ranges::find(aBatch.mObjects, name, &StoredObject::mName) ==
        aBatch.mObjects.end()) {
      gone.push_back(name);
    }
  }
  for (const auto& it : gone) {
    Delete(it, aBatch.mStoreRevision);
  }
  for (const auto& it : aBatch.mObjects) {
    mObjects[it.mName] = it;
  }
  Advance(aBatch.mStoreRevision, aNow);
}

void
ObjectMirror::TakeChanges(const ObjectBatch& aBatch, Instant aNow)
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
  Advance(aBatch.mStoreRevision, aNow);
}

bool
ObjectMirror::IsCurrent(Instant aNow, Duration aMaxAge) const
{
  return mIsCurrent && aNow - mCurrentAt <= aMaxAge;
}

std::optional<ObjectBatch>
ObjectMirror::ChangesAfter(int64_t aRevision) const
{
  if (aRevision != 0 && aRevision < mForgottenUpTo) {
    return std::nullopt;
  }
  ObjectBatch batch;
  batch.mStoreRevision = std::max(aRevision, mRevision);
  if (aRevision >= mRevision) {
    return batch;
  }
  for (auto it = mDeleted.upper_bound(aRevision); it != mDeleted.end(); ++it) {
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
