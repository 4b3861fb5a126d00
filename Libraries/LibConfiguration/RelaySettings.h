#pragma once

#include "LibConfiguration/RelayConfiguration.h"

namespace papayaline {

/// The settings of an instance that relays statements of the deployment's
/// platform.
struct RelaySettings
{
  std::string mInstance;
  std::string mFailureDomain;
  Address mCallerAddress;
  Address mReadinessAddress;
  /// The path that the load balancer asks for.
  std::string mReadinessPath;
  Address mMetricsAddress;
  /// Where other instances reach this one; without a port it has no peers.
  Address mPeerAddress;
  /// Processor cores that this instance may use.
  double mProcessorShare = 1.0;
  Acknowledgement mAcknowledgement = Acknowledgement::Majority;
  Address mStore;
  Address mPromotion;
  /// From SIGTERM to SIGKILL.
  Milliseconds mGrace = std::chrono::seconds(6);

  bool operator==(const RelaySettings&) const = default;
};

/// Whether a settings file is that of a relaying instance.
bool
IsRelaySettings(const std::string& aText);

/// Errors: BadInput with file:line:column.
Result<RelaySettings>
ParseRelaySettings(const std::string& aText, const std::string& aFile);

}
