#pragma once

#include "LoadPatterns.h"

#include <numeric>

namespace papayaline {

/// The seeds that tests play each pattern with.
constexpr unsigned kSeeds = 8;

inline double
Mean(const std::vector<LoadResult>& aResults,
     std::vector<RouteResult> LoadResult::*aPart,
     size_t aIndex,
     double (RouteResult::*aShare)() const)
{
  return std::accumulate(aResults.begin(),
                         aResults.end(),
                         0.0,
                         [=](double aSum, const auto& it) {
                           return aSum + ((it.*aPart)[aIndex].*aShare)();
                         }) /
         static_cast<double>(aResults.size());
}

inline std::vector<LoadResult>
Play(const std::string& aName)
{
  std::vector<LoadResult> results;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    results.push_back(LoadWorld(*FindLoadPattern(aName), seed).Run());
  }
  return results;
}

/// The mean of a share of one route during the fault.
inline double
FaultMean(const std::vector<LoadResult>& aResults,
          size_t aRoute,
          double (RouteResult::*aShare)() const)
{
  return Mean(aResults, &LoadResult::mFaultRoutes, aRoute, aShare);
}

}
