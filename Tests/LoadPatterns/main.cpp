#include "LoadPatterns.h"

#include <cstdio>
#include <docopt/docopt.h>
#include <iostream>

using namespace papayaline;

namespace {

constexpr char kUsage[] =
  R"(Plays load patterns in simulated time and prints what callers get.

Usage:
  load-patterns [--pattern=NAME] [--seeds=A-B] [--drawn]

Options:
  --pattern=NAME  Only this pattern; all by default.
  --seeds=A-B     Seeds, one run each [default: 1-5].
  --drawn         With each seed another deployment.
)";

std::pair<unsigned, unsigned>
ParseSeeds(const std::string& aText)
{
  unsigned first = 0;
  unsigned last = 0;
  if (std::sscanf(aText.c_str(), "%u-%u", &first, &last) != 2 || first > last) {
    std::cerr << "load-patterns: --seeds wants A-B, not " << aText << "\n";
    std::exit(2);
  }
  return { first, last };
}

void
Print(const LoadPattern& aPattern, unsigned aSeed, const LoadResult& aResult)
{
  std::printf("%s seed %u: %u instances, %u slots, %.0f status requests/s, "
              "slots used %.2f, %.1f openings/s, during the fault %.1f\n",
              aPattern.mName.c_str(),
              aSeed,
              aPattern.mInstances,
              aPattern.mSlots,
              aResult.mStatusRate,
              aResult.mSlotUse,
              aResult.mOpeningRate,
              aResult.mFaultOpeningRate);
  for (size_t it = 0; it < aPattern.mLoads.size(); ++it) {
    const auto& route = aResult.mRoutes[it];
    const auto& fault = aResult.mFaultRoutes[it];
    std::printf("  %-6s %5u: in time %.3f, served %.3f, refused %u, failed "
                "%u, late refusals %u; during the fault %.3f, %.3f\n",
                aPattern.mLoads[it].mRoute.mDatabase.c_str(),
                route.mOffered,
                route.InTimeShare(),
                route.ServedShare(),
                route.mRefused,
                route.mFailed,
                route.mLateRefusals,
                fault.InTimeShare(),
                fault.ServedShare());
  }
  for (size_t it = 0; it < aPattern.mAccounts.size(); ++it) {
    const auto& fault = aResult.mFaultAccounts[it];
    std::printf("  account %-6s %5u during the fault: in time %.3f, served "
                "%.3f\n",
                aPattern.mAccounts[it].mAccount.mName.c_str(),
                fault.mOffered,
                fault.InTimeShare(),
                fault.ServedShare());
  }
}

}

int
main(int aArgumentCount, char** aArguments)
{
  auto options =
    docopt::docopt(kUsage, { aArguments + 1, aArguments + aArgumentCount });
  const auto [first, last] = ParseSeeds(options["--seeds"].asString());
  std::vector<LoadPattern> patterns(LoadPatterns().begin(),
                                    LoadPatterns().end());
  if (options["--pattern"]) {
    const auto name = options["--pattern"].asString();
    const auto* pattern = FindLoadPattern(name);
    if (!pattern) {
      std::cerr << "load-patterns: no pattern is named " << name << "\n";
      return 2;
    }
    patterns = { *pattern };
  }
  for (const auto& it : patterns) {
    for (auto seed = first; seed <= last; ++seed) {
      const auto played =
        options["--drawn"].asBool() ? DrawDeployment(it, seed) : it;
      Print(played, seed, LoadWorld(played, seed).Run());
    }
  }
  return 0;
}
