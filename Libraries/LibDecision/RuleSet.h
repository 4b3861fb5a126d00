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

/// The set of safety rules that are enabled.
class RuleSet
{
public:
  static RuleSet All()
  {
    RuleSet rules;
    rules.mRules.set();
    return rules;
  }
  RuleSet Without(Rule aRule) const
  {
    RuleSet rules = *this;
    rules.mRules.reset(static_cast<size_t>(aRule));
    return rules;
  }
  bool Has(Rule aRule) const { return mRules.test(static_cast<size_t>(aRule)); }
  bool operator==(const RuleSet&) const = default;

private:
  std::bitset<static_cast<size_t>(Rule::Count)> mRules;
};

}
