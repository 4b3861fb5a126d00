#pragma once

#include "LibPlatform/ObjectStore.h"
#include "LibRelay/RelayRequest.h"

#include <QByteArray>
#include <variant>

namespace papayaline {

/// The first message of either side. The instance that was called sends it when
/// it takes the connection; nothing may be passed on to it before.
struct PeerHello
{
  static constexpr int kVersion = 1;

  int mVersion = kVersion;
  std::string mInstance;

  bool operator==(const PeerHello&) const = default;
};

/// Run a statement. Times are given as ages, so that no clocks are compared.
struct ForwardStatement
{
  uint64_t mCall = 0;
  /// The transaction that it belongs to; 0 for a statement that stands alone or
  /// opens one.
  uint64_t mTransaction = 0;
  CallerStatement mStatement;
  RelayRoute mRoute;
  Access mAccess = Access::Read;
  TransactionMode mMode = TransactionMode::None;
  /// Since the statement, or its transaction's first one, arrived.
  Milliseconds mArrivedAgo{ 0 };
  /// Since this statement arrived.
  Milliseconds mAskedAgo{ 0 };
  std::map<std::string, std::string> mValues;
  std::optional<LogPosition> mOwnWrite;
  std::optional<PreparedShape> mShape;

  bool operator==(const ForwardStatement&) const = default;
};

struct ForwardAnswer
{
  uint64_t mCall = 0;
  /// The instance did not take the statement: nothing of it ran.
  bool mIsDeclined = false;
  /// The transaction that goes on; 0 when there is none.
  uint64_t mTransaction = 0;
  StatementAnswer mAnswer;

  bool operator==(const ForwardAnswer&) const = default;
};

/// The caller has left; its statement need not run if it still waits.
struct CancelStatement
{
  uint64_t mCall = 0;

  bool operator==(const CancelStatement&) const = default;
};

/// Roll a transaction back.
struct AbandonTransaction
{
  uint64_t mTransaction = 0;

  bool operator==(const AbandonTransaction&) const = default;
};

struct PeerPing
{
  bool operator==(const PeerPing&) const = default;
};
struct PeerPong
{
  bool operator==(const PeerPong&) const = default;
};
/// The instance is shutting down: it finishes what it holds.
struct PeerLeaving
{
  bool operator==(const PeerLeaving&) const = default;
};

/// Wait for changes of the store's objects of a kind after a revision; 0 asks
/// for all of them.
struct WatchObjects
{
  uint64_t mCall = 0;
  std::string mKind;
  int64_t mAfter = 0;
  Milliseconds mWait{ 0 };
  /// How long ago the answer may have been confirmed by the store.
  Milliseconds mMaxAge{ 0 };

  bool operator==(const WatchObjects&) const = default;
};

struct ObjectsAnswer
{
  uint64_t mCall = 0;
  /// The instance can't tell what the store holds now.
  bool mIsUnknown = false;
  ObjectBatch mBatch;

  bool operator==(const ObjectsAnswer&) const = default;
};

using PeerMessage = std::variant<PeerHello,
                                 ForwardStatement,
                                 ForwardAnswer,
                                 CancelStatement,
                                 AbandonTransaction,
                                 PeerPing,
                                 PeerPong,
                                 PeerLeaving,
                                 WatchObjects,
                                 ObjectsAnswer>;

/// A message as a JSON array. Pure; any thread.
QByteArray
EncodePeerMessage(const PeerMessage& aMessage);

/// Errors: ProtocolViolation when the bytes are no message. Pure; any thread.
Result<PeerMessage>
DecodePeerMessage(const QByteArray& aBytes);

/// Puts a message's length before it. Pure; any thread.
QByteArray
FramePeerMessage(const QByteArray& aMessage);

/// Cuts a byte stream into messages. Memory is bounded by the largest message.
/// Thread safety: one thread.
class PeerFrames
{
public:
  /// Above the largest statement, whose bytes JSON may double, and the largest
  /// object of the store.
  static constexpr qsizetype kMaxBytes = 4 * 1024 * 1024;

  void Append(const QByteArray& aBytes) { mBuffer.append(aBytes); }
  /// The next whole message, or nothing until more bytes come. Errors:
  /// MessageTooLarge, before the message itself is read.
  Result<std::optional<QByteArray>> Next();

private:
  QByteArray mBuffer;
};

}
