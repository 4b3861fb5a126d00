#pragma once

#include "LibDecision/RuleSet.h"
#include "LibDecision/UpstreamReport.h"

#include <optional>
#include <span>
#include <vector>

namespace papayaline {

/// All functions in this file are pure and may be called from any thread.

/// The smallest number of members of which any two sets intersect.
constexpr size_t
MajorityOf(size_t aGroupSize)
{
  return aGroupSize / 2 + 1;
}

/// Whether the log that aReport describes contains aToken.
/// Precondition: a majority is known to hold the entry of aToken. The term that
/// a database is fenced for is not evidence of what its log contains.
bool
ContainsToken(const UpstreamReport& aReport,
              LogPosition aToken,
              RuleSet aRules = RuleSet::All());

/// Whether a majority of a group of aGroupSize held the entry at aWritten while
/// in the term of that entry. Reports of different times may be combined,
/// because a database that held the entry in that term can only have been
/// fenced for another term afterwards.
bool
IsAcknowledged(std::span<const UpstreamReport> aReports,
               size_t aGroupSize,
               LogPosition aWritten,
               RuleSet aRules = RuleSet::All());

/// The reports whose requests were sent at or after aNotBefore.
std::vector<UpstreamReport>
AskedSince(std::span<const UpstreamReport> aReports, Instant aNotBefore);

/// A log position that includes every write acknowledged before
/// mCompleteUntil.
struct Frontier
{
  LogPosition mPosition;
  Instant mCompleteUntil;

  bool operator==(const Frontier&) const = default;
};

/// Confirms a frontier from the reports whose requests were sent at or after
/// aNotBefore. When r of n databases answered, a write held by a majority m is
/// held by at least m - (n - r) of them, so the position of that rank, in
/// descending order, includes the write. Returns nothing unless a majority
/// reported the same term and the position belongs to that term.
std::optional<Frontier>
ConfirmFrontier(std::span<const UpstreamReport> aReports,
                size_t aGroupSize,
                Instant aNotBefore,
                RuleSet aRules = RuleSet::All());

/// Whether a failover can't remove what a read at this replica returns: the
/// last entry of the replica belongs to the term that it is fenced for. Holds
/// for groups of at most three databases.
bool
IsCleanReplica(const UpstreamReport& aReport, RuleSet aRules = RuleSet::All());

/// The report of the primary with the highest term, or null.
const UpstreamReport*
FindPrimary(std::span<const UpstreamReport> aReports);

}
