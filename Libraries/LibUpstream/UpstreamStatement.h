#pragma once

#include "LibWire/MessageWriter.h"

namespace papayaline {

/// A statement with its parameters, as a caller sent it.
struct UpstreamStatement
{
  QByteArray mSql;
  std::vector<Cell> mValues;
  std::vector<quint32> mTypes;
  std::vector<qint16> mFormats;
  qint16 mResultFormat = 0;

  bool operator==(const UpstreamStatement&) const = default;
};

/// A statement without parameters.
inline UpstreamStatement
PlainStatement(const QByteArray& aSql)
{
  UpstreamStatement statement;
  statement.mSql = aSql;
  return statement;
}

/// The result of one statement of a batch.
struct StatementResult
{
  std::vector<Column> mColumns;
  /// The rows as encoded DataRow messages, in order.
  QByteArray mEncodedRows;
  /// The first row, for statements whose single row is evaluated here.
  Row mFirstRow;
  size_t mRowCount = 0;
  QByteArray mTag;
  QByteArray mSqlState;
  QByteArray mMessage;
  /// An earlier statement of the batch failed, so this one did not run.
  bool mIsSkipped = false;

  bool IsError() const { return !mSqlState.isEmpty() || mIsSkipped; }
  bool operator==(const StatementResult&) const = default;
};

/// The results of a batch; mIsLost when the connection broke before the end.
struct BatchResult
{
  bool mIsLost = false;
  std::vector<StatementResult> mResults;
};

}
