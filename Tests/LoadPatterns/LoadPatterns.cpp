#include "LoadPatterns.h"

#include <algorithm>
#include <cmath>
#include <numeric>

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

AccountLoad
AccountOf(const std::string& aName, double aShare, double aFaultRate = 1)
{
  AccountLoad load;
  load.mAccount.mName = aName;
  load.mAccount.mKeys = { "key-" + aName };
  load.mShare = aShare;
  load.mFaultRate = aFaultRate;
  return load;
}

/// Three homes share the slots of a group. Statements that need the primary
/// meet at the first one, and the other two see none of the first rank. While
/// the replicas apply late, all reads go to the primary, whose slots are used
/// to two thirds.
LoadPattern
ThreeHomes(const std::string& aName)
{
  RouteLoad first;
  first.mRoute = { .mDatabase = "first",
                   .mGroup = "g",
                   .mFreshness = Freshness::Latest,
                   .mTimeout = 1500ms,
                   .mTargetLatency = 200ms,
                   .mRank = 0 };
  first.mRate = 18;
  first.mWrites = 0.3;
  first.mServiceTime = 6ms;
  first.mDeadline = 1500ms;
  first.mHome = 0;
  RouteLoad second;
  second.mRoute = { .mDatabase = "second",
                    .mGroup = "g",
                    .mFreshness = Freshness::ReadYourWrites,
                    .mMaxAge = 2500ms,
                    .mTimeout = 1500ms,
                    .mTargetLatency = 400ms,
                    .mRank = 1 };
  second.mRate = 85;
  second.mServiceTime = 18ms;
  second.mDeadline = 1500ms;
  RouteLoad third;
  third.mRoute = { .mDatabase = "third",
                   .mGroup = "g",
                   .mFreshness = Freshness::BoundedStaleness,
                   .mMaxAge = 1500ms,
                   .mTimeout = 5000ms,
                   .mTargetLatency = 1000ms,
                   .mRank = 2 };
  third.mRate = 32;
  third.mServiceTime = 30ms;
  third.mDeadline = 5000ms;
  LoadPattern pattern;
  pattern.mName = aName;
  pattern.mInstances = 3;
  pattern.mSlots = 4;
  pattern.mConnections = 56;
  pattern.mLoads = { first, second, third };
  pattern.mAccounts = { AccountOf("large", 0.5),
                        AccountOf("usual", 0.35),
                        AccountOf("small", 0.15) };
  pattern.mFaultLag = 30s;
  pattern.mFaultFrom = 2s;
  pattern.mFaultUntil = 8500ms;
  pattern.mLength = 14s;
  return pattern;
}

/// A crowd on the route of the last rank needs more than all slots.
LoadPattern
CrowdOnLowRank()
{
  auto pattern = ThreeHomes("crowd-on-low-rank");
  pattern.mLoads[2].mFaultRate = 5;
  return pattern;
}

/// One account sends seven and a half times its usual, on all routes; with the
/// others it needs more than all slots, and the others need half of them.
LoadPattern
OneAccountFarAboveItsUsual()
{
  auto pattern = ThreeHomes("one-account-far-above-its-usual");
  pattern.mAccounts[2].mFaultRate = 7.5;
  return pattern;
}

/// The same, and three times as many statements of the first rank.
LoadPattern
UrgentCrowdOnTop()
{
  auto pattern = OneAccountFarAboveItsUsual();
  pattern.mName = "urgent-crowd-on-top";
  pattern.mLoads[0].mFaultRate = 3;
  return pattern;
}

/// All instances start at the same time, and callers come back at once, under
/// one account far above its usual.
LoadPattern
AllRestarted()
{
  auto pattern = OneAccountFarAboveItsUsual();
  pattern.mName = "all-restarted";
  pattern.mAreAllRestarted = true;
  pattern.mFaultLag = 20ms;
  pattern.mFaultUntil = 6s;
  return pattern;
}

constexpr size_t kManyAccounts = 83;
/// Of the Zipf distribution of the accounts' shares.
constexpr double kAccountExponent = 1.2;

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
  pattern.mPlacement = HomePlacement::ByDomain;
  for (size_t n = 0; n < kManyAccounts; ++n) {
    pattern.mAccounts.push_back(
      AccountOf("account" + std::to_string(n),
                std::pow(static_cast<double>(n + 1), -kAccountExponent)));
  }
  const auto sum = std::accumulate(
    pattern.mAccounts.begin(),
    pattern.mAccounts.end(),
    0.0,
    [](double aSum, const auto& it) { return aSum + it.mShare; });
  for (auto& it : pattern.mAccounts) {
    it.mShare /= sum;
  }
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
  pattern.mAccounts[7].mFaultRate = 44;
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
                                        CrowdOnLowRank(),
                                        OneAccountFarAboveItsUsual(),
                                        UrgentCrowdOnTop(),
                                        AllRestarted(),
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
