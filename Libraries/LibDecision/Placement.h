#pragma once

#include <string>
#include <vector>

namespace papayaline {

/// An instance of the system, as it announces itself.
struct InstanceInfo
{
  std::string mName;
  std::string mFailureDomain;
  /// Address of the HTTP port, as "host:port".
  std::string mAddress;
  bool mIsLeaving = false;
  /// The share of the load that it takes, in hundredths of a processor core.
  unsigned mWeight = 100;

  auto operator<=>(const InstanceInfo&) const = default;
};

/// Orders instances for a key by weighted rendezvous hashing. Every instance
/// computes the same order from the same list. The probability of being first
/// is proportional to the weight, and adding or removing an instance does not
/// change the relative order of the others. Pure; any thread.
std::vector<InstanceInfo>
RendezvousOrder(const std::string& aKey, std::vector<InstanceInfo> aInstances);

/// Chooses up to aCount instances that may replace the primary of a group, in
/// the order of their rank: first the best of each failure domain, then the
/// others. Leaving instances are passed over.
std::vector<InstanceInfo>
ChooseFailoverCoordinators(const std::string& aGroup,
                           const std::vector<InstanceInfo>& aInstances,
                           size_t aCount);

}
