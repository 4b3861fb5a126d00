#pragma once

#include "LibConfiguration/RelayConfiguration.h"
#include "LibDecision/LoadNews.h"
#include "LibDecision/RelayRouting.h"
#include "LibRelay/UpstreamLink.h"

namespace papayaline {

enum class TransactionMode
{
  /// A single statement outside a transaction.
  None,
  ReadOnly,
  ReadWrite,
};

/// A transaction that another instance keeps open for this one.
struct ForwardedTransaction
{
  std::string mPeer;
  /// The connection to the peer; the transaction ends when the connection
  /// closes.
  uint64_t mConnection = 0;
  uint64_t mId = 0;

  bool operator==(const ForwardedTransaction&) const = default;
};

/// An open transaction and the connection that is pinned to it from its first
/// statement to its end, on this instance or another.
struct OpenTransaction
{
  /// Null when the connection is on another instance.
  LinkPointer mLink;
  std::optional<ForwardedTransaction> mForwarded;
  TransactionMode mMode = TransactionMode::ReadWrite;
  /// The primary that the transaction runs at; unset at a replica.
  std::optional<GroupPrimary> mPrimary;
  Instant mStartedAt;
  bool mHasWritten = false;
};

/// On whose behalf a statement runs, and how recently the store confirmed the
/// configuration that allows it.
struct StatementAuthority
{
  /// The client account; empty on public routes and in configurations without
  /// accounts.
  std::string mAccount;
  unsigned mAccountRank = 0;
  /// The key that the caller presented; secret. Empty at an instance to which
  /// the statement was forwarded.
  std::string mKey;
  /// When the store confirmed the configuration, on this instance's clock.
  /// Unset where the age of the configuration is not limited.
  std::optional<Instant> mConfirmedAt;

  bool operator==(const StatementAuthority&) const = default;
};

/// A statement to run at a database.
struct RelayRequest
{
  CallerStatement mStatement;
  std::shared_ptr<const SessionState> mSession;
  /// Set when the statement executes a prepared one.
  std::optional<PreparedQuery> mPreparedQuery;
  RelayRoute mRoute;
  StatementAuthority mAuthority;
  Access mAccess = Access::Read;
  /// The mode of the transaction that the statement belongs to or opens.
  TransactionMode mMode = TransactionMode::None;
  /// When the single statement arrived, or the begin of its transaction.
  Instant mStartedAt;
  /// When this statement arrived.
  Instant mReceivedAt;

  /// Whether the statement may have a lasting effect once it was sent.
  bool MayHaveEffect() const
  {
    return mStatement.mType == StatementType::Commit ||
           (mAccess == Access::Write && mMode == TransactionMode::None);
  }
  /// Whether the statement writes, or belongs to a transaction that may.
  bool MayWrite() const
  {
    return mAccess == Access::Write || mMode == TransactionMode::ReadWrite;
  }
  QueueKind Kind() const
  {
    return MayWrite() || mRoute.mFreshness == Freshness::Latest
             ? QueueKind::AtPrimary
             : QueueKind::AtAnyDatabase;
  }
};

/// The result of a statement.
struct RelayOutcome
{
  StatementAnswer mAnswer;
  /// The transaction that stays open after the statement, or null.
  std::shared_ptr<OpenTransaction> mTransaction;
};

using OutcomeHandler = std::function<void(const RelayOutcome&)>;

}
