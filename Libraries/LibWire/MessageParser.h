#pragma once

#include "LibCore/Result.h"
#include "LibWire/MessageWriter.h"

#include <QMap>
#include <vector>

namespace papayaline {

/// A start-up packet: a protocol code and, for a session, its parameters.
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

/// A Parse message: a statement with an optional name.
struct ParseMessage
{
  QByteArray mName;
  QByteArray mSql;
  std::vector<quint32> mParameterTypes;
};

/// A Bind message.
struct BindMessage
{
  QByteArray mPortal;
  QByteArray mStatement;
  std::vector<qint16> mParameterFormats;
  std::vector<Cell> mValues;
  std::vector<qint16> mResultFormats;
};

/// A Describe or Close message.
struct TargetMessage
{
  char mKind = 'P';
  QByteArray mName;
};

/// An Execute message.
struct ExecuteMessage
{
  QByteArray mPortal;
  qint32 mMaxRows = 0;
};

/// Parses the bodies of frontend messages. All functions report
/// ProtocolViolation for a body that ends early or has surplus bytes.
/// Thread safety: any thread.
Result<StartupMessage>
ParseStartup(const QByteArray& aBody);
Result<ParseMessage>
ParseParse(const QByteArray& aBody);
Result<BindMessage>
ParseBind(const QByteArray& aBody);
Result<TargetMessage>
ParseTarget(const QByteArray& aBody);
Result<ExecuteMessage>
ParseExecute(const QByteArray& aBody);
/// The statement of a simple Query message; it must be valid UTF-8.
Result<QByteArray>
ParseQuery(const QByteArray& aBody);

}
