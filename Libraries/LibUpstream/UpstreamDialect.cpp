#include "LibUpstream/UpstreamDialect.h"

#include <algorithm>

namespace papayaline {

namespace {

constexpr int kQuiesceDurationMs = 2000;

QByteArray
Number(uint64_t aValue)
{
  return QByteArray::number(quint64(aValue));
}

QByteArray
Bytes(const std::string& aText)
{
  return QByteArray::fromStdString(aText);
}

UpstreamStatement
Statement(const QByteArray& aSql, std::vector<Cell> aValues = {})
{
  UpstreamStatement statement;
  statement.mSql = aSql;
  statement.mValues = std::move(aValues);
  return statement;
}

/// The value of a named column in the first row; empty when the column or the
/// row does not exist.
QByteArray
Field(const StatementResult& aResult, const char* aName)
{
  const auto it =
    std::ranges::find(aResult.mColumns, QByteArray(aName), &Column::mName);
  const auto at = static_cast<size_t>(it - aResult.mColumns.begin());
  return at < aResult.mFirstRow.size()
           ? aResult.mFirstRow[at].value_or(QByteArray())
           : QByteArray();
}

Role
ParseRole(const QByteArray& aName)
{
  if (aName == "primary") {
    return Role::Primary;
  }
  return aName == "replica" ? Role::Replica : Role::Fenced;
}

Error
UnexpectedAnswerError(const StatementResult& aResult)
{
  return { ErrorKind::UpstreamLost,
           "unexpected answer from the database: " +
             aResult.mMessage.toStdString() };
}

}

const UpstreamDialect&
UpstreamDialect::Default()
{
  static const UpstreamDialect sDialect;
  return sDialect;
}

UpstreamStatement
UpstreamDialect::Status() const
{
  return Statement("SELECT * FROM papayaline_status()");
}

UpstreamStatement
UpstreamDialect::Command(const SendCommand& aCommand,
                         const Address& aTarget) const
{
  std::vector<Cell> values = { Number(aCommand.mTerm),
                               Bytes(aCommand.mAttempt) };
  switch (aCommand.mKind) {
    case CommandKind::Fence:
      return Statement("SELECT * FROM papayaline_fence($1, $2)", values);
    case CommandKind::Promote:
      return Statement("SELECT * FROM papayaline_promote($1, $2)", values);
    case CommandKind::Quiesce:
      values.emplace_back(QByteArray::number(kQuiesceDurationMs));
      return Statement("SELECT * FROM papayaline_quiesce($1, $2, $3)", values);
    case CommandKind::Follow:
      break;
  }
  values.emplace_back(Bytes(aCommand.mTarget));
  values.emplace_back(Bytes(aTarget.mHost));
  values.emplace_back(QByteArray::number(aTarget.mPort));
  return Statement("SELECT * FROM papayaline_follow($1, $2, $3, $4, $5)",
                   values);
}

Result<UpstreamReport>
UpstreamDialect::ParseReport(const std::string& aUpstream,
                             const StatementResult& aResult,
                             Instant aRequestedAt) const
{
  if (aResult.IsError() || aResult.mRowCount != 1) {
    return UnexpectedAnswerError(aResult);
  }
  UpstreamReport report;
  report.mUpstream = aUpstream;
  report.mFencedTerm = Field(aResult, "fenced_term").toULongLong();
  report.mAttempt = Field(aResult, "attempt").toStdString();
  report.mRole = ParseRole(Field(aResult, "role"));
  report.mLast = { Field(aResult, "last_term").toULongLong(),
                   Field(aResult, "position").toULongLong() };
  report.mFollows = Field(aResult, "follows").toStdString();
  report.mOpenWrites = Field(aResult, "open_writes").toUInt();
  report.mQuiesced = Field(aResult, "quiesced") == "t";
  report.mRequestedAt = aRequestedAt;
  return report;
}

bool
UpstreamDialect::IsGranted(const StatementResult& aResult)
{
  return Field(aResult, "granted") == "t";
}

bool
UpstreamDialect::IsNotPrimary(const StatementResult& aResult)
{
  return aResult.mSqlState == "25006" || aResult.mSqlState == "57P03";
}

bool
UpstreamDialect::IsUniqueViolation(const StatementResult& aResult)
{
  return aResult.mSqlState == "23505";
}

bool
UpstreamDialect::IsUndefinedTable(const StatementResult& aResult)
{
  return aResult.mSqlState == "42P01";
}

UpstreamStatement
UpstreamDialect::LastCommit() const
{
  return Statement("SELECT * FROM papayaline_last_commit()");
}

Result<LogPosition>
UpstreamDialect::ParsePosition(const StatementResult& aResult) const
{
  if (aResult.IsError() || aResult.mRowCount != 1) {
    return UnexpectedAnswerError(aResult);
  }
  return LogPosition{ Field(aResult, "term").toULongLong(),
                      Field(aResult, "position").toULongLong() };
}

UpstreamStatement
UpstreamDialect::CreateLedger() const
{
  return Statement("CREATE TABLE IF NOT EXISTS papayaline_ledger ("
                   "request_id TEXT PRIMARY KEY, kind TEXT NOT NULL, "
                   "nonce TEXT, tag TEXT, reply TEXT, "
                   "recorded_at BIGINT NOT NULL)");
}

UpstreamStatement
UpstreamDialect::InsertLedger(const QByteArray& aRequestId,
                              int64_t aNowSeconds) const
{
  return Statement("INSERT INTO papayaline_ledger "
                   "(request_id, kind, recorded_at) VALUES ($1, 'done', $2)",
                   { aRequestId, QByteArray::number(qint64(aNowSeconds)) });
}

UpstreamStatement
UpstreamDialect::ClaimTombstone(const QByteArray& aRequestId,
                                const QByteArray& aNonce,
                                int64_t aNowSeconds) const
{
  return Statement(
    "UPDATE papayaline_ledger "
    "SET kind = 'done', recorded_at = $3 "
    "WHERE request_id = $1 AND kind = 'tombstone' "
    "AND nonce = $2 RETURNING request_id",
    { aRequestId, aNonce, QByteArray::number(qint64(aNowSeconds)) });
}

UpstreamStatement
UpstreamDialect::RecordReply(const QByteArray& aRequestId,
                             const QByteArray& aTag,
                             const QByteArray& aReply) const
{
  return Statement("UPDATE papayaline_ledger SET tag = $2, reply = $3 "
                   "WHERE request_id = $1",
                   { aRequestId, aTag, aReply });
}

UpstreamStatement
UpstreamDialect::InsertTombstone(const QByteArray& aRequestId,
                                 const QByteArray& aNonce,
                                 int64_t aNowSeconds) const
{
  return Statement(
    "INSERT INTO papayaline_ledger "
    "(request_id, kind, nonce, recorded_at) "
    "VALUES ($1, 'tombstone', $2, $3) "
    "ON CONFLICT (request_id) DO UPDATE "
    "SET nonce = excluded.nonce "
    "WHERE papayaline_ledger.kind = 'tombstone'",
    { aRequestId, aNonce, QByteArray::number(qint64(aNowSeconds)) });
}

UpstreamStatement
UpstreamDialect::ReadLedger(const QByteArray& aRequestId) const
{
  return Statement("SELECT kind, nonce, tag, reply FROM papayaline_ledger "
                   "WHERE request_id = $1",
                   { aRequestId });
}

LedgerRow
UpstreamDialect::ParseLedger(const StatementResult& aResult) const
{
  if (aResult.IsError() || aResult.mRowCount == 0) {
    return {};
  }
  const bool isDone = Field(aResult, "kind") == "done";
  return { isDone ? LedgerRow::Kind::Done : LedgerRow::Kind::Tombstone,
           Field(aResult, "nonce"),
           Field(aResult, "tag"),
           Field(aResult, "reply") };
}

UpstreamStatement
UpstreamDialect::ExpireLedger(int64_t aBeforeSeconds) const
{
  return Statement("DELETE FROM papayaline_ledger WHERE recorded_at < $1",
                   { QByteArray::number(qint64(aBeforeSeconds)) });
}

}
