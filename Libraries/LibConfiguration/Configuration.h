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

/// A host and port.
struct Address
{
  std::string mHost;
  uint16_t mPort = 0;

  std::string ToString() const;
  auto operator<=>(const Address&) const = default;
};

/// A database of a group.
struct UpstreamConfiguration
{
  std::string mName;
  Address mAddress;
  /// Where the group's other databases reach it for replication.
  Address mReplicationAddress;
  std::string mFailureDomain;
  unsigned mConnections = 20;
  unsigned mSlots = 3;
  bool mIsLeaving = false;

  auto operator<=>(const UpstreamConfiguration&) const = default;
};

/// A group of replicated databases.
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

/// What a kind of caller may expect.
struct CallerClass
{
  std::string mName;
  /// Lower ranks go first under load.
  unsigned mRank = 0;
  /// Allowed age of reads; none means read-your-writes.
  std::optional<Milliseconds> mMaxAge;
  Milliseconds mTimeout = std::chrono::seconds(5);
  bool mIsUnsafe = false;

  auto operator<=>(const CallerClass&) const = default;
};

/// One operator file in force: groups and classes with the version that the
/// platform gave it.
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
  /// The class of that name, else the default one.
  CallerClass ClassOrDefault(const std::string& aName) const;

  /// The object's specification; the version travels beside it.
  QJsonObject ToJson() const;
  /// Errors: BadInput when a field is missing or has the wrong type.
  static Result<Configuration> FromJson(const QJsonObject& aSpec,
                                        int64_t aVersion);

  bool operator==(const Configuration&) const = default;
};

/// Parses "host:port". Errors: BadInput.
Result<Address>
ParseAddress(const std::string& aText);

/// One line for each difference, for the operator who reads it.
QStringList
DescribeDifference(const Configuration& aFrom, const Configuration& aTo);

/// Refuses a change that would let two majorities of a group miss each other:
/// between two versions a group may gain or lose one upstream at most.
/// Errors: BadInput.
Result<Done>
CheckTransition(const Configuration& aFrom, const Configuration& aTo);

}
