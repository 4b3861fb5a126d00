#pragma once

#include "LibCore/Result.h"

#include <QJsonObject>
#include <QStringList>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace papayaline {

using Milliseconds = std::chrono::milliseconds;

/// A host name or IP address with a port.
struct Address
{
  std::string mHost;
  uint16_t mPort = 0;

  std::string ToString() const;
  auto operator<=>(const Address&) const = default;
};

/// The configuration of one database of a group.
struct UpstreamConfiguration
{
  std::string mName;
  Address mAddress;
  /// The address at which the other databases of the group replicate from it.
  Address mReplicationAddress;
  std::string mFailureDomain;
  unsigned mConnections = 20;
  unsigned mSlots = 3;
  bool mIsLeaving = false;

  auto operator<=>(const UpstreamConfiguration&) const = default;
};

/// The configuration of a group of databases that replicate one data set.
struct GroupConfiguration
{
  std::string mName;
  std::string mDatabase;
  std::string mUser;
  std::string mPassword;
  unsigned mConnectionReserve = 2;
  Milliseconds mLedgerRetention = std::chrono::hours(24);
  std::vector<UpstreamConfiguration> mUpstreams;

  auto operator<=>(const GroupConfiguration&) const = default;
};

/// The service level of a class of callers.
struct CallerClass
{
  std::string mName;
  /// The priority under load; lower ranks are served first.
  unsigned mRank = 0;
  /// The maximum staleness of reads; when unset, reads are read-your-writes.
  std::optional<Milliseconds> mMaxAge;
  Milliseconds mTimeout = std::chrono::seconds(5);
  bool mIsUnsafe = false;

  auto operator<=>(const CallerClass&) const = default;
};

/// The content of an operator file (groups and caller classes) with the version
/// that the platform assigned to it.
struct Configuration
{
  static constexpr const char* kDefaultClass = "default";

  std::string mName;
  int64_t mVersion = 0;
  std::string mApplyId;
  unsigned mQueueLimit = 200;
  std::vector<GroupConfiguration> mGroups;
  std::vector<CallerClass> mClasses;

  const GroupConfiguration* FindGroup(const std::string& aName) const;
  /// Returns the class of that name, else the class "default", else built-in
  /// defaults.
  CallerClass ClassOrDefault(const std::string& aName) const;

  /// Encodes the specification of the platform's object. The version is not
  /// part of it.
  QJsonObject ToJson() const;
  /// Decodes a specification. Errors: BadInput when the groups or classes are
  /// missing or no arrays, or when an address can't be parsed; any other
  /// missing field gets an empty value.
  static Result<Configuration> FromJson(const QJsonObject& aSpec,
                                        int64_t aVersion);

  bool operator==(const Configuration&) const = default;
};

/// Parses "host:port". Errors: BadInput.
Result<Address>
ParseAddress(const std::string& aText);

/// Describes each difference in one line of text for the operator: "+" added,
/// "-" removed, "~" changed.
QStringList
DescribeDifference(const Configuration& aFrom, const Configuration& aTo);

/// Checks that each group gains or loses at most one upstream between two
/// versions. With more, a majority of the old upstreams and a majority of the
/// new ones might not intersect. Errors: BadInput.
Result<Done>
CheckTransition(const Configuration& aFrom, const Configuration& aTo);

}
