#include "LibDecision/LoadNews.h"

#include <algorithm>

namespace papayaline {

namespace {

/// News older than this say nothing. Shorter than the shortest usual timeout of
/// a route.
constexpr Duration kMaxNewsAge = std::chrono::seconds(1);
/// The part of the statements that are sent to a home although it is not
/// expected to serve them in time.
constexpr double kLearningPart = 1.0 / 16;

}

void
LoadNews::Record(const std::string& aHome,
                 QueueKind aKind,
                 const GroupLoad& aLoad,
                 Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& it) {
    return aNow - it.second.mAt > kMaxNewsAge;
  });
  mEntries[{ aHome, aKind }] = { aLoad, aNow };
}

std::optional<Duration>
LoadNews::WaitAt(const std::string& aHome,
                 QueueKind aKind,
                 unsigned aRank,
                 Instant aNow) const
{
  const auto it = mEntries.find({ aHome, aKind });
  if (it == mEntries.end() || aNow - it->second.mAt > kMaxNewsAge) {
    return std::nullopt;
  }
  const auto wait = it->second.mLoad.WaitOf(aRank).value_or(Duration{});
  return std::max(wait - (aNow - it->second.mAt), Duration{});
}

std::optional<size_t>
ChooseByWait(std::span<const HomeWait> aHomes,
             size_t aPreferred,
             Duration aTimeLeft,
             double aDraw)
{
  const auto wait = aHomes[aPreferred].mWait.value_or(Duration{});
  if (wait <= aTimeLeft) {
    return aPreferred;
  }
  const auto best = std::ranges::min_element(
    aHomes, {}, [](const auto& it) { return it.mWait.value_or(Duration{}); });
  const bool isServable = best->mWait.value_or(Duration{}) <= aTimeLeft;
  const auto excess = std::chrono::duration<double>(wait - aTimeLeft) /
                      std::chrono::duration<double>(wait);
  const auto leaving = std::min(isServable ? excess : 1.0, 1.0 - kLearningPart);
  if (aDraw >= leaving) {
    return aPreferred;
  }
  return isServable ? std::optional<size_t>(best - aHomes.begin())
                    : std::nullopt;
}

}
