#include "SqlEngine.h"

namespace papayaline {

namespace {

constexpr quint32 kInt8Oid = 20;
constexpr quint32 kFloat8Oid = 701;
constexpr quint32 kTextOid = 25;

quint32
TypeOidOf(int aSqliteType)
{
  switch (aSqliteType) {
    case SQLITE_INTEGER:
      return kInt8Oid;
    case SQLITE_FLOAT:
      return kFloat8Oid;
    default:
      return kTextOid;
  }
}

Row
CurrentRow(sqlite3_stmt* aHandle)
{
  Row row;
  for (int it = 0; it < sqlite3_column_count(aHandle); ++it) {
    if (sqlite3_column_type(aHandle, it) == SQLITE_NULL) {
      row.emplace_back(std::nullopt);
      continue;
    }
    const auto* text =
      reinterpret_cast<const char*>(sqlite3_column_text(aHandle, it));
    row.emplace_back(QByteArray(text, sqlite3_column_bytes(aHandle, it)));
  }
  return row;
}

QByteArray
CommandTag(const QByteArray& aSql, size_t aRows, int aChanges)
{
  const auto word = aSql.trimmed().split(' ').front().toUpper();
  if (word == "INSERT") {
    return "INSERT 0 " + QByteArray::number(aChanges);
  }
  if (word == "UPDATE" || word == "DELETE") {
    return word + " " + QByteArray::number(aChanges);
  }
  if (word == "CREATE" || word == "DROP") {
    return word + " TABLE";
  }
  return "SELECT " + QByteArray::number(aRows);
}

}

SqlResult
MakeSqlError(const QByteArray& aSqlState, const QByteArray& aMessage)
{
  SqlResult result;
  result.mSqlState = aSqlState;
  result.mMessage = aMessage;
  return result;
}

SqlEngine::SqlEngine(const QString& aFile)
{
  sqlite3* handle = nullptr;
  sqlite3_open(aFile.toUtf8().constData(), &handle);
  mDatabase.reset(handle);
  sqlite3_busy_timeout(handle, 1000);
  RunSql("PRAGMA journal_mode=WAL");
  RunSql("PRAGMA synchronous=OFF");
}

std::string
SqlEngine::Statement::ExpandedSql() const
{
  char* text = sqlite3_expanded_sql(mHandle.get());
  std::string expanded(text ? text : "");
  sqlite3_free(text);
  return expanded;
}

SqlResult
SqlEngine::LastError() const
{
  const QByteArray message = sqlite3_errmsg(mDatabase.get());
  const int code = sqlite3_errcode(mDatabase.get());
  if (code == SQLITE_CONSTRAINT) {
    return MakeSqlError("23505", message);
  }
  if (code == SQLITE_BUSY || code == SQLITE_LOCKED) {
    return MakeSqlError("40001", message);
  }
  if (message.startsWith("no such table")) {
    return MakeSqlError("42P01", message);
  }
  return MakeSqlError("42601", message);
}

SqlResult
SqlEngine::Prepare(const QByteArray& aSql,
                   const std::vector<Cell>& aValues,
                   Statement& aStatement)
{
  sqlite3_stmt* handle = nullptr;
  const int ec = sqlite3_prepare_v2(mDatabase.get(),
                                    aSql.constData(),
                                    static_cast<int>(aSql.size()),
                                    &handle,
                                    nullptr);
  aStatement.mHandle.reset(handle);
  if (ec != SQLITE_OK || !handle) {
    return LastError();
  }
  for (size_t it = 0; it < aValues.size(); ++it) {
    const auto name = "$" + std::to_string(it + 1);
    const int index = sqlite3_bind_parameter_index(handle, name.c_str());
    if (index == 0) {
      continue;
    }
    if (!aValues[it]) {
      sqlite3_bind_null(handle, index);
      continue;
    }
    const auto& value = *aValues[it];
    bool isInteger = false;
    const auto number = value.toLongLong(&isInteger);
    if (isInteger && QByteArray::number(number) == value) {
      sqlite3_bind_int64(handle, index, number);
    } else {
      sqlite3_bind_text(handle,
                        index,
                        value.constData(),
                        static_cast<int>(value.size()),
                        SQLITE_TRANSIENT);
    }
  }
  return {};
}

SqlResult
SqlEngine::Run(Statement& aStatement, const QByteArray& aSql)
{
  auto* handle = aStatement.mHandle.get();
  SqlResult result;
  int ec = sqlite3_step(handle);
  for (int it = 0; it < sqlite3_column_count(handle); ++it) {
    Column column;
    column.mName = sqlite3_column_name(handle, it);
    column.mTypeOid =
      ec == SQLITE_ROW ? TypeOidOf(sqlite3_column_type(handle, it)) : kTextOid;
    result.mColumns.push_back(column);
  }
  for (; ec == SQLITE_ROW; ec = sqlite3_step(handle)) {
    result.mRows.push_back(CurrentRow(handle));
  }
  if (ec != SQLITE_DONE) {
    return LastError();
  }
  result.mTag =
    CommandTag(aSql, result.mRows.size(), sqlite3_changes(mDatabase.get()));
  return result;
}

SqlResult
SqlEngine::RunSql(const std::string& aSql)
{
  char* message = nullptr;
  if (sqlite3_exec(mDatabase.get(), aSql.c_str(), nullptr, nullptr, &message) !=
      SQLITE_OK) {
    sqlite3_free(message);
    return LastError();
  }
  return {};
}

}
