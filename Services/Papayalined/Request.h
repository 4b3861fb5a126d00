#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibCore/Result.h"
#include "LibDecision/Instant.h"
#include "LibDecision/LogPosition.h"
#include "LibUpstream/UpstreamStatement.h"

#include <functional>
#include <optional>

namespace papayaline {

/// A statement of a caller, with its consistency requirements and deadline.
struct Request
{
  UpstreamStatement mStatement;
  CallerClass mClass;
  /// The position of the session token that the caller presented.
  std::optional<LogPosition> mToken;
  /// The log position of the last write through this connection.
  std::optional<LogPosition> mLastWritePosition;
  /// The caller's idempotency key. If empty, a write generates one.
  QByteArray mRequestId;
  bool mIsUnsafe = false;
  Instant mArrivedAt;
  Instant mDeadline;
};

/// An error as sent to the caller.
struct ResponseError
{
  QByteArray mSqlState;
  QByteArray mMessage;

  bool operator==(const ResponseError&) const = default;
};

/// The complete response to one request.
struct Response
{
  std::vector<Column> mColumns;
  QByteArray mEncodedRows;
  QByteArray mTag;
  std::optional<ResponseError> mError;
  /// The log position of a committed write, which later reads of the session
  /// must include.
  std::optional<LogPosition> mWritePosition;

  bool operator==(const Response&) const = default;
};

using ResponseHandler = std::function<void(const Response&)>;

/// Makes the response for an error. Its message starts with the name of the
/// kind and says whether the request is known not to have run.
Response
MakeErrorResponse(const Error& aError);

/// Makes the response for a statement that the database has run or rejected.
Response
MakeResponse(const StatementResult& aResult);

/// Encodes a result for the ledger. Returns an empty array when it has no
/// columns or its rows exceed 64 KiB.
QByteArray
EncodeReply(const StatementResult& aResult);
/// Decodes a reply that EncodeReply encoded. An empty reply gives a response
/// with the command tag alone.
Response
DecodeReply(const QByteArray& aTag, const QByteArray& aReply);

}
