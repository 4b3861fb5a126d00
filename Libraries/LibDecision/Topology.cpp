#include "LibDecision/Topology.h"

namespace papayaline {

Distance
Topology::Between(const std::string& aDomain, const std::string& aOther) const
{
  if (aDomain == aOther) {
    return Distance::SameDomain;
  }
  const auto one = mRegions.find(aDomain);
  const auto other = mRegions.find(aOther);
  const bool areKnown = one != mRegions.end() && other != mRegions.end();
  return areKnown && one->second != other->second ? Distance::OtherRegion
                                                  : Distance::SameRegion;
}

}
