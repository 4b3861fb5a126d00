#pragma once

#include "LibCore/Result.h"
#include "LibDecision/Placement.h"

#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QPointer>
#include <atomic>
#include <functional>

namespace papayaline {

/// An object of the platform's API, with the version at which it was read.
struct PlatformObject
{
  QString mKind;
  QString mName;
  int64_t mVersion = 0;
  QJsonObject mSpec;

  bool operator==(const PlatformObject&) const = default;
};

/// Numbers of calls that this process made, by kind.
struct PlatformCallCounts
{
  std::atomic<uint64_t> mReads{ 0 };
  std::atomic<uint64_t> mWrites{ 0 };
  std::atomic<uint64_t> mWatches{ 0 };
  std::atomic<uint64_t> mInstanceLists{ 0 };
};

/// A client of the platform's object API. Handlers are called asynchronously on
/// the thread that owns the client, and failed calls are not retried. Thread
/// safety: one thread, but the counts may be read from any thread.
class PlatformClient : public QObject
{
public:
  using ObjectHandler = std::function<void(const Result<PlatformObject>&)>;
  using InstancesHandler =
    std::function<void(const Result<std::vector<InstanceInfo>>&)>;

  /// aAddress is "host:port".
  explicit PlatformClient(const std::string& aAddress,
                          QObject* aParent = nullptr);

  /// Errors: NotFound, Unreachable.
  void Get(const QString& aKind, const QString& aName, ObjectHandler aHandler);

  /// Replaces the object if its version equals aVersion; 0 creates the object.
  /// Errors: Conflict, Unreachable (the change may have taken effect).
  void Put(const QString& aKind,
           const QString& aName,
           int64_t aVersion,
           const QJsonObject& aSpec,
           ObjectHandler aHandler);

  /// Errors: Unreachable.
  void ListInstances(InstancesHandler aHandler);

  /// Streams the changes of a kind after aFromVersion and ends an earlier
  /// watch. aOnEnd is called once when the stream ends, with NotFound when
  /// aFromVersion is too old to resume from.
  void Watch(const QString& aKind,
             int64_t aFromVersion,
             std::function<void(const PlatformObject&)> aOnChange,
             std::function<void(const Error&)> aOnEnd);
  void StopWatch();

  const PlatformCallCounts& Counts() const { return mCounts; }

private:
  QNetworkRequest Request(const QString& aPath) const;
  void Finish(QNetworkReply* aReply, const ObjectHandler& aHandler);

  QString mBaseUrl;
  QNetworkAccessManager mNetwork;
  QPointer<QNetworkReply> mWatchReply;
  PlatformCallCounts mCounts;
};

/// Parses the platform's instance list. Pure; any thread.
std::vector<InstanceInfo>
InstancesFromJson(const QJsonArray& aItems);
/// Serializes instances as the platform lists them. Pure; any thread.
QJsonArray
InstancesToJson(const std::vector<InstanceInfo>& aInstances);

}
