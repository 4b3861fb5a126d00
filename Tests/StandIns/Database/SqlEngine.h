#pragma once

#include "LibWire/MessageWriter.h"

#include <QString>
#include <memory>
#include <sqlite3.h>
#include <string>

namespace papayaline {

/// The result of one statement, or its SQLSTATE and error message.
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
MakeSqlError(const QByteArray& aSqlState, const QByteArray& aMessage);

/// A SQLite connection to the file that holds a stand-in database's tables.
class SqlEngine
{
public:
  explicit SqlEngine(const QString& aFile);

  /// A prepared statement with its parameters bound.
  class Statement
  {
  public:
    bool IsWrite() const { return sqlite3_stmt_readonly(mHandle.get()) == 0; }
    /// Returns the SQL text with the parameter values in place, as a replica
    /// runs it.
    std::string ExpandedSql() const;

  private:
    friend class SqlEngine;
    struct Finalizer
    {
      void operator()(sqlite3_stmt* aIt) const { sqlite3_finalize(aIt); }
    };
    std::unique_ptr<sqlite3_stmt, Finalizer> mHandle;
  };

  /// Prepares aSql and binds aValues to $1, $2 and so on. Returns an error
  /// result if SQLite can't prepare the statement.
  SqlResult Prepare(const QByteArray& aSql,
                    const std::vector<Cell>& aValues,
                    Statement& aStatement);
  /// Runs aStatement; its command tag is derived from aSql.
  SqlResult Run(Statement& aStatement, const QByteArray& aSql);
  /// Runs SQL without parameters, for log replay and transaction control.
  SqlResult RunSql(const std::string& aSql);

private:
  struct Closer
  {
    void operator()(sqlite3* aIt) const { sqlite3_close_v2(aIt); }
  };
  SqlResult LastError() const;

  std::unique_ptr<sqlite3, Closer> mDatabase;
};

}
