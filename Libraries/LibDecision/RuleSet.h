#pragma once

#include <bitset>
#include <cstddef>

namespace papayaline {

/// The safety rules of the replication protocol. Production code enables all of
/// them; the exploration test disables one at a time to show that each is
/// needed.
enum class Rule : size_t
{
  MajorityToAcknowledge,
  MajorityToPromote,
  Fence,
  MostAdvancedLog,
  LastEntryTermInToken,
  CurrentTermInEvidence,
  MajorityForFrontier,
  CleanReplicaRead,
  Tombstone,
  AttemptId,
  Count,
};

/// The safety rules of groups whose databases are promoted through the
/// platform, which the exploration test disables one at a time as well.
enum class RelayRule : size_t
{
  /// Fence every replica but a proposed successor.
  FenceEveryReplica,
  /// Promote only a log that holds what the fenced replicas hold.
  FencedEntriesInLog,
  /// Count majorities of former voting lists too.
  FormerLists,
  Count,
};

/// The set of safety rules that are enabled.
template<typename EnumeratedRule>
class RuleSetOf
{
public:
  static RuleSetOf All()
  {
    RuleSetOf rules;
    rules.mRules.set();
    return rules;
  }
  RuleSetOf Without(EnumeratedRule aRule) const
  {
    RuleSetOf rules = *this;
    rules.mRules.reset(static_cast<size_t>(aRule));
    return rules;
  }
  bool Has(EnumeratedRule aRule) const
  {
    return mRules.test(static_cast<size_t>(aRule));
  }
  bool operator==(const RuleSetOf&) const = default;

private:
  std::bitset<static_cast<size_t>(EnumeratedRule::Count)> mRules;
};

using RuleSet = RuleSetOf<Rule>;
using RelayRuleSet = RuleSetOf<RelayRule>;

}
