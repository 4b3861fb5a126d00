#include "LibConfiguration/Configuration.h"

#include <QJsonArray>
#include <algorithm>
#include <charconv>
#include <set>

namespace papayaline {

namespace {

template<typename Range>
auto
FindByName(Range& aRange, const std::string& aName)
{
  using Item = std::ranges::range_value_t<Range>;
  return std::ranges::find(aRange, aName, &Item::mName);
}

QString
ToQString(const std::string& aText)
{
  return QString::fromStdString(aText);
}

qint64
ToMillisecondCount(Milliseconds aDuration)
{
  return aDuration.count();
}

QJsonObject
UpstreamToJson(const UpstreamConfiguration& aUpstream)
{
  return { { "name", ToQString(aUpstream.mName) },
           { "address", ToQString(aUpstream.mAddress.ToString()) },
           { "replicationAddress",
             ToQString(aUpstream.mReplicationAddress.ToString()) },
           { "failureDomain", ToQString(aUpstream.mFailureDomain) },
           { "connections", static_cast<qint64>(aUpstream.mConnections) },
           { "slots", static_cast<qint64>(aUpstream.mSlots) },
           { "leaving", aUpstream.mIsLeaving } };
}

Result<UpstreamConfiguration>
UpstreamFromJson(const QJsonObject& aJson)
{
  UpstreamConfiguration upstream;
  upstream.mName = aJson["name"].toString().toStdString();
  upstream.mAddress =
    PL_TRY(ParseAddress(aJson["address"].toString().toStdString()));
  upstream.mReplicationAddress =
    PL_TRY(ParseAddress(aJson["replicationAddress"].toString().toStdString()));
  upstream.mFailureDomain = aJson["failureDomain"].toString().toStdString();
  upstream.mConnections = static_cast<unsigned>(aJson["connections"].toInt());
  upstream.mSlots = static_cast<unsigned>(aJson["slots"].toInt());
  upstream.mIsLeaving = aJson["leaving"].toBool();
  return upstream;
}

QJsonObject
GroupToJson(const GroupConfiguration& aGroup)
{
  QJsonArray upstreams;
  std::ranges::for_each(aGroup.mUpstreams, [&](const auto& it) {
    upstreams.append(UpstreamToJson(it));
  });
  return { { "name", ToQString(aGroup.mName) },
           { "database", ToQString(aGroup.mDatabase) },
           { "user", ToQString(aGroup.mUser) },
           { "password", ToQString(aGroup.mPassword) },
           { "connectionReserve",
             static_cast<qint64>(aGroup.mConnectionReserve) },
           { "ledgerRetentionMs", ToMillisecondCount(aGroup.mLedgerRetention) },
           { "upstreams", upstreams } };
}

Result<GroupConfiguration>
GroupFromJson(const QJsonObject& aJson)
{
  GroupConfiguration group;
  group.mName = aJson["name"].toString().toStdString();
  group.mDatabase = aJson["database"].toString().toStdString();
  group.mUser = aJson["user"].toString().toStdString();
  group.mPassword = aJson["password"].toString().toStdString();
  group.mConnectionReserve =
    static_cast<unsigned>(aJson["connectionReserve"].toInt());
  group.mLedgerRetention = Milliseconds(aJson["ledgerRetentionMs"].toInteger());
  for (const auto& it : aJson["upstreams"].toArray()) {
    group.mUpstreams.push_back(PL_TRY(UpstreamFromJson(it.toObject())));
  }
  return group;
}

QJsonObject
ClassToJson(const CallerClass& aClass)
{
  QJsonObject json{ { "name", ToQString(aClass.mName) },
                    { "rank", static_cast<qint64>(aClass.mRank) },
                    { "timeoutMs", ToMillisecondCount(aClass.mTimeout) },
                    { "unsafe", aClass.mIsUnsafe } };
  if (aClass.mMaxAge) {
    json["maxAgeMs"] = ToMillisecondCount(*aClass.mMaxAge);
  }
  return json;
}

CallerClass
ClassFromJson(const QJsonObject& aJson)
{
  CallerClass callerClass;
  callerClass.mName = aJson["name"].toString().toStdString();
  callerClass.mRank = static_cast<unsigned>(aJson["rank"].toInt());
  callerClass.mTimeout = Milliseconds(aJson["timeoutMs"].toInteger());
  callerClass.mIsUnsafe = aJson["unsafe"].toBool();
  if (aJson.contains("maxAgeMs")) {
    callerClass.mMaxAge = Milliseconds(aJson["maxAgeMs"].toInteger());
  }
  return callerClass;
}

/// Appends one line for each item that was added, removed or changed between
/// two sequences of named items.
template<typename Range>
void
DescribeNamedItems(const Range& aFrom,
                   const Range& aTo,
                   const QString& aItemKind,
                   QStringList& aLines)
{
  for (const auto& it : aFrom) {
    if (FindByName(aTo, it.mName) == aTo.end()) {
      aLines += "- " + aItemKind + " " + ToQString(it.mName);
    }
  }
  for (const auto& it : aTo) {
    const auto before = FindByName(aFrom, it.mName);
    if (before == aFrom.end()) {
      aLines += "+ " + aItemKind + " " + ToQString(it.mName);
    } else if (*before != it) {
      aLines += "~ " + aItemKind + " " + ToQString(it.mName);
    }
  }
}

std::set<std::string>
UpstreamNames(const GroupConfiguration& aGroup)
{
  std::set<std::string> names;
  std::ranges::transform(aGroup.mUpstreams,
                         std::inserter(names, names.end()),
                         &UpstreamConfiguration::mName);
  return names;
}

}

std::string
Address::ToString() const
{
  return mHost + ":" + std::to_string(mPort);
}

Result<Address>
ParseAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  if (colon != std::string::npos && colon > 0) {
    const auto [it, ec] = std::from_chars(aText.data() + colon + 1, end, port);
    if (ec == std::errc() && it == end) {
      return Address{ aText.substr(0, colon), port };
    }
  }
  return Error{ ErrorKind::BadInput,
                "\"" + aText + "\" is not an address of the form host:port" };
}

