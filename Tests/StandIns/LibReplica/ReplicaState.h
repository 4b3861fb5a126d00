#pragma once

#include "LibDecision/RuleSet.h"
#include "LibDecision/UpstreamReport.h"

#include <vector>

namespace papayaline {

/// One committed transaction in a database's log.
struct LogEntry
{
  uint64_t mTerm = 0;
  /// The SQL statements of the transaction, with parameter values in place.
  std::vector<std::string> mStatements;

  bool operator==(const LogEntry&) const = default;
};

/// The replication state machine of a database: its log, term and role. The
/// stand-in database runs it, and the exploration uses it as the model of a
/// database.
class ReplicaState
{
public:
  explicit ReplicaState(std::string aName, RuleSet aRules = RuleSet::All())
    : mName(std::move(aName))
    , mRules(aRules)
  {
  }

  /// Enters the term aTerm. Refuses a term that is not higher than the current
  /// one, unless the call is a retry of the current attempt.
  bool Fence(uint64_t aTerm, const std::string& aAttempt);
  /// Makes this fenced database the primary and appends the first entry of the
  /// term, which is empty. A retry of the current attempt succeeds without
  /// effect; a replica or another attempt is refused.
  bool Promote(uint64_t aTerm, const std::string& aAttempt);
  /// Makes this database a replica of aTarget. Refused for a primary, and for
  /// another attempt than the current one.
  bool Follow(uint64_t aTerm,
              const std::string& aAttempt,
              const std::string& aTarget);

  bool IsPrimary() const { return mRole == Role::Primary; }
  /// Appends a transaction and returns its position. Precondition: IsPrimary().
  LogPosition Append(std::vector<std::string> aStatements);

  /// Returns whether entries from the primary of aTerm may be applied.
  bool AcceptsReplication(uint64_t aTerm) const;
  /// Returns the length of the log's common prefix with aPrimaryLog, by the
  /// terms of the entries. Doesn't truncate the log.
  size_t CommonPrefixLength(const std::vector<LogEntry>& aPrimaryLog) const;
  void Truncate(size_t aLength);
  void AppendReplicated(LogEntry aEntry) { mLog.push_back(std::move(aEntry)); }

  UpstreamReport Report() const;
  const std::vector<LogEntry>& Log() const { return mLog; }
  uint64_t Term() const { return mTerm; }
  const std::string& Name() const { return mName; }
  const std::string& Follows() const { return mFollows; }

  /// Restores the state that a restarted process read from its journal. The
  /// database is fenced until it is promoted or follows a primary.
  void Restore(uint64_t aTerm,
               std::string aAttempt,
               std::vector<LogEntry> aLog);

  bool operator==(const ReplicaState&) const = default;

private:
  bool IsCurrentAttempt(uint64_t aTerm, const std::string& aAttempt) const;

  std::string mName;
  RuleSet mRules;
  uint64_t mTerm = 0;
  std::string mAttempt;
  Role mRole = Role::Fenced;
  std::string mFollows;
  std::vector<LogEntry> mLog;
};

}
