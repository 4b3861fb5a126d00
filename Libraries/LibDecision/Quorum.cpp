#include "LibDecision/Quorum.h"

#include <algorithm>
#include <functional>

namespace papayaline {

bool
ContainsToken(const UpstreamReport& aReport, LogPosition aToken, RuleSet aRules)
{
  const auto term = aRules.Has(Rule::LastEntryTermInToken)
                      ? aReport.mLast.mTerm
                      : aReport.mFencedTerm;
  return term >= aToken.mTerm && aReport.mLast.mOffset >= aToken.mOffset;
}

bool
IsAcknowledged(std::span<const UpstreamReport> aReports,
               size_t aGroupSize,
               LogPosition aWritten,
               RuleSet aRules)
{
  const auto holds = [&](const UpstreamReport& aReport) {
    if (aRules.Has(Rule::CurrentTermInEvidence)) {
      return aReport.mLast.mTerm == aWritten.mTerm &&
             aReport.mFencedTerm == aWritten.mTerm &&
             aReport.mLast.mOffset >= aWritten.mOffset;
    }
    return ContainsToken(aReport, aWritten, aRules);
  };
  const size_t needed =
    aRules.Has(Rule::MajorityToAcknowledge) ? MajorityOf(aGroupSize) : 1;
  return static_cast<size_t>(std::ranges::count_if(aReports, holds)) >= needed;
}

std::vector<UpstreamReport>
AskedSince(std::span<const UpstreamReport> aReports, Instant aNotBefore)
{
  std::vector<UpstreamReport> fresh;
  std::ranges::copy_if(
    aReports, std::back_inserter(fresh), [&](const auto& it) {
      return it.mRequestedAt >= aNotBefore;
    });
  return fresh;
}

std::optional<Frontier>
ConfirmFrontier(std::span<const UpstreamReport> aReports,
                size_t aGroupSize,
                Instant aNotBefore,
                RuleSet aRules)
{
  auto fresh = AskedSince(aReports, aNotBefore);
  if (fresh.empty()) {
    return std::nullopt;
  }
  const auto term =
    std::ranges::max(fresh, {}, &UpstreamReport::mFencedTerm).mFencedTerm;
  std::erase_if(fresh, [&](const auto& it) { return it.mFencedTerm != term; });
  const size_t majority =
    aRules.Has(Rule::MajorityForFrontier) ? MajorityOf(aGroupSize) : 1;
  if (fresh.size() < majority) {
    return std::nullopt;
  }
  std::ranges::sort(fresh, std::greater{}, &UpstreamReport::mLast);
  const size_t unanswered = aGroupSize - std::min(aGroupSize, fresh.size());
  const size_t rank = majority > unanswered ? majority - unanswered : 1;
  const auto position = fresh[rank - 1].mLast;
  if (position.mTerm != term) {
    return std::nullopt;
  }
  const auto completeUntil =
    std::ranges::min(fresh, {}, &UpstreamReport::mRequestedAt).mRequestedAt;
  return Frontier{ position, completeUntil };
}

bool
IsCleanReplica(const UpstreamReport& aReport, RuleSet aRules)
{
  return aReport.mRole == Role::Replica &&
         (!aRules.Has(Rule::CleanReplicaRead) ||
          aReport.mLast.mTerm == aReport.mFencedTerm);
}

const UpstreamReport*
FindPrimary(std::span<const UpstreamReport> aReports)
{
  const UpstreamReport* primary = nullptr;
  for (const auto& it : aReports) {
    if (it.mRole == Role::Primary &&
        (!primary || it.mFencedTerm > primary->mFencedTerm)) {
      primary = &it;
    }
  }
  return primary;
}

}
