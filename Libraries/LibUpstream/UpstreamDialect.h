#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibCore/Result.h"
#include "LibDecision/FailoverMachine.h"
#include "LibUpstream/UpstreamStatement.h"

namespace papayaline {

/// The ledger entry of a request id.
struct LedgerRow
{
  enum class Kind
  {
    Missing,
    Done,
    Tombstone,
  };
  Kind mKind = Kind::Missing;
  /// Identifies one version of a tombstone, so that only one write claims it.
  QByteArray mNonce;
  QByteArray mTag;
  /// The columns and rows of the recorded answer; empty when the answer exceeds
  /// the size limit of the ledger.
  QByteArray mReply;

  bool operator==(const LedgerRow&) const = default;
};

/// Builds the SQL statements that read and change the replication state of a
/// database and that maintain the ledger, and parses their results. No other
/// part of the system contains this SQL. Thread safety: immutable, any thread.
class UpstreamDialect
{
public:
  /// The dialect of databases that provide the papayaline_... functions.
  static const UpstreamDialect& Default();

  UpstreamStatement Status() const;
  UpstreamStatement Command(const SendCommand& aCommand,
                            const Address& aTarget) const;
  Result<UpstreamReport> ParseReport(const std::string& aUpstream,
                                     const StatementResult& aResult,
                                     Instant aRequestedAt) const;
  /// Whether the database accepted a control command.
  static bool IsGranted(const StatementResult& aResult);
  /// Whether the database rejected a statement because it is not the primary,
  /// or because its writes are quiesced for a switchover.
  static bool IsNotPrimary(const StatementResult& aResult);
  static bool IsUniqueViolation(const StatementResult& aResult);
  static bool IsUndefinedTable(const StatementResult& aResult);

  /// Reads the log position of the session's last commit.
  UpstreamStatement LastCommit() const;
  Result<LogPosition> ParsePosition(const StatementResult& aResult) const;

  /// Creates the ledger table if it does not exist.
  UpstreamStatement CreateLedger() const;
  /// Records the request id as done. Fails with a unique violation when the
  /// ledger has an entry for it.
  UpstreamStatement InsertLedger(const QByteArray& aRequestId,
                                 int64_t aNowSeconds) const;
  /// Replaces the tombstone with that nonce by an entry that is done. Returns
  /// no row when the tombstone has another nonce.
  UpstreamStatement ClaimTombstone(const QByteArray& aRequestId,
                                   const QByteArray& aNonce,
                                   int64_t aNowSeconds) const;
  /// Adds the answer to the entry of a request id.
  UpstreamStatement RecordReply(const QByteArray& aRequestId,
                                const QByteArray& aTag,
                                const QByteArray& aReply) const;
  /// Writes a tombstone unless the request is done. An existing tombstone gets
  /// the new nonce, so that claims with the previous nonce fail.
  UpstreamStatement InsertTombstone(const QByteArray& aRequestId,
                                    const QByteArray& aNonce,
                                    int64_t aNowSeconds) const;
  UpstreamStatement ReadLedger(const QByteArray& aRequestId) const;
  LedgerRow ParseLedger(const StatementResult& aResult) const;
  /// Deletes the entries that were recorded before aBeforeSeconds (Unix time).
  UpstreamStatement ExpireLedger(int64_t aBeforeSeconds) const;
};

}
