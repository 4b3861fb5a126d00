#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibCore/Result.h"
#include "LibDecision/Instant.h"
#include "LibDecision/LogPosition.h"
#include "LibUpstream/UpstreamStatement.h"

#include <functional>
#include <optional>

namespace papayaline {

/// One statement of a caller with the promises that apply to it.
struct Request
{
  UpstreamStatement mStatement;
  CallerClass mClass;
  /// The token that the caller presented.
  std::optional<LogPosition> mToken;
  /// The position that this connection's own writes reached.
  std::optional<LogPosition> mOwnWrites;
  /// The caller's idempotency key; empty lets the instance choose one.
  QByteArray mRequestId;
  bool mIsUnsafe = false;
  Instant mArrivedAt;
  Instant mDeadline;
};

/// An error with the SQLSTATE that the caller gets.
struct AnswerError
{
  QByteArray mSqlState;
  QByteArray mMessage;

  bool operator==(const AnswerError&) const = default;
};

/// The whole answer to one request.
struct Answer
{
  std::vector<Column> mColumns;
  QByteArray mEncodedRows;
  QByteArray mTag;
  std::optional<AnswerError> mError;
  /// The position that the caller's next reads must include.
  std::optional<LogPosition> mWritten;

  bool operator==(const Answer&) const = default;
};

using AnswerHandler = std::function<void(const Answer&)>;

/// The answer for an error of the closed list.
Answer
ErrorAnswerOf(const Error& aError);

/// The answer for a statement that the database refused or ran.
Answer
AnswerOf(const StatementResult& aResult);

/// Encodes an answer for the ledger; empty when it is too large to keep.
QByteArray
EncodeReply(const StatementResult& aResult);
/// Decodes what EncodeReply made. A reply that was not kept gives an answer
/// with the tag alone.
Answer
DecodeReply(const QByteArray& aTag, const QByteArray& aReply);

}
