#pragma once

#include "LibDecision/Instant.h"
#include "LibPlatform/ObjectStore.h"

#include <map>

namespace papayaline {

/// This instance's copy of the store's objects of one kind. Other instances
/// watch the copy, which saves calls to the store. The revision never
/// decreases; only a list moves it to a later era of the store. Thread safety:
/// one thread.
class ObjectMirror
{
public:
  /// Deleted objects that ChangesAfter still reports.
  static constexpr size_t kMaxTombstones = 1000;

  /// Replaces the objects by a complete list. Objects that are not in the list
  /// count as deleted. A list older than the mirror is ignored.
  void ApplyList(const ObjectBatch& aBatch, Instant aNow);
  /// Applies changes that follow the mirror's revision. Changes of another era
  /// don't, and are ignored.
  void ApplyChanges(const ObjectBatch& aBatch, Instant aNow);
  /// Records that the store, or the instance watched in its place, did not
  /// answer.
  void NoteUpdateFailure() { mLastUpdateSucceeded = false; }

  /// Whether the last update succeeded and is no older than aMaxAge.
  bool IsCurrent(Instant aNow, Duration aMaxAge) const;
  StoreRevision Revision() const { return mRevision; }
  /// Whether a list was applied, so that no object is missing.
  bool IsComplete() const { return mIsComplete; }
  /// The changes after a revision, or nothing when tombstones after it have
  /// been discarded, or when it belongs to a later era than the mirror. All
  /// objects count as changed after revision 0. The batch after a revision of
  /// an earlier era is empty: its era tells that the objects have to be listed.
  std::optional<ObjectBatch> ChangesAfter(const StoreRevision& aRevision) const;

private:
  void AdvanceTo(const StoreRevision& aRevision, Instant aNow);
  void Delete(const QString& aName, const StoreRevision& aRevision);

  std::map<QString, StoredObject> mObjects;
  /// Names of deleted objects, by the store revision of the update that deleted
  /// them here.
  std::multimap<StoreRevision, QString> mTombstones;
  /// Tombstones up to this revision have been discarded.
  StoreRevision mCompactedRevision;
  StoreRevision mRevision;
  bool mIsComplete = false;
  bool mLastUpdateSucceeded = false;
  Instant mConfirmedAt;
};

}
