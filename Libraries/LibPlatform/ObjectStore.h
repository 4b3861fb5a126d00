#pragma once

#include "LibCore/Result.h"
#include "LibDecision/StoreRevision.h"

#include <QJsonValue>
#include <QString>
#include <functional>
#include <vector>

namespace papayaline {

/// An object of the platform's store.
struct StoredObject
{
  QString mName;
  /// The store's revision at the last change of the object, in the era of the
  /// answer that contained it.
  StoreRevision mRevision;
  QJsonValue mContent;
  /// Set only in changes, never in a list.
  bool mIsDeleted = false;

  bool operator==(const StoredObject&) const = default;
};

/// Objects at a revision of the whole store.
struct ObjectBatch
{
  std::vector<StoredObject> mObjects;
  StoreRevision mStoreRevision;

  bool operator==(const ObjectBatch&) const = default;
};

/// The platform's store of versioned objects. Handlers are called
/// asynchronously on the calling thread, and failed calls are not retried.
/// Errors of all calls: Unreachable when no answer arrived; a change may then
/// have taken effect, or take effect later. Thread safety: one thread.
class ObjectStore
{
public:
  using BatchHandler = std::function<void(const Result<ObjectBatch>&)>;
  using ObjectHandler = std::function<void(const Result<StoredObject>&)>;

  virtual ~ObjectStore() = default;

  /// The highest era in an answer so far; 0 before the first answer and for a
  /// store that does not report eras.
  virtual uint64_t Era() const = 0;
  /// Lists all objects of a kind.
  virtual void List(const QString& aKind, BatchHandler aHandler) = 0;
  /// Lists all objects of a kind as of up to some seconds ago, at a tenth of
  /// the cost of List.
  virtual void ListStale(const QString& aKind, BatchHandler aHandler) = 0;
  /// Errors: NotFound.
  virtual void Get(const QString& aKind,
                   const QString& aName,
                   ObjectHandler aHandler) = 0;
  /// Replaces the object if its revision has the number of aRevision; 0 creates
  /// the object. The store doesn't compare eras: after it was restored, a
  /// number may belong to another change. Errors: Conflict when the number
  /// differs or the object exists already, NotFound.
  virtual void Put(const QString& aKind,
                   const QString& aName,
                   const StoreRevision& aRevision,
                   const QJsonValue& aContent,
                   ObjectHandler aHandler) = 0;
  /// Waits up to aWaitMs for changes of a kind after a revision of the store.
  /// The batch is empty when the time is over. A batch of another era than
  /// aAfter does not continue from it: changes are missing. Errors: NotFound
  /// when the store has compacted or lost that revision.
  virtual void Watch(const QString& aKind,
                     const StoreRevision& aAfter,
                     int aWaitMs,
                     BatchHandler aHandler) = 0;
};

}
