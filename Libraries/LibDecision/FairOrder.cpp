#include "LibDecision/FairOrder.h"

#include <algorithm>
#include <numeric>
#include <string_view>
#include <tuple>

namespace papayaline {

namespace {

/// The least work that a statement counts as, so that none is free while no
/// answer time is known.
constexpr Duration kMinWork = std::chrono::milliseconds(1);

}

double
FairOrder::Class::StartOf(const std::string& aAccount) const
{
  const auto it = mEnds.find(aAccount);
  return it != mEnds.end() ? std::max(it->second, mNow) : mNow;
}

double
FairOrder::CostOf(const FairStatement& aStatement)
{
  const auto work = std::max(aStatement.mWork, kMinWork);
  return std::chrono::duration<double>(work).count() / aStatement.mWeight;
}

std::vector<size_t>
FairOrder::Order(std::span<const FairStatement> aWaiting)
{
  // The start is worked out anew each time, so that statements that were
  // refused or cancelled cost their account nothing.
  std::map<std::pair<Key, std::string_view>, double> ends;
  std::map<Key, double> earliest;
  std::vector<std::pair<Key, double>> places;
  for (auto& [key, it] : mClasses) {
    it.mWaiting = 0;
  }
  for (const auto& it : aWaiting) {
    const auto key = KeyOf(it);
    auto& own = mClasses[key];
    ++own.mWaiting;
    const auto [end, isFirst] =
      ends.try_emplace({ key, it.mAccount }, own.StartOf(it.mAccount));
    const auto start = end->second;
    end->second += CostOf(it);
    places.emplace_back(key, start);
    auto& first = earliest.try_emplace(key, start).first->second;
    first = std::min(first, start);
  }
  for (auto& it : mClasses) {
    auto& own = it.second;
    if (const auto first = earliest.find(it.first); first != earliest.end()) {
      own.mNow = std::max(own.mNow, first->second);
    }
    std::erase_if(own.mEnds, [now = own.mNow](const auto& aEnd) {
      return aEnd.second <= now;
    });
  }
  std::vector<size_t> order(aWaiting.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::stable_sort(order, {}, [&](size_t it) { return places[it]; });
  return order;
}

void
FairOrder::OnStarted(const FairStatement& aStatement)
{
  auto& own = mClasses[KeyOf(aStatement)];
  const auto start = own.StartOf(aStatement.mAccount);
  own.mEnds[aStatement.mAccount] = start + CostOf(aStatement);
  if (own.mWaiting <= 1) {
    own.mNow = std::max(own.mNow, start);
  }
  own.mWaiting -= std::min<size_t>(own.mWaiting, 1);
}

size_t
FairOrder::ChooseRefusal(std::span<const FairStatement> aWaiting)
{
  const auto priority = [](const FairStatement& it) {
    return std::pair(it.mRank, it.mAccountRank);
  };
  const auto lowest =
    priority(*std::ranges::max_element(aWaiting, {}, priority));
  std::map<std::string_view, size_t> counts;
  for (const auto& it : aWaiting) {
    counts[it.mAccount] += priority(it) == lowest ? 1 : 0;
  }
  const auto most = std::ranges::max_element(counts, {}, [](const auto& it) {
                      return it.second;
                    })->first;
  const auto newest = std::ranges::find_if(
    aWaiting.rbegin(), aWaiting.rend(), [&](const auto& it) {
      return priority(it) == lowest && it.mAccount == most;
    });
  return aWaiting.rend() - newest - 1;
}

}
