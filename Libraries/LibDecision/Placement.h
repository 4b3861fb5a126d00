#pragma once

#include <optional>
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
  /// The share of the load that it takes, in hundredths of a processor core;
  /// see WeightOf.
  unsigned mWeight = 100;

  auto operator<=>(const InstanceInfo&) const = default;
};

/// The weight of an instance with this share of processor cores and this
/// bandwidth in megabits per second: what the scarcer of the two bears. At
/// least
/// 1. Pure; any thread.
unsigned
WeightOf(double aCores, std::optional<double> aLinkMbps);

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
