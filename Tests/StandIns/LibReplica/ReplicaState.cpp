#include "LibReplica/ReplicaState.h"

#include <algorithm>

namespace papayaline {

bool
ReplicaState::IsCurrentAttempt(uint64_t aTerm,
                               const std::string& aAttempt) const
{
  return aTerm == mTerm &&
         (aAttempt == mAttempt || !mRules.Has(Rule::AttemptId));
}

bool
ReplicaState::Fence(uint64_t aTerm, const std::string& aAttempt)
{
  if (IsCurrentAttempt(aTerm, aAttempt)) {
    return true;
  }
  if (aTerm <= mTerm) {
    return false;
  }
  mTerm = aTerm;
  mAttempt = aAttempt;
  if (mRules.Has(Rule::Fence)) {
    mRole = Role::Fenced;
    mFollows.clear();
  }
  return true;
}

bool
ReplicaState::Promote(uint64_t aTerm, const std::string& aAttempt)
{
  if (!IsCurrentAttempt(aTerm, aAttempt) || mRole == Role::Replica) {
    return false;
  }
  if (mRole == Role::Fenced) {
    mRole = Role::Primary;
    mLog.push_back({ mTerm, {} });
  }
  return true;
}

bool
ReplicaState::Follow(uint64_t aTerm,
                     const std::string& aAttempt,
                     const std::string& aTarget)
{
  if (!IsCurrentAttempt(aTerm, aAttempt) || mRole == Role::Primary) {
    return false;
  }
  mRole = Role::Replica;
  mFollows = aTarget;
  return true;
}

LogPosition
ReplicaState::Append(std::vector<std::string> aStatements)
{
  mLog.push_back({ mTerm, std::move(aStatements) });
  return { mTerm, mLog.size() };
}

bool
ReplicaState::AcceptsReplication(uint64_t aTerm) const
{
  return mRole == Role::Replica && (aTerm == mTerm || !mRules.Has(Rule::Fence));
}

size_t
ReplicaState::CommonPrefixLength(const std::vector<LogEntry>& aPrimaryLog) const
{
  const auto [ownEnd, primaryEnd] = std::ranges::mismatch(
    mLog, aPrimaryLog, {}, &LogEntry::mTerm, &LogEntry::mTerm);
  return static_cast<size_t>(ownEnd - mLog.begin());
}

void
ReplicaState::Truncate(size_t aLength)
{
  mLog.resize(std::min(aLength, mLog.size()));
}

UpstreamReport
ReplicaState::Report() const
{
  UpstreamReport report;
  report.mUpstream = mName;
  report.mFencedTerm = mTerm;
  report.mAttempt = mAttempt;
  report.mRole = mRole;
  report.mLast = { mLog.empty() ? 0 : mLog.back().mTerm, mLog.size() };
  report.mFollows = mFollows;
  return report;
}

void
ReplicaState::Restore(uint64_t aTerm,
                      std::string aAttempt,
                      std::vector<LogEntry> aLog)
{
  mTerm = aTerm;
  mAttempt = std::move(aAttempt);
  mLog = std::move(aLog);
  mRole = Role::Fenced;
}

}
