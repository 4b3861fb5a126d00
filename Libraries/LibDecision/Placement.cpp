#include "LibDecision/Placement.h"

#include <algorithm>
#include <functional>
#include <set>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace papayaline {

namespace {

uint64_t
Score(const std::string& aKey, const InstanceInfo& aInstance)
{
  const auto text = aKey + '\0' + aInstance.mName;
  return XXH3_64bits(text.data(), text.size());
}

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
ChooseHolders(const std::string& aGroup,
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
