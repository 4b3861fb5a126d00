#pragma once

#include "LibDecision/GroupLoad.h"
#include "LibDecision/Instant.h"
#include "LibDecision/QuotaBank.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/RelayRequest.h"

#include <QByteArray>
#include <variant>

namespace papayaline {

/// The first message of either side. The accepting instance sends its hello
/// when it accepts the connection; no statement may be forwarded to it before
/// that.
struct PeerHello
{
  static constexpr int kVersion = 1;

  /// Raised with each addition that an older instance can't read. An instance
  /// sends such messages only to instances of at least that level.
  static constexpr int kFeatureLevel = 1;

  int mVersion = kVersion;
  std::string mInstance;
  /// 0 from an instance that sends none.
  int mFeatureLevel = kFeatureLevel;
  /// The sender's clock when it sent the message; unset from an instance that
  /// sends none.
  std::optional<Instant> mClock;

  bool operator==(const PeerHello&) const = default;
};

/// Requests that the receiver runs a statement. Points in time are sent as
/// ages, so that the clocks of the instances need not agree.
struct ForwardStatement
{
  uint64_t mCall = 0;
  /// The open transaction that the statement belongs to; 0 for a standalone
  /// statement or one that opens a transaction.
  uint64_t mTransaction = 0;
  CallerStatement mStatement;
  RelayRoute mRoute;
  Access mAccess = Access::Read;
  TransactionMode mMode = TransactionMode::None;
  /// Time since the statement, or the first one of its transaction, arrived.
  Milliseconds mStartedAgo{ 0 };
  /// Time since this statement arrived.
  Milliseconds mReceivedAgo{ 0 };
  std::map<std::string, std::string> mValues;
  /// The position of the session's last write in the group of the route.
  std::optional<LogPosition> mLastWritePosition;
  std::optional<PreparedQuery> mPreparedQuery;
  /// The client account; empty for none, and from an instance that sends none.
  std::string mAccount;
  unsigned mAccountRank = 0;
  /// When the store confirmed the configuration that allows the statement, at
  /// the earliest, on the receiver's clock: so time on the way counts, also
  /// while the receiver is frozen. Unset where the age is not limited, and
  /// while the receiver's clock is unknown.
  std::optional<Instant> mConfirmedAt;

  bool operator==(const ForwardStatement&) const = default;
};

/// The answer to a ForwardStatement.
struct ForwardAnswer
{
  uint64_t mCall = 0;
  /// The instance rejected the statement; no part of it ran.
  bool mIsDeclined = false;
  /// The transaction that remains open; 0 when there is none.
  uint64_t mTransaction = 0;
  StatementAnswer mAnswer;
  /// The load of the group at the answering instance; unset when it is not
  /// known.
  std::optional<GroupLoad> mLoad;
  /// As in PeerHello.
  std::optional<Instant> mClock;

  bool operator==(const ForwardAnswer&) const = default;
};

/// The caller has disconnected; its statement need not run if it is still
/// queued.
struct CancelStatement
{
  uint64_t mCall = 0;

  bool operator==(const CancelStatement&) const = default;
};

/// Requests that the receiver rolls a transaction back.
struct RollBackTransaction
{
  uint64_t mTransaction = 0;

  bool operator==(const RollBackTransaction&) const = default;
};

struct PeerPing
{
  bool operator==(const PeerPing&) const = default;
};
struct PeerPong
{
  /// As in PeerHello.
  std::optional<Instant> mClock;

  bool operator==(const PeerPong&) const = default;
};
/// The sender is shutting down. It still completes the statements and
/// transactions that it has.
struct PeerLeaving
{
  bool operator==(const PeerLeaving&) const = default;
};

/// Requests the changes of the store's objects of a kind after a revision, and
/// waits for one if there is none yet. Revision 0 requests all objects.
struct WatchObjects
{
  uint64_t mCall = 0;
  std::string mKind;
  StoreRevision mAfterRevision;
  Milliseconds mMaxWait{ 0 };
  /// The maximum age of the answer, counted from when the store confirmed it.
  Milliseconds mMaxAge{ 0 };
  /// How long ago the store confirmed the objects that the sender knows. Set
  /// where that age is limited: then the watch is also answered, without
  /// changes, as soon as the receiver knows a considerably newer confirmation.
  std::optional<Milliseconds> mKnownAge;

  bool operator==(const WatchObjects&) const = default;
};

/// The answer to a WatchObjects.
struct ObjectsAnswer
{
  uint64_t mCall = 0;
  /// The instance does not know the current state of the store.
  bool mIsUnavailable = false;
  ObjectBatch mBatch;
  /// How long after the arrival of the watch the store confirmed the batch, at
  /// the earliest; negative when before. The sender of the watch adds it to the
  /// time of sending, so ages add up from instance to instance. Unset when the
  /// watch tells no known age.
  std::optional<Milliseconds> mConfirmedAfter;

  bool operator==(const ObjectsAnswer&) const = default;
};

enum class QuotaPurpose
{
  /// The sender needs tokens, which the receiver collects as a bank.
  Withdraw,
  /// The sender collects, as a bank, tokens that the receiver does not need.
  Collect,
};

/// Requests tokens of accounts. On the wire, tokens are millionths. Sent to
/// instances of feature level 1 or higher.
struct QuotaRequest
{
  uint64_t mCall = 0;
  QuotaPurpose mPurpose = QuotaPurpose::Withdraw;
  /// How many instances the sender knows from the store; 0 for unknown.
  uint64_t mInstances = 0;
  std::vector<QuotaDemand> mDemands;

  bool operator==(const QuotaRequest&) const = default;
};

/// The answer to a QuotaRequest. The sender no longer has the tokens.
struct QuotaAnswer
{
  uint64_t mCall = 0;
  /// How many instances the sender knows from the store; 0 for unknown.
  uint64_t mInstances = 0;
  std::vector<QuotaPayout> mPayouts;

  bool operator==(const QuotaAnswer&) const = default;
};

using PeerMessage = std::variant<PeerHello,
                                 ForwardStatement,
                                 ForwardAnswer,
                                 CancelStatement,
                                 RollBackTransaction,
                                 PeerPing,
                                 PeerPong,
                                 PeerLeaving,
                                 WatchObjects,
                                 ObjectsAnswer,
                                 QuotaRequest,
                                 QuotaAnswer>;

/// A message as a JSON array. Pure; any thread.
QByteArray
EncodePeerMessage(const PeerMessage& aMessage);

/// Errors: ProtocolViolation when the bytes are not a valid message. Pure; any
/// thread.
Result<PeerMessage>
DecodePeerMessage(const QByteArray& aBytes);

/// Prefixes a message with its length. Pure; any thread.
QByteArray
FramePeerMessage(const QByteArray& aMessage);

/// Splits a byte stream into messages. Memory is bounded by the largest
/// message. Thread safety: one thread.
class PeerFrameReader
{
public:
  /// Larger than the largest statement, whose size JSON may double, and than
  /// the largest object of the store.
  static constexpr qsizetype kMaxMessageBytes = 4 * 1024 * 1024;

  void Append(const QByteArray& aBytes) { mBuffer.append(aBytes); }
  /// Returns the next complete message, or nothing while it is incomplete.
  /// Errors: MessageTooLarge, as soon as the length prefix is complete.
  Result<std::optional<QByteArray>> Next();

private:
  QByteArray mBuffer;
};

}
