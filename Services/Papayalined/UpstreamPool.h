#pragma once

#include "LibUpstream/UpstreamConnection.h"

#include <QPointer>
#include <QTimer>
#include <list>

namespace papayaline {

class UpstreamPool;

/// What a connection is acquired for. Statements at once follow the database's
/// slots; a transaction holds its connection also while its caller thinks.
enum class ConnectionUse
{
  Statement,
  Transaction,
};

/// Exclusive use of one pooled connection. Unless it is returned as clean, the
/// connection is closed: an unfinished answer or an open transaction can't
/// reach another caller. Thread safety: one thread.
class PooledConnection
{
public:
  PooledConnection() = default;
  PooledConnection(UpstreamPool* aPool, UpstreamConnection* aConnection);
  PooledConnection(PooledConnection&& aOther) noexcept;
  PooledConnection& operator=(PooledConnection&& aOther) noexcept;
  ~PooledConnection() { Discard(); }

  explicit operator bool() const { return mConnection != nullptr; }

  /// Precondition: holds a connection that is Ready.
  void Run(const std::vector<UpstreamStatement>& aBatch,
           UpstreamConnection::BatchHandler aHandler);

  /// Returns the connection to the pool. Precondition: its last answer was read
  /// whole and no transaction is open. A connection that is not Ready is
  /// discarded instead.
  void ReturnClean();
  void Discard();

private:
  QPointer<UpstreamPool> mPool;
  UpstreamConnection* mConnection = nullptr;
};

/// The work connections of one instance to one database.
/// Thread safety: one thread.
class UpstreamPool : public QObject
{
public:
  /// aOnFree is called when a connection may be acquired again.
  UpstreamPool(GroupConfiguration aGroup,
               UpstreamConfiguration aUpstream,
               unsigned aLimit,
               QObject* aParent,
               std::function<void()> aOnFree);
  ~UpstreamPool() override;

  void SetLimit(unsigned aLimit);

  /// A ready connection, or an empty lease while none is free; then one is
  /// opened when the limit allows it.
  PooledConnection TryAcquire(ConnectionUse aUse);

  bool HasIdle() const;
  /// Whether another statement may run now.
  bool MayRunStatement() const { return mStatements < mUpstream.mSlots; }
  unsigned InUse() const { return mInUse; }
  unsigned Limit() const { return mLimit; }
  /// Whether the last attempt to connect succeeded.
  bool IsUp() const { return mFailures == 0; }

  /// Closes idle connections and, on return, those in use.
  void Retire();
  /// Closes all connections at once; batches under way are lost.
  void Abandon();

private:
  friend class PooledConnection;

  struct Entry
  {
    std::unique_ptr<UpstreamConnection> mConnection;
    bool mIsLeased = false;
    ConnectionUse mUse = ConnectionUse::Statement;
  };

  void Open();
  void OnClosed();
  void Release(UpstreamConnection* aConnection, bool aIsClean);
  void Sweep();

  GroupConfiguration mGroup;
  UpstreamConfiguration mUpstream;
  unsigned mLimit;
  std::function<void()> mOnFree;
  std::list<Entry> mEntries;
  unsigned mInUse = 0;
  unsigned mStatements = 0;
  unsigned mFailures = 0;
  bool mIsRetired = false;
  QTimer mRetry;
};

}
