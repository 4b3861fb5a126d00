#include "LibDecision/Placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace papayaline {

namespace {

constexpr double kWeightPerCore = 100;
/// The bandwidth in megabits per second that one core fills: 2,000 forwarded
/// statements a second with answers of 6 KB.
constexpr double kLinkMbpsPerCore = 100;

double
Score(const std::string& aKey, const InstanceInfo& aInstance)
{
  const auto text = aKey + '\0' + aInstance.mName;
  const auto hash = XXH3_64bits(text.data(), text.size());
  // The midpoint of one of 2^53 equal intervals of (0, 1), so that the
  // logarithm is finite.
  const auto uniform = std::ldexp((hash >> 11) + 0.5, -53);
  return -(aInstance.mWeight / std::log(uniform));
}

}

unsigned
WeightOf(double aCores, std::optional<double> aLinkMbps)
{
  const auto cores =
    aLinkMbps ? std::min(aCores, *aLinkMbps / kLinkMbpsPerCore) : aCores;
  return static_cast<unsigned>(std::max(cores * kWeightPerCore, 1.0));
}

std::vector<InstanceInfo>
RendezvousOrder(const std::string& aKey, std::vector<InstanceInfo> aInstances)
{
  std::ranges::sort(aInstances, std::greater{}, [&](const auto& it) {
    return std::pair(Score(aKey, it), it.mName);
  });
  return aInstances;
}

std::vector<InstanceInfo>
ChooseFailoverCoordinators(const std::string& aGroup,
                           const std::vector<InstanceInfo>& aInstances,
                           size_t aCount)
{
  auto order = RendezvousOrder(aGroup, aInstances);
  std::erase_if(order, &InstanceInfo::mIsLeaving);
  std::set<std::string> domains;
  std::stable_partition(order.begin(), order.end(), [&](const auto& it) {
    return domains.insert(it.mFailureDomain).second;
  });
  order.resize(std::min(aCount, order.size()));
  return order;
}

}
