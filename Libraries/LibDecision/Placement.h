#pragma once

#include <string>
#include <vector>

namespace papayaline {

/// A live instance of the system.
struct InstanceInfo
{
  std::string mName;
  std::string mFailureDomain;
  /// Address of its HTTP port as "host:port".
  std::string mAddress;
  bool mIsLeaving = false;
  /// Its share of the work, in hundredths of a processor core.
  unsigned mWeight = 100;

  auto operator<=>(const InstanceInfo&) const = default;
};

/// Orders instances for a key by rendezvous hashing; every instance computes
/// the same order from the same list. The chance to be first is in proportion
/// to the weight, and an instance that comes or goes moves no other against the
/// rest. Pure; any thread.
std::vector<InstanceInfo>
RendezvousOrder(const std::string& aKey, std::vector<InstanceInfo> aInstances);

/// Chooses up to aCount instances that may replace the primary of a group, in
/// the order of their rank: first the best of each failure domain, then the
/// others. Leaving instances are passed over.
std::vector<InstanceInfo>
ChooseHolders(const std::string& aGroup,
              const std::vector<InstanceInfo>& aInstances,
              size_t aCount);

}
