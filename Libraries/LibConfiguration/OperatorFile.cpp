#include "LibConfiguration/OperatorFile.h"

#include "LibConfiguration/YamlMap.h"

#include <algorithm>
#include <set>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr unsigned kMaxConnections = 10'000;
constexpr unsigned kMaxSlots = 1'000;
constexpr unsigned kMaxRank = 100;
constexpr unsigned kMaxQueueLimit = 100'000;

/// Records an error when aName is in aNames already, else adds it.
void
CheckUniqueName(YamlMap& aMap,
                std::set<std::string>& aNames,
                const std::string& aName)
{
  if (!aNames.insert(aName).second) {
    aMap.AddError("name", "duplicate name \"" + aName + "\"");
  }
}

UpstreamConfiguration
ReadUpstream(YamlMap& aMap)
{
  UpstreamConfiguration upstream;
  upstream.mName = aMap.String("name");
  upstream.mAddress = aMap.HostAndPort("address");
  upstream.mReplicationAddress = aMap.Has("replication_address")
                                   ? aMap.HostAndPort("replication_address")
                                   : upstream.mAddress;
  upstream.mFailureDomain = aMap.String("failure_domain");
  upstream.mConnections =
    aMap.UnsignedInteger("connections", 20, 2, kMaxConnections);
  upstream.mSlots = aMap.UnsignedInteger("slots", 3, 1, kMaxSlots);
  upstream.mIsLeaving = aMap.Boolean("leaving", false);
  return upstream;
}

GroupConfiguration
ReadGroup(YamlMap& aMap)
{
  GroupConfiguration group;
  group.mName = aMap.String("name");
  group.mDatabase = aMap.String("database", group.mName);
  group.mUser = aMap.String("user", "papayaline");
  group.mPassword = aMap.String("password", "");
  group.mConnectionReserve =
    aMap.UnsignedInteger("connection_reserve", 2, 0, kMaxConnections);
  group.mLedgerRetention =
    aMap.Duration("ledger_retention", 1s, 24h * 365).value_or(24h);
  std::set<std::string> names;
  for (auto& it : aMap.MapList("upstreams")) {
    group.mUpstreams.push_back(ReadUpstream(it));
    const auto& upstream = group.mUpstreams.back();
    CheckUniqueName(it, names, upstream.mName);
    if (upstream.mConnections <= group.mConnectionReserve) {
      it.AddError("connections",
                  "\"connections\" must exceed the group's connection_reserve");
    }
    aMap.MergeError(it.Finish());
  }
  const bool allLeaving =
    std::ranges::all_of(group.mUpstreams, &UpstreamConfiguration::mIsLeaving);
  if (allLeaving) {
    aMap.AddError("upstreams", "a group needs an upstream that is not leaving");
  }
  return group;
}

CallerClass
ReadClass(YamlMap& aMap)
{
  CallerClass callerClass;
  callerClass.mName = aMap.String("name");
  callerClass.mRank = aMap.UnsignedInteger("rank", 0, 0, kMaxRank);
  callerClass.mMaxAge = aMap.Duration("max_age", 50ms, 24h);
  callerClass.mTimeout = aMap.Duration("timeout", 10ms, 10min).value_or(5s);
  callerClass.mIsUnsafe = aMap.Boolean("unsafe", false);
  return callerClass;
}

}

Result<Configuration>
ParseOperatorFile(const std::string& aText, const std::string& aFile)
{
  auto map = PL_TRY(LoadYaml(aText, aFile));
  Configuration configuration;
  configuration.mName = map.String("name");
  configuration.mQueueLimit =
    map.UnsignedInteger("queue_limit", 200, 1, kMaxQueueLimit);
  std::set<std::string> groups;
  for (auto& it : map.MapList("groups")) {
    configuration.mGroups.push_back(ReadGroup(it));
    CheckUniqueName(it, groups, configuration.mGroups.back().mName);
    map.MergeError(it.Finish());
  }
  std::set<std::string> classes;
  for (auto& it : map.MapList("classes")) {
    configuration.mClasses.push_back(ReadClass(it));
    CheckUniqueName(it, classes, configuration.mClasses.back().mName);
    map.MergeError(it.Finish());
  }
  PL_TRY(map.Finish());
  return configuration;
}

}
