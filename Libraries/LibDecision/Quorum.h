#pragma once

#include "LibDecision/RuleSet.h"
#include "LibDecision/UpstreamReport.h"

#include <optional>
#include <span>
#include <vector>

namespace papayaline {

/// All functions here are pure and may be called from any thread.

/// The smallest number of members that any other majority must meet.
constexpr size_t
MajorityOf(size_t aGroupSize)
{
  return aGroupSize / 2 + 1;
}

/// Whether the log behind aReport contains aToken. The token's entry must be
/// known to be held by a majority; a fenced term alone is never evidence.
bool
ContainsToken(const UpstreamReport& aReport,
              LogPosition aToken,
              RuleSet aRules = RuleSet::All());

/// Whether a majority of a group of aGroupSize held aWritten in its own term.
/// Reports of different times may be combined, because a database that was
/// in the term when it held the entry can only be fenced later.
bool
IsAcknowledged(std::span<const UpstreamReport> aReports,
               size_t aGroupSize,
               LogPosition aWritten,
               RuleSet aRules = RuleSet::All());

/// The reports that were asked for at or after aNotBefore.
std::vector<UpstreamReport>
AskedSince(std::span<const UpstreamReport> aReports, Instant aNotBefore);

/// A position that includes every write acknowledged before mBegan.
struct Frontier
{
  LogPosition mPosition;
  Instant mBegan;

  bool operator==(const Frontier&) const = default;
};

/// Confirms a frontier from reports that were all asked for at or after
/// aNotBefore. With r of n answers, a write held by a majority m is held by at
/// least m - (n - r) of the answering databases, so the position of that rank
/// includes it. Returns nothing unless a majority answered in one term and the
/// position belongs to that term.
std::optional<Frontier>
ConfirmFrontier(std::span<const UpstreamReport> aReports,
                size_t aGroupSize,
                Instant aNotBefore,
                RuleSet aRules = RuleSet::All());

/// Whether what a replica shows can no longer vanish in a group of at most
/// three: its last entry belongs to the term that it is in.
bool
IsCleanReplica(const UpstreamReport& aReport, RuleSet aRules = RuleSet::All());

/// The primary of the highest term among the reports, or null.
const UpstreamReport*
FindPrimary(std::span<const UpstreamReport> aReports);

}
