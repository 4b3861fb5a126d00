#pragma once

#include "LibConfiguration/RelayConfiguration.h"
#include "LibDecision/RelayRouting.h"
#include "LibRelay/UpstreamLink.h"

namespace papayaline {

enum class TransactionMode
{
  /// The statement stands alone.
  None,
  ReadOnly,
  ReadWrite,
};

/// A transaction that another instance holds for this one.
struct ForwardedTransaction
{
  std::string mPeer;
  /// Which connection to the peer it belongs to: it ends with it.
  uint64_t mConnection = 0;
  uint64_t mId = 0;

  bool operator==(const ForwardedTransaction&) const = default;
};

/// A connection that one transaction holds from its first statement to its end,
/// here or at another instance.
struct TransactionHold
{
  /// Null when another instance holds it.
  LinkPointer mLink;
  std::optional<ForwardedTransaction> mForwarded;
  TransactionMode mMode = TransactionMode::ReadWrite;
  /// The primary that it runs at; none for a replica.
  std::optional<PrimaryOfGroup> mPrimary;
  Instant mArrivedAt;
  bool mHasWritten = false;
};

/// One statement on its way to a database.
struct RelayRequest
{
  CallerStatement mStatement;
  std::shared_ptr<const SessionState> mSession;
  /// The shape of a prepared statement.
  std::optional<PreparedShape> mShape;
  RelayRoute mRoute;
  Access mAccess = Access::Read;
  /// The transaction that the statement opens.
  TransactionMode mMode = TransactionMode::None;
  /// When the statement, or its transaction's first one, arrived.
  Instant mArrivedAt;
  /// When this statement arrived.
  Instant mAskedAt;
};

/// How a statement ended.
struct RelayOutcome
{
  StatementAnswer mAnswer;
  /// The transaction that goes on; empty when none was opened or it ended.
  std::shared_ptr<TransactionHold> mHold;
};

using OutcomeHandler = std::function<void(const RelayOutcome&)>;

}
