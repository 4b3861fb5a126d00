#pragma once

#include "LibUpstream/UpstreamConnection.h"

#include <QPointer>
#include <QTimer>
#include <list>

namespace papayaline {

class UpstreamPool;

/// What a connection is acquired for. The slots of the database limit the
/// statements that run at a time. Transactions don't count against the slots,
/// because they hold their connection while the caller is idle.
enum class ConnectionUse
{
  Statement,
  Transaction,
};

/// Exclusive ownership of one pooled connection. The connection is closed
/// unless it is returned as clean, so that an unread result or an open
/// transaction can't reach another caller. Thread safety: one thread.
class PooledConnection
{
public:
  PooledConnection() = default;
  PooledConnection(UpstreamPool* aPool, UpstreamConnection* aConnection);
  PooledConnection(PooledConnection&& aOther) noexcept;
  PooledConnection& operator=(PooledConnection&& aOther) noexcept;
  ~PooledConnection() { Discard(); }

  explicit operator bool() const { return mConnection != nullptr; }

  /// Runs a batch. Reports it as lost at once when the connection is not Ready.
  /// Precondition: holds a connection.
  void Run(const std::vector<UpstreamStatement>& aBatch,
           UpstreamConnection::BatchHandler aHandler);

  /// Returns the connection to the pool. A connection that is not Ready is
  /// discarded instead. Precondition: the last result was read completely and
  /// no transaction is open.
  void ReturnClean();
  void Discard();

private:
  QPointer<UpstreamPool> mPool;
  UpstreamConnection* mConnection = nullptr;
};

/// The connections on which one instance runs statements at one database.
/// Thread safety: one thread.
class UpstreamPool : public QObject
{
public:
  /// aOnConnectionFree is called whenever a connection is opened or released.
  UpstreamPool(GroupConfiguration aGroup,
               UpstreamConfiguration aUpstream,
               unsigned aLimit,
               QObject* aParent,
               std::function<void()> aOnConnectionFree);
  ~UpstreamPool() override;

  void SetLimit(unsigned aLimit);

  /// Acquires a ready connection. While none is free, returns an empty one and
  /// starts to open a connection if the limit allows it.
  PooledConnection TryAcquire(ConnectionUse aUse);

  bool HasIdleConnection() const;
  bool HasFreeSlot() const { return mRunningStatements < mUpstream.mSlots; }
  unsigned InUse() const { return mInUse; }
  unsigned Limit() const { return mLimit; }
  /// Whether no connection has closed since the last one was opened.
  bool IsReachable() const { return mConsecutiveFailures == 0; }

  /// Opens no more connections; closes idle ones now and those in use on
  /// release.
  void Retire();
  /// Closes all connections immediately; batches in flight are reported as
  /// lost.
  void CloseAll();

private:
  friend class PooledConnection;

  struct Entry
  {
    std::unique_ptr<UpstreamConnection> mConnection;
    bool mIsInUse = false;
    ConnectionUse mUse = ConnectionUse::Statement;
  };

  void OpenConnection();
  void RemoveClosedLater();
  void Release(UpstreamConnection* aConnection, bool aIsClean);
  void CloseSurplus();

  GroupConfiguration mGroup;
  UpstreamConfiguration mUpstream;
  unsigned mLimit;
  std::function<void()> mOnConnectionFree;
  std::list<Entry> mEntries;
  unsigned mInUse = 0;
  unsigned mRunningStatements = 0;
  unsigned mConsecutiveFailures = 0;
  bool mIsRetired = false;
  QTimer mReconnectTimer;
};

}
