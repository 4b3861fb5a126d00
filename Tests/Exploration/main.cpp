#include "World.h"

#include <cstdio>
#include <docopt.h>
#include <optional>

namespace {

using namespace papayaline;

constexpr const char kUsage[] =
  R"(Explores random interleavings of the decisions and checks the invariants.

With all rules enabled, no run may violate an invariant. With any one rule
switched off, a violation must be found.

Usage:
  explore-decisions [--runs=N] [--steps=N] [--seed=N]

Options:
  --runs=N    Number of runs with all rules enabled, and the maximum number of
              runs with each rule switched off [default: 20000].
  --steps=N   Number of steps per run [default: 400].
  --seed=N    First seed [default: 1].
)";

constexpr std::array kRuleNames = {
  "majority to acknowledge",
  "majority to promote",
  "fence",
  "most advanced log",
  "last entry's term in token",
  "current term in evidence",
  "majority for frontier",
  "clean replica read",
  "tombstone",
  "attempt id",
};
static_assert(kRuleNames.size() == static_cast<size_t>(Rule::Count));

struct Finding
{
  uint64_t mSeed;
  std::string mViolation;
};

/// The seeds to run and the number of steps of each run.
struct Scope
{
  uint64_t mFirstSeed;
  uint64_t mRuns;
  int mSteps;
};

void
Add(World::Coverage& aTotal, const World::Coverage& aRun)
{
  aTotal.mPromotions += aRun.mPromotions;
  aTotal.mAcknowledged += aRun.mAcknowledged;
  aTotal.mNotRun += aRun.mNotRun;
  aTotal.mResolutions += aRun.mResolutions;
  aTotal.mReplicaReads += aRun.mReplicaReads;
  aTotal.mPrimaryReads += aRun.mPrimaryReads;
}

/// Returns the first violation; with aOnly, the first violation with that text.
std::optional<Finding>
Explore(const Scope& aScope,
        RuleSet aRules,
        World::Coverage& aCoverage,
        const std::optional<std::string>& aOnly = std::nullopt)
{
  const auto end = aScope.mFirstSeed + aScope.mRuns;
  for (auto seed = aScope.mFirstSeed; seed < end; ++seed) {
    World world(seed, aRules);
    const auto violation = world.Run(aScope.mSteps);
    Add(aCoverage, world.GetCoverage());
    if (violation && (!aOnly || *aOnly == *violation)) {
      return Finding{ seed, *violation };
    }
  }
  return std::nullopt;
}

unsigned long long
Printable(uint64_t aValue)
{
  return aValue;
}

bool
CheckAllRules(const Scope& aScope)
{
  World::Coverage coverage;
  const auto finding = Explore(aScope, RuleSet::All(), coverage);
  std::printf("all rules: %llu runs of %d steps: %s\n",
              Printable(aScope.mRuns),
              aScope.mSteps,
              finding ? finding->mViolation.c_str() : "no violation");
  if (finding) {
    std::printf("  seed %llu\n", Printable(finding->mSeed));
  }
  std::printf("  promotions %llu, acknowledged %llu, not run %llu, "
              "resolutions %llu, reads at replicas %llu, at primaries %llu\n",
              Printable(coverage.mPromotions),
              Printable(coverage.mAcknowledged),
              Printable(coverage.mNotRun),
              Printable(coverage.mResolutions),
              Printable(coverage.mReplicaReads),
              Printable(coverage.mPrimaryReads));
  return !finding;
}

bool
CheckWithout(const Scope& aScope, Rule aRule)
{
  // The last entry of a clean replica belongs to the replica's own term, so
  // LastEntryTermInToken only has an effect when CleanReplicaRead is off. In
  // that case, reads must be correct with the rule and fail without it.
  const bool isTokenRule = aRule == Rule::LastEntryTermInToken;
  auto rules = RuleSet::All();
  std::optional<std::string> only;
  World::Coverage ignored;
  bool holdsWithRule = true;
  if (isTokenRule) {
    rules = rules.Without(Rule::CleanReplicaRead);
    only = kReadMissesWrite;
    holdsWithRule = !Explore(aScope, rules, ignored, only);
  }
  const auto found = Explore(aScope, rules.Without(aRule), ignored, only);
  std::printf("without %-28s ", kRuleNames[static_cast<size_t>(aRule)]);
  if (found) {
    std::printf("seed %-6llu %s%s\n",
                Printable(found->mSeed),
                found->mViolation.c_str(),
                isTokenRule ? " (clean replica read off as well)" : "");
  } else {
    std::printf("nothing found\n");
  }
  if (!holdsWithRule) {
    std::printf("  but also with it, when clean replica read is off\n");
  }
  return found && holdsWithRule;
}

}

int
main(int argc, char* argv[])
{
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
  const Scope scope{ static_cast<uint64_t>(arguments["--seed"].asLong()),
                     static_cast<uint64_t>(arguments["--runs"].asLong()),
                     static_cast<int>(arguments["--steps"].asLong()) };
  int failures = CheckAllRules(scope) ? 0 : 1;
  for (size_t it = 0; it < kRuleNames.size(); ++it) {
    failures += CheckWithout(scope, static_cast<Rule>(it)) ? 0 : 1;
  }
  std::printf("%d passed, %d failed\n",
              static_cast<int>(kRuleNames.size()) + 1 - failures,
              failures);
  return failures == 0 ? 0 : 1;
}
