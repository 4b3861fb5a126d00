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
constexpr unsigned kMaxQueue = 100'000;

/// Reports the first name that appears twice among nested mappings.
void
RefuseDuplicateName(YamlMap& aMap,
                    std::set<std::string>& aNames,
                    const std::string& aName)
{
  if (!aNames.insert(aName).second) {
    aMap.Fail("name", "duplicate name \"" + aName + "\"");
  }
}

UpstreamConfiguration
ReadUpstream(YamlMap& aMap)
{
  UpstreamConfiguration upstream;
  upstream.mName = aMap.Text("name");
  upstream.mAddress = aMap.HostAndPort("address");
  upstream.mReplicationAddress = aMap.Has("replication_address")
                                   ? aMap.HostAndPort("replication_address")
                                   : upstream.mAddress;
  upstream.mFailureDomain = aMap.Text("failure_domain");
  upstream.mConnections = aMap.Count("connections", 20, 2, kMaxConnections);
  upstream.mSlots = aMap.Count("slots", 3, 1, kMaxSlots);
  upstream.mIsLeaving = aMap.Flag("leaving", false);
  return upstream;
}

GroupConfiguration
ReadGroup(YamlMap& aMap)
{
  GroupConfiguration group;
  group.mName = aMap.Text("name");
  group.mDatabase = aMap.Text("database", group.mName);
  group.mUser = aMap.Text("user", "papayaline");
  group.mPassword = aMap.Text("password", "");
  group.mConnectionReserve =
    aMap.Count("connection_reserve", 2, 0, kMaxConnections);
  group.mLedgerRetention =
    aMap.Time("ledger_retention", 1s, 24h * 365).value_or(24h);
  std::set<std::string> names;
  for (auto& it : aMap.Maps("upstreams")) {
    group.mUpstreams.push_back(ReadUpstream(it));
    const auto& upstream = group.mUpstreams.back();
    RefuseDuplicateName(it, names, upstream.mName);
    if (upstream.mConnections <= group.mConnectionReserve) {
      it.Fail("connections",
              "\"connections\" must exceed the group's connection_reserve");
    }
    aMap.Adopt(it.Finish());
  }
  const bool allLeaving =
    std::ranges::all_of(group.mUpstreams, &UpstreamConfiguration::mIsLeaving);
  if (allLeaving) {
    aMap.Fail("upstreams", "a group needs an upstream that stays");
  }
  return group;
}

CallerClass
ReadClass(YamlMap& aMap)
{
  CallerClass callerClass;
  callerClass.mName = aMap.Text("name");
  callerClass.mRank = aMap.Count("rank", 0, 0, kMaxRank);
  callerClass.mMaxAge = aMap.Time("max_age", 50ms, 24h);
  callerClass.mTimeout = aMap.Time("timeout", 10ms, 10min).value_or(5s);
  callerClass.mIsUnsafe = aMap.Flag("unsafe", false);
  return callerClass;
}

}

Result<Configuration>
ParseOperatorFile(const std::string& aText, const std::string& aFile)
{
  auto map = PL_TRY(LoadYaml(aText, aFile));
  Configuration configuration;
  configuration.mName = map.Text("name");
  configuration.mQueueLimit = map.Count("queue_limit", 200, 1, kMaxQueue);
  std::set<std::string> groups;
  for (auto& it : map.Maps("groups")) {
    configuration.mGroups.push_back(ReadGroup(it));
    RefuseDuplicateName(it, groups, configuration.mGroups.back().mName);
    map.Adopt(it.Finish());
  }
  std::set<std::string> classes;
  for (auto& it : map.Maps("classes")) {
    configuration.mClasses.push_back(ReadClass(it));
    RefuseDuplicateName(it, classes, configuration.mClasses.back().mName);
    map.Adopt(it.Finish());
  }
  PL_TRY(map.Finish());
  return configuration;
}

}
