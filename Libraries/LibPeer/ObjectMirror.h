#pragma once

#include "LibDecision/Instant.h"
#include "LibPlatform/ObjectStore.h"

#include <map>

namespace papayaline {

/// This instance's copy of the store's objects of one kind. Other instances
/// watch the copy, which saves calls to the store. The revision never
/// decreases. Thread safety: one thread.
class ObjectMirror
{
public:
  /// Deleted objects that ChangesAfter still reports.
  static constexpr size_t kMaxTombstones = 1000;

  /// Replaces the objects by a complete list. Objects that are not in the list
  /// count as deleted. A list older than the mirror is ignored.
  void ApplyList(const ObjectBatch& aBatch, Instant aNow);
  /// Applies changes that follow the mirror's revision.
  void ApplyChanges(const ObjectBatch& aBatch, Instant aNow);
  /// Records that the store, or the instance watched in its place, did not
  /// answer.
  void NoteUpdateFailure() { mLastUpdateSucceeded = false; }

  /// Whether the last update succeeded and is no older than aMaxAge.
  bool IsCurrent(Instant aNow, Duration aMaxAge) const;
  int64_t Revision() const { return mRevision; }
  /// The changes after a revision, or nothing when tombstones after it have
  /// been discarded. All objects count as changed after revision 0.
  std::optional<ObjectBatch> ChangesAfter(int64_t aRevision) const;

private:
  void AdvanceTo(int64_t aRevision, Instant aNow);
  void Delete(const QString& aName, int64_t aRevision);

  std::map<QString, StoredObject> mObjects;
  /// Names of deleted objects, by the store revision of the update that deleted
  /// them here.
  std::multimap<int64_t, QString> mTombstones;
  /// Tombstones up to this revision have been discarded.
  int64_t mCompactedRevision = 0;
  int64_t mRevision = 0;
  bool mLastUpdateSucceeded = false;
  Instant mConfirmedAt;
};

}
