#include "LoadPatterns.h"

#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

RouteLoad
UrgentLoad(double aRate)
{
  RouteLoad load;
  load.mRoute = { .mDatabase = "urgent",
                  .mGroup = "g",
                  .mFreshness = Freshness::Latest,
                  .mTimeout = 800ms,
                  .mTargetLatency = 120ms,
                  .mRank = 1 };
  load.mRate = aRate;
  load.mWrites = 0.35;
  load.mServiceTime = 5ms;
  return load;
}

RouteLoad
OwnLoad(double aRate)
{
  RouteLoad load;
  load.mRoute = { .mDatabase = "own",
                  .mGroup = "g",
                  .mFreshness = Freshness::ReadYourWrites,
                  .mMaxAge = 2500ms,
                  .mTimeout = 800ms,
                  .mTargetLatency = 200ms,
                  .mRank = 2 };
  load.mRate = aRate;
  load.mWrites = 0.12;
  load.mServiceTime = 14ms;
  return load;
}

RouteLoad
AgedLoad(double aRate)
{
  RouteLoad load;
  load.mRoute = { .mDatabase = "aged",
                  .mGroup = "g",
                  .mFreshness = Freshness::BoundedStaleness,
                  .mMaxAge = 1500ms,
                  .mTimeout = 1500ms,
                  .mTargetLatency = 400ms,
                  .mRank = 2 };
  load.mRate = aRate;
  load.mServiceTime = 22ms;
  load.mDeadline = 2500ms;
  return load;
}

/// All reads go to the primary, whose slots suffice for four fifths of them.
LoadPattern
ReplicasApplyLate()
{
  LoadPattern pattern;
  pattern.mName = "replicas-apply-late";
  pattern.mLoads = { UrgentLoad(25), OwnLoad(130), AgedLoad(25) };
  pattern.mFaultLag = 30s;
  pattern.mFaultFrom = 1s;
  pattern.mFaultUntil = 9s;
  return pattern;
}

/// More callers come for a second than all slots can serve.
LoadPattern
FlashCrowd()
{
  LoadPattern pattern;
  pattern.mName = "flash-crowd";
  pattern.mLoads = { UrgentLoad(25), OwnLoad(200), AgedLoad(25) };
  pattern.mFaultRate = 2.2;
  pattern.mFaultFrom = 2s;
  pattern.mFaultUntil = 3s;
  pattern.mLength = 8s;
  return pattern;
}

/// Without load above the slots, for the cost of a quiet deployment.
LoadPattern
Quiet()
{
  LoadPattern pattern;
  pattern.mName = "quiet";
  pattern.mLoads = { UrgentLoad(20), OwnLoad(90), AgedLoad(20) };
  return pattern;
}

/// A replica receives nothing when the primary is lost: the new primary has no
/// follower until the replica receives again.
LoadPattern
FailoverToDeafReplica()
{
  LoadPattern pattern;
  pattern.mName = "failover-with-deaf-replica";
  pattern.mLoads = { UrgentLoad(10), OwnLoad(50), AgedLoad(10) };
  pattern.mIsReplicaDeaf = true;
  pattern.mPrimaryLostAfter = 500ms;
  pattern.mFaultFrom = 1s;
  pattern.mFaultUntil = 6s;
  pattern.mLength = 9s;
  return pattern;
}

/// More client accounts than connections, a few of them large; the slots are
/// used to a third. No account has a connection when the load starts, as after
/// a restart of all instances.
LoadPattern
ManyAccounts()
{
  LoadPattern pattern;
  pattern.mName = "many-accounts";
  pattern.mInstances = 3;
  pattern.mSlots = 4;
  pattern.mConnections = 56;
  pattern.mAccounts = 83;
  pattern.mLoads = { UrgentLoad(18), OwnLoad(85), AgedLoad(32) };
  pattern.mFaultUntil = 2s;
  pattern.mLength = 30s;
  return pattern;
}

/// An account of middle size sends forty times its usual, which doubles the
/// load.
LoadPattern
BurstOfOneAccount()
{
  auto pattern = ManyAccounts();
  pattern.mName = "burst-of-one-account";
  pattern.mBurstAccount = 7;
  pattern.mBurstRate = 44;
  pattern.mFaultFrom = 10s;
  pattern.mFaultUntil = 20s;
  return pattern;
}

/// The primary is lost; its connections go with it, and those to the next one
/// must do for its work too.
LoadPattern
FailoverWithManyAccounts()
{
  auto pattern = ManyAccounts();
  pattern.mName = "failover-with-many-accounts";
  pattern.mPrimaryLostAfter = 100ms;
  pattern.mFaultFrom = 10s;
  pattern.mFaultUntil = 20s;
  return pattern;
}

}

std::span<const LoadPattern>
LoadPatterns()
{
  static const std::array kPatterns = { Quiet(),
                                        FlashCrowd(),
                                        ReplicasApplyLate(),
                                        FailoverToDeafReplica(),
                                        ManyAccounts(),
                                        BurstOfOneAccount(),
                                        FailoverWithManyAccounts() };
  return kPatterns;
}

const LoadPattern*
FindLoadPattern(const std::string& aName)
{
  const auto patterns = LoadPatterns();
  const auto it = std::ranges::find(patterns, aName, &LoadPattern::mName);
  return it != patterns.end() ? &*it : nullptr;
}

LoadPattern
DrawDeployment(const LoadPattern& aPattern, unsigned aSeed)
{
  std::mt19937 random(aSeed);
  const auto draw = [&](unsigned aFrom, unsigned aTo) {
    return std::uniform_int_distribution<unsigned>(aFrom, aTo)(random);
  };
  auto pattern = aPattern;
  pattern.mSlots = draw(1, 8);
  pattern.mInstances = draw(3, 60);
  // One connection an instance, and the reserve of an eighth.
  pattern.mConnections = std::max(pattern.mInstances * 8 / 7 + 2, draw(12, 40));
  pattern.mQueue = draw(8, 40);
  for (auto& it : pattern.mLoads) {
    it.mRate *= static_cast<double>(pattern.mSlots) / aPattern.mSlots;
  }
  return pattern;
}

}
