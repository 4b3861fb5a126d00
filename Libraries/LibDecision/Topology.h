#pragma once

#include <map>
#include <string>

namespace papayaline {

/// How far apart two failure domains are, nearest first.
enum class Distance
{
  SameDomain,
  SameRegion,
  OtherRegion,
};

/// The regions of the failure domains. Immutable; any thread.
class Topology
{
public:
  Topology() = default;
  /// Maps each failure domain to its region.
  explicit Topology(std::map<std::string, std::string> aRegions)
    : mRegions(std::move(aRegions))
  {
  }

  /// Domains whose region is not known count as in the same region.
  Distance Between(const std::string& aDomain, const std::string& aOther) const;

  bool operator==(const Topology&) const = default;

private:
  std::map<std::string, std::string> mRegions;
};

}
