#include "LibConfiguration/RelaySettings.h"

#include "LibConfiguration/YamlMap.h"

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr const char kRelaySection[] = "relay";
constexpr double kMinProcessorShare = 0.01;
constexpr double kMaxProcessorShare = 1024;
constexpr double kMinLinkMbps = 0.1;
constexpr double kMaxLinkMbps = 1'000'000;
constexpr double kMaxQuotaSlack = 1'000'000;

QuotaTolerance
ReadQuotaTolerance(YamlMap& aMap)
{
  QuotaTolerance tolerance;
  tolerance.mWindow =
    aMap.Duration("window", 1s, 10min).value_or(tolerance.mWindow);
  tolerance.mExcess = aMap.Number("excess", 0, 0, 1);
  tolerance.mSlack = aMap.Number("slack", 0, 0, kMaxQuotaSlack);
  return tolerance;
}

}

bool
IsRelaySettings(const std::string& aText)
{
  const auto map = LoadYaml(aText, {});
  return !map.IsError() && map.Value().Has(kRelaySection);
}

Result<RelaySettings>
ParseRelaySettings(const std::string& aText, const std::string& aFile)
{
  auto map = PL_TRY(LoadYaml(aText, aFile));
  RelaySettings settings;
  settings.mInstance = map.String("instance");
  settings.mFailureDomain = map.String("failure_domain");
  settings.mCallerAddress = map.HostAndPort("caller_address");
  if (auto relay = map.Map(kRelaySection)) {
    settings.mReadinessAddress = relay->HostAndPort("readiness_address");
    settings.mReadinessPath = relay->String("readiness_path");
    settings.mMetricsAddress = relay->HostAndPort("metrics_address");
    if (relay->Has("peer_address")) {
      settings.mPeerAddress = relay->HostAndPort("peer_address");
    }
    settings.mProcessorShare = relay->Number(
      "processor_share", 1.0, kMinProcessorShare, kMaxProcessorShare);
    settings.mAcknowledgement =
      relay->Choice("acknowledge", { "majority", "leader" }) == "leader"
        ? Acknowledgement::Leader
        : Acknowledgement::Majority;
    settings.mStore = relay->HostAndPort("store");
    settings.mPromotion = relay->HostAndPort("promotion");
    if (auto regions = relay->Map("regions")) {
      settings.mRegions = regions->StringMap();
      map.MergeError(regions->Finish());
    }
    if (relay->Has("link_mbps")) {
      settings.mLinkMbps =
        relay->Number("link_mbps", 1.0, kMinLinkMbps, kMaxLinkMbps);
    }
    settings.mAuthorityTimeout =
      relay->Duration("authority_timeout", 1s, 10min);
    if (auto quota = relay->Map("quota_tolerance")) {
      settings.mQuotaTolerance = ReadQuotaTolerance(*quota);
      map.MergeError(quota->Finish());
    }
    settings.mGracePeriod = relay->Duration("grace", 1s, 10min).value_or(6s);
    map.MergeError(relay->Finish());
  }
  PL_TRY(map.Finish());
  return settings;
}

}
