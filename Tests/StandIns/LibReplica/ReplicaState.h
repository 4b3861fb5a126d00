#pragma once

#include "LibDecision/RuleSet.h"
#include "LibDecision/UpstreamReport.h"

#include <vector>

namespace papayaline {

/// One committed transaction in a database's log.
struct LogEntry
{
  uint64_t mTerm = 0;
  /// The statements of the transaction, ready to run again.
  std::vector<std::string> mStatements;

  bool operator==(const LogEntry&) const = default;
};

/// The replication contract of a database: its log, term and role. Used by the
/// stand-in database and, as the model of a database, by the exploration.
class ReplicaState
{
public:
  explicit ReplicaState(std::string aName, RuleSet aRules = RuleSet::All())
    : mName(std::move(aName))
    , mRules(aRules)
  {
  }

  /// Enters a term: refused when the term or a higher one was seen, unless it
  /// is a repetition of the same attempt.
  bool Fence(uint64_t aTerm, const std::string& aAttempt);
  /// Makes this database the primary and appends the first entry of the term.
  bool Promote(uint64_t aTerm, const std::string& aAttempt);
  bool Follow(uint64_t aTerm,
              const std::string& aAttempt,
              const std::string& aTarget);

  bool IsPrimary() const { return mRole == Role::Primary; }
  /// Precondition: IsPrimary().
  LogPosition Append(std::vector<std::string> aStatements);

  /// Whether entries of a primary in aTerm may be applied.
  bool AcceptsReplication(uint64_t aTerm) const;
  /// Cuts the log to its common prefix with aPrimaryLog; returns its length.
  size_t CommonPrefix(const std::vector<LogEntry>& aPrimaryLog) const;
  void Truncate(size_t aLength);
  void Receive(LogEntry aEntry) { mLog.push_back(std::move(aEntry)); }

  UpstreamReport Report() const;
  const std::vector<LogEntry>& Log() const { return mLog; }
  uint64_t Term() const { return mTerm; }
  const std::string& Name() const { return mName; }
  const std::string& Follows() const { return mFollows; }

  /// Takes what a restarted process read back; it is fenced until told more.
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
