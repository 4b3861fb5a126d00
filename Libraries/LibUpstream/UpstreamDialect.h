#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibCore/Result.h"
#include "LibDecision/FailoverMachine.h"
#include "LibUpstream/UpstreamStatement.h"

namespace papayaline {

/// What the ledger holds for a request id.
struct LedgerRow
{
  enum class Kind
  {
    Missing,
    Done,
    Tombstone,
  };
  Kind mKind = Kind::Missing;
  /// Identifies a tombstone, so that it can be claimed once.
  QByteArray mNonce;
  QByteArray mTag;
  /// The columns and rows of the recorded answer, when it was small enough.
  QByteArray mReply;

  bool operator==(const LedgerRow&) const = default;
};

/// The SQL by which databases of one kind report and change their replication
/// state and keep the ledger. A table of statement builders; nothing else in
/// the system knows this SQL. Thread safety: immutable, any thread.
class UpstreamDialect
{
public:
  /// The dialect of databases with the papayaline_ functions.
  static const UpstreamDialect& Default();

  UpstreamStatement Status() const;
  UpstreamStatement Command(const SendCommand& aCommand,
                            const Address& aTarget) const;
  Result<UpstreamReport> ParseReport(const std::string& aUpstream,
                                     const StatementResult& aResult,
                                     Instant aRequestedAt) const;
  static bool IsGranted(const StatementResult& aResult);
  /// The database is no longer the primary, or is about to hand over.
  static bool IsNotPrimary(const StatementResult& aResult);
  static bool IsUniqueViolation(const StatementResult& aResult);
  static bool IsUndefinedTable(const StatementResult& aResult);

  UpstreamStatement LastCommit() const;
  Result<LogPosition> ParsePosition(const StatementResult& aResult) const;

  /// Creates the ledger table unless it exists.
  UpstreamStatement CreateLedger() const;
  /// Takes the request id; fails with a unique violation when it is taken.
  UpstreamStatement InsertLedger(const QByteArray& aRequestId,
                                 int64_t aNowSeconds) const;
  /// Takes a request id over from the tombstone with that nonce; changes no
  /// row when the tombstone is another by now.
  UpstreamStatement ClaimTombstone(const QByteArray& aRequestId,
                                   const QByteArray& aNonce,
                                   int64_t aNowSeconds) const;
  UpstreamStatement RecordReply(const QByteArray& aRequestId,
                                const QByteArray& aTag,
                                const QByteArray& aReply) const;
  /// Writes a tombstone unless the request is done; a tombstone that exists
  /// gets the new nonce, which ends older claims on it.
  UpstreamStatement InsertTombstone(const QByteArray& aRequestId,
                                    const QByteArray& aNonce,
                                    int64_t aNowSeconds) const;
  UpstreamStatement ReadLedger(const QByteArray& aRequestId) const;
  LedgerRow ParseLedger(const StatementResult& aResult) const;
  UpstreamStatement ExpireLedger(int64_t aBeforeSeconds) const;
};

}
