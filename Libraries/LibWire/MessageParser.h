#pragma once

#include "LibCore/Result.h"
#include "LibWire/MessageWriter.h"

#include <QMap>
#include <vector>

namespace papayaline {

/// A start-up packet: a protocol version or request code, followed by the
/// parameters of the session or, for a CancelRequest, by the cancellation key.
struct StartupMessage
{
  static constexpr quint32 kProtocolVersion3 = 196608;
  static constexpr quint32 kSslRequest = 80877103;
  static constexpr quint32 kGssRequest = 80877104;
  static constexpr quint32 kCancelRequest = 80877102;

  quint32 mCode = 0;
  QMap<QByteArray, QByteArray> mParameters;
  quint32 mProcessId = 0;
  quint32 mSecret = 0;
};

/// A Parse message: prepares a statement. An empty name denotes the unnamed
/// statement.
struct ParseMessage
{
  QByteArray mName;
  QByteArray mSql;
  std::vector<quint32> mParameterTypes;
};

/// A Bind message: binds values to the parameters of a prepared statement.
struct BindMessage
{
  QByteArray mPortal;
  QByteArray mStatement;
  std::vector<qint16> mParameterFormats;
  std::vector<Cell> mValues;
  std::vector<qint16> mResultFormats;
};

/// A Describe or Close message: names a prepared statement ('S') or a portal
/// ('P').
struct DescribeOrCloseMessage
{
  char mKind = 'P';
  QByteArray mName;
};

/// An Execute message: runs a portal. A row limit of 0 means no limit.
struct ExecuteMessage
{
  QByteArray mPortal;
  qint32 mMaxRows = 0;
};

/// These functions parse the bodies of frontend messages. Errors:
/// ProtocolViolation for a body that ends early or has surplus bytes, BadInput
/// for a statement that is not valid UTF-8.
/// Thread safety: any thread.
Result<StartupMessage>
ParseStartup(const QByteArray& aBody);
Result<ParseMessage>
ParseParse(const QByteArray& aBody);
Result<BindMessage>
ParseBind(const QByteArray& aBody);
Result<DescribeOrCloseMessage>
ParseDescribeOrClose(const QByteArray& aBody);
Result<ExecuteMessage>
ParseExecute(const QByteArray& aBody);
/// Returns the statement of a simple Query message.
Result<QByteArray>
ParseQuery(const QByteArray& aBody);

}
