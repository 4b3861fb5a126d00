#pragma once

#include "LibCore/Result.h"

#include <QJsonValue>
#include <QString>
#include <functional>
#include <vector>

namespace papayaline {

/// An object of the platform's store.
struct StoredObject
{
  QString mName;
  int64_t mRevision = 0;
  QJsonValue mContent;
  /// Set in changes only.
  bool mIsDeleted = false;

  bool operator==(const StoredObject&) const = default;
};

/// Objects as of a revision of the whole store.
struct ObjectBatch
{
  std::vector<StoredObject> mObjects;
  int64_t mStoreRevision = 0;

  bool operator==(const ObjectBatch&) const = default;
};

/// The platform's store of versioned objects. Calls answer asynchronously on
/// the calling thread and are not repeated. Errors of all calls: Unreachable
/// when no answer came, in which case a change may have taken effect or may
/// still do so. Thread safety: one thread.
class ObjectStore
{
public:
  using BatchHandler = std::function<void(const Result<ObjectBatch>&)>;
  using ObjectHandler = std::function<void(const Result<StoredObject>&)>;

  virtual ~ObjectStore() = default;

  /// All objects of a kind.
  virtual void List(const QString& aKind, BatchHandler aHandler) = 0;
  /// The same as it was up to some seconds ago, at a tenth of the price.
  virtual void ListStale(const QString& aKind, BatchHandler aHandler) = 0;
  /// Errors: NotFound.
  virtual void Get(const QString& aKind,
                   const QString& aName,
                   ObjectHandler aHandler) = 0;
  /// Replaces the object if its revision is aRevision; 0 creates it. Errors:
  /// Conflict when it has another revision or exists already, NotFound.
  virtual void Put(const QString& aKind,
                   const QString& aName,
                   int64_t aRevision,
                   const QJsonValue& aContent,
                   ObjectHandler aHandler) = 0;
  /// Waits for changes of a kind after a revision of the store, at most
  /// aWaitMs; then the batch is empty. Errors: NotFound when the store no
  /// longer knows that revision.
  virtual void Watch(const QString& aKind,
                     int64_t aAfter,
                     int aWaitMs,
                     BatchHandler aHandler) = 0;
};

}
