#pragma once

#include "LibWire/MessageWriter.h"

namespace papayaline {

/// A statement with its parameters, for one execution on an upstream.
struct UpstreamStatement
{
  QByteArray mSql;
  std::vector<Cell> mValues;
  std::vector<quint32> mTypes;
  std::vector<qint16> mFormats;
  qint16 mResultFormat = 0;

  bool operator==(const UpstreamStatement&) const = default;
};

/// Makes a statement without parameters.
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
  /// All rows in order, encoded as DataRow messages.
  QByteArray mEncodedRows;
  /// The first row, decoded, for statements whose result the proxy itself
  /// evaluates.
  Row mFirstRow;
  size_t mRowCount = 0;
  QByteArray mTag;
  QByteArray mSqlState;
  QByteArray mMessage;
  /// The statement was not executed, because an earlier one of the batch
  /// failed.
  bool mIsSkipped = false;

  bool IsError() const { return !mSqlState.isEmpty() || mIsSkipped; }
  bool operator==(const StatementResult&) const = default;
};

/// The results of a batch. When the connection closed before the end of the
/// batch, mIsLost is set and the results are incomplete.
struct BatchResult
{
  bool mIsLost = false;
  std::vector<StatementResult> mResults;
};

}
