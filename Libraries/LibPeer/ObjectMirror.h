#pragma once

#include "LibDecision/Instant.h"
#include "LibPlatform/ObjectStore.h"

#include <map>

namespace papayaline {

/// The objects of one kind as this instance knows them, kept so that other
/// instances can follow them without a call to the store. Revisions never go
/// back. Thread safety: one thread.
class ObjectMirror
{
public:
  /// Objects that are gone and still told of.
  static constexpr size_t kMaxDeleted = 1000;

  /// All objects as listed; those not named are gone.
  void TakeList(const ObjectBatch& aBatch, Instant aNow);
  /// Changes after the revision that the mirror has.
  void TakeChanges(const ObjectBatch& aBatch, Instant aNow);
  /// The store, or who stands for it, did not answer.
  void NoteFailure() { mIsCurrent = false; }

  /// Whether the last attempt to follow the store succeeded, no longer ago than
  /// aMaxAge.
  bool IsCurrent(Instant aNow, Duration aMaxAge) const;
  int64_t Revision() const { return mRevision; }
  /// What changed after a revision, or nothing when that is no longer known.
  /// All objects count as changed after 0.
  std::optional<ObjectBatch> ChangesAfter(int64_t aRevision) const;

private:
  void Advance(int64_t aRevision, Instant aNow);
  void Delete(const QString& aName, int64_t aRevision);

  std::map<QString, StoredObject> mObjects;
  /// By the revision at which the mirror learned of it.
  std::multimap<int64_t, QString> mDeleted;
  /// Deletions up to this revision are no longer known.
  int64_t mForgottenUpTo = 0;
  int64_t mRevision = 0;
  bool mIsCurrent = false;
  Instant mCurrentAt;
};

}