const GroupConfiguration*
Configuration::FindGroup(const std::string& aName) const
{
  const auto it = FindByName(mGroups, aName);
  return it != mGroups.end() ? &*it : nullptr;
}

CallerClass
Configuration::ClassOrDefault(const std::string& aName) const
{
  for (const auto& name : { aName, std::string(kDefaultClass) }) {
    const auto it = FindByName(mClasses, name);
    if (it != mClasses.end()) {
      return *it;
    }
  }
  return { kDefaultClass, 0, {}, std::chrono::seconds(5), false };
}

QJsonObject
Configuration::ToJson() const
{
  QJsonArray groups;
  std::ranges::for_each(
    mGroups, [&](const auto& it) { groups.append(GroupToJson(it)); });
  QJsonArray classes;
  std::ranges::for_each(
    mClasses, [&](const auto& it) { classes.append(ClassToJson(it)); });
  return { { "name", ToQString(mName) },
           { "applyId", ToQString(mApplyId) },
           { "queueLimit", static_cast<qint64>(mQueueLimit) },
           { "groups", groups },
           { "classes", classes } };
}

Result<Configuration>
Configuration::FromJson(const QJsonObject& aSpec, int64_t aVersion)
{
  if (!aSpec["groups"].isArray() || !aSpec["classes"].isArray()) {
    return Error{
      ErrorKind::BadInput,
      "the configuration object needs the arrays \"groups\" and \"classes\""
    };
  }
  Configuration configuration;
  configuration.mName = aSpec["name"].toString().toStdString();
  configuration.mVersion = aVersion;
  configuration.mApplyId = aSpec["applyId"].toString().toStdString();
  configuration.mQueueLimit =
    static_cast<unsigned>(aSpec["queueLimit"].toInt());
  for (const auto& it : aSpec["groups"].toArray()) {
    configuration.mGroups.push_back(PL_TRY(GroupFromJson(it.toObject())));
  }
  for (const auto& it : aSpec["classes"].toArray()) {
    configuration.mClasses.push_back(ClassFromJson(it.toObject()));
  }
  return configuration;
}

QStringList
DescribeDifference(const Configuration& aFrom, const Configuration& aTo)
{
  QStringList lines;
  if (aFrom.mQueueLimit != aTo.mQueueLimit) {
    lines += QString("~ queue_limit %1 -> %2")
               .arg(aFrom.mQueueLimit)
               .arg(aTo.mQueueLimit);
  }
  DescribeNamedItems(aFrom.mGroups, aTo.mGroups, "group", lines);
  for (const auto& it : aTo.mGroups) {
    const auto* before = aFrom.FindGroup(it.mName);
    if (before) {
      DescribeNamedItems(before->mUpstreams,
                         it.mUpstreams,
                         "upstream " + ToQString(it.mName) + "/",
                         lines);
    }
  }
  DescribeNamedItems(aFrom.mClasses, aTo.mClasses, "class", lines);
  return lines;
}

Result<Done>
CheckTransition(const Configuration& aFrom, const Configuration& aTo)
{
  for (const auto& it : aTo.mGroups) {
    const auto* before = aFrom.FindGroup(it.mName);
    if (!before) {
      continue;
    }
    const auto from = UpstreamNames(*before);
    const auto to = UpstreamNames(it);
    std::vector<std::string> changed;
    std::ranges::set_symmetric_difference(
      from, to, std::back_inserter(changed));
    if (changed.size() > 1) {
      return Error{
        ErrorKind::BadInput,
        "group " + it.mName +
          ": at most one upstream may be added or removed at a time"
      };
    }
  }
  return Done{};
}

}
