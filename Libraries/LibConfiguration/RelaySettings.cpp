#include "LibConfiguration/RelaySettings.h"

#include "LibConfiguration/YamlMap.h"

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr const char kSection[] = "relay";
constexpr double kLeastShare = 0.01;
constexpr double kMostShare = 1024;

}

bool
IsRelaySettings(const std::string& aText)
{
  const auto map = LoadYaml(aText, {});
  return !map.IsError() && map.Value().Has(kSection);
}

Result<RelaySettings>
ParseRelaySettings(const std::string& aText, const std::string& aFile)
{
  auto map = PL_TRY(LoadYaml(aText, aFile));
  RelaySettings settings;
  settings.mInstance = map.Text("instance");
  settings.mFailureDomain = map.Text("failure_domain");
  settings.mCallerAddress = map.HostAndPort("caller_address");
  if (auto relay = map.Map(kSection)) {
    settings.mReadinessAddress = relay->HostAndPort("readiness_address");
    settings.mReadinessPath = relay->Text("readiness_path");
    settings.mMetricsAddress = relay->HostAndPort("metrics_address");
    if (relay->Has("peer_address")) {
      settings.mPeerAddress = relay->HostAndPort("peer_address");
    }
    settings.mProcessorShare =
      relay->Number("processor_share", 1.0, kLeastShare, kMostShare);
    settings.mAcknowledgement =
      relay->Choice("acknowledge", { "majority", "leader" }) == "leader"
        ? Acknowledgement::Leader
        : Acknowledgement::Majority;
    settings.mStore = relay->HostAndPort("store");
    settings.mPromotion = relay->HostAndPort("promotion");
    settings.mGrace = relay->Time("grace", 1s, 10min).value_or(6s);
    map.Adopt(relay->Finish());
  }
  PL_TRY(map.Finish());
  return settings;
}

}
