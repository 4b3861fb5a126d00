#include "LibConfiguration/Settings.h"

#include "LibConfiguration/YamlMap.h"

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr unsigned kMaxWorkers = 64;

ReadRouting
ParseReadRouting(const std::string& aName)
{
  if (aName == "primary") {
    return ReadRouting::PrimaryOnly;
  }
  return aName == "token" ? ReadRouting::TokenOnly
                          : ReadRouting::ConfirmedFrontier;
}

void
ReadTls(YamlMap& aMap, Settings& aSettings)
{
  if (auto tls = aMap.Map("tls")) {
    aSettings.mTlsCertificate = tls->String("certificate");
    aSettings.mTlsKey = tls->String("key");
    aMap.MergeError(tls->Finish());
  }
}

void
ReadAuthentication(YamlMap& aMap, Settings& aSettings)
{
  const auto method = aMap.Choice("authentication", { "scram", "trust" });
  aSettings.mAuthentication =
    method == "trust" ? Authentication::Trust : Authentication::Scram;
  if (aMap.Has("accounts")) {
    for (auto& it : aMap.MapList("accounts")) {
      aSettings.mAccounts.push_back(
        { it.String("name"), it.String("password") });
      aMap.MergeError(it.Finish());
    }
  }
  if (method == "scram" && aSettings.mAccounts.empty()) {
    aMap.AddError("accounts", "scram authentication needs \"accounts\"");
  }
}

}

Result<Settings>
ParseSettings(const std::string& aText, const std::string& aFile)
{
  auto map = PL_TRY(LoadYaml(aText, aFile));
  Settings settings;
  settings.mInstance = map.String("instance");
  settings.mFailureDomain = map.String("failure_domain");
  settings.mCallerAddress = map.HostAndPort("caller_address");
  settings.mHttpAddress = map.HostAndPort("http_address");
  settings.mPlatform = map.HostAndPort("platform");
  settings.mConfigurationName = map.String("configuration");
  for (const auto& it : map.StringList("neighbours")) {
    const auto address = ParseAddress(it);
    if (address.IsError()) {
      map.AddError("neighbours", address.GetError().mMessage);
    } else {
      settings.mNeighbours.push_back(address.Value());
    }
  }
  settings.mWorkers = map.UnsignedInteger("workers", 2, 1, kMaxWorkers);
  ReadAuthentication(map, settings);
  ReadTls(map, settings);
  settings.mDrainNotice = map.Duration("drain_notice", 0ms, 10min).value_or(2s);
  settings.mDrainTimeout = map.Duration("drain_timeout", 1s, 1h).value_or(30s);
  settings.mReadRouting = ParseReadRouting(
    map.Choice("read_routing", { "frontier", "token", "primary" }));
  PL_TRY(map.Finish());
  return settings;
}

}
