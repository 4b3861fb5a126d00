#pragma once

#include "LibCore/Result.h"
#include "LibDecision/Placement.h"

#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QPointer>
#include <atomic>
#include <functional>

namespace papayaline {

/// An object of the platform's API with the version it was read at.
struct PlatformObject
{
  QString mKind;
  QString mName;
  int64_t mVersion = 0;
  QJsonObject mSpec;

  bool operator==(const PlatformObject&) const = default;
};

/// Calls that this process made, by kind.
struct PlatformCallCounts
{
  std::atomic<uint64_t> mReads{ 0 };
  std::atomic<uint64_t> mWrites{ 0 };
  std::atomic<uint64_t> mWatches{ 0 };
  std::atomic<uint64_t> mInstanceLists{ 0 };
};

/// The adapter to the platform's object API. Calls answer asynchronously on
/// the thread that owns the client; a call that fails is not repeated here.
/// Thread safety: one thread, but the counts may be read from any.
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

  /// Writes when the object's version equals aVersion; 0 creates it.
  /// Errors: Conflict, Unreachable (the change may have taken effect).
  void Put(const QString& aKind,
           const QString& aName,
           int64_t aVersion,
           const QJsonObject& aSpec,
           ObjectHandler aHandler);

  /// Errors: Unreachable.
  void ListInstances(InstancesHandler aHandler);

  /// Streams changes of a kind after aFrom; replaces a watch under way.
  /// aOnEnd is called once when the stream ends, with NotFound when aFrom is
  /// too old to resume from.
  void Watch(const QString& aKind,
             int64_t aFrom,
             std::function<void(const PlatformObject&)> aOnChange,
             std::function<void(const Error&)> aOnEnd);
  void StopWatch();

  const PlatformCallCounts& Counts() const { return mCounts; }

private:
  QNetworkRequest Request(const QString& aPath) const;
  void Finish(QNetworkReply* aReply, const ObjectHandler& aHandler);

  QString mBase;
  QNetworkAccessManager mNetwork;
  QPointer<QNetworkReply> mWatch;
  PlatformCallCounts mCounts;
};

/// Reads an instance list in the form of the platform's answer.
std::vector<InstanceInfo>
InstancesFromJson(const QJsonArray& aItems);
QJsonArray
InstancesToJson(const std::vector<InstanceInfo>& aInstances);

}
