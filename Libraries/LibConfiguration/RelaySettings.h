#pragma once

#include "LibConfiguration/RelayConfiguration.h"

namespace papayaline {

/// The bound on the operations of an account in any window, over all instances:
/// (rate * window + burst) * (1 + excess) + slack.
struct QuotaTolerance
{
  Milliseconds mWindow = std::chrono::seconds(5);
  double mExcess = 0;
  /// In operations.
  double mSlack = 0;

  bool operator==(const QuotaTolerance&) const = default;
};

/// The settings of an instance that relays statements through the deployment's
/// own platform, read once at start.
struct RelaySettings
{
  std::string mInstance;
  std::string mFailureDomain;
  Address mCallerAddress;
  Address mReadinessAddress;
  /// The HTTP path of the load balancer's readiness check.
  std::string mReadinessPath;
  Address mMetricsAddress;
  /// The address at which other instances reach this one. When the port is 0,
  /// the instance accepts no connections from peers.
  Address mPeerAddress;
  /// The number of processor cores that this instance may use.
  double mProcessorShare = 1.0;
  Acknowledgement mAcknowledgement = Acknowledgement::Majority;
  Address mStore;
  Address mPromotion;
  /// The region of each failure domain; empty when there is only one region.
  std::map<std::string, std::string> mRegions;
  /// The bandwidth of this instance's network link in megabits per second;
  /// unset when it is not known.
  std::optional<double> mLinkMbps;
  /// How long after the store last confirmed a configuration statements run by
  /// its authority; unset when that time is not limited.
  std::optional<Milliseconds> mAuthorityTimeout;
  /// How far the operations of an account may exceed its quota; unset when
  /// quotas are not enforced.
  std::optional<QuotaTolerance> mQuotaTolerance;
  /// The time between SIGTERM and SIGKILL.
  Milliseconds mGracePeriod = std::chrono::seconds(6);

  bool operator==(const RelaySettings&) const = default;
};

/// Whether the text of a settings file has the section of a relaying instance.
bool
IsRelaySettings(const std::string& aText);

/// Parses and validates the settings of a relaying instance. aFile is the name
/// used in error messages. Errors: BadInput; the message starts with
/// file:line:column.
Result<RelaySettings>
ParseRelaySettings(const std::string& aText, const std::string& aFile);

}
