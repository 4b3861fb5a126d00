#pragma once

#include "LibWire/MessageWriter.h"

#include <QString>
#include <memory>
#include <sqlite3.h>
#include <string>

namespace papayaline {

/// The result of one statement, or the SQLSTATE and text of its failure.
struct SqlResult
{
  std::vector<Column> mColumns;
  std::vector<Row> mRows;
  QByteArray mTag;
  QByteArray mSqlState;
  QByteArray mMessage;

  bool IsError() const { return !mSqlState.isEmpty(); }
};

SqlResult
SqlFailure(const QByteArray& aSqlState, const QByteArray& aMessage);

/// One SQLite connection to the database file.
class SqlEngine
{
public:
  explicit SqlEngine(const QString& aFile);

  /// A statement with its parameters bound.
  class Statement
  {
  public:
    bool IsWrite() const { return sqlite3_stmt_readonly(mHandle.get()) == 0; }
    /// The text with its parameters filled in, ready to run on a replica.
    std::string Expanded() const;

  private:
    friend class SqlEngine;
    struct Finalizer
    {
      void operator()(sqlite3_stmt* aIt) const { sqlite3_finalize(aIt); }
    };
    std::unique_ptr<sqlite3_stmt, Finalizer> mHandle;
  };

  /// Fills aStatement; on failure returns an error result.
  SqlResult Prepare(const QByteArray& aSql,
                    const std::vector<Cell>& aValues,
                    Statement& aStatement);
  SqlResult Run(Statement& aStatement, const QByteArray& aSql);
  /// Runs a statement without parameters; for replay and transactions.
  SqlResult RunText(const std::string& aSql);

private:
  struct Closer
  {
    void operator()(sqlite3* aIt) const { sqlite3_close_v2(aIt); }
  };
  SqlResult LastFailure() const;

  std::unique_ptr<sqlite3, Closer> mDatabase;
};

}
