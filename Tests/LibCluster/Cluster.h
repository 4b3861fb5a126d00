#pragma once

#include "Caller.h"
#include "ChildProcess.h"
#include "HttpJson.h"

#include <QTemporaryDir>
#include <functional>
#include <map>

namespace papayaline {

/// The groups, instances and settings of a system under test.
struct ClusterOptions
{
  std::vector<std::string> mGroups = { "bookings" };
  int mUpstreams = 3;
  int mInstances = 3;
  std::vector<std::string> mDomains = { "tpe-a", "tpe-b", "ntp-c", "tyn-d" };
  int mSlots = 3;
  int mConnections = 20;
  int mConnectMs = 10;
  int mStatementMs = 0;
  int mLagMs = 0;
  int mQueueLimit = 200;
  int mDrainNoticeMs = 300;
  std::string mReadRouting = "frontier";
  /// YAML lines of the section "classes" in the operator file.
  std::string mClasses = "  - {name: agents, rank: 0, timeout: 5s}\n"
                         "  - {name: gallery, rank: 5, max_age: 2s}\n";
  /// Extra YAML lines for every group, indented by four spaces.
  std::string mGroupLines;
  /// Extra YAML lines for the settings of every instance.
  std::string mExtraSettings;
  /// Directory for the logs of the processes; if empty, logs are discarded.
  QString mLogDirectory;
};

/// Runs the system as separate processes: the platform stand-in, the fault
/// proxy, stand-in databases behind it, and instances. A link of the fault
/// proxy is named after its target: a database ("bookings-1"), its replication
/// port ("bookings-1/replication"), or "platform". The destructor kills all
/// processes.
class Cluster
{
public:
  explicit Cluster(ClusterOptions aOptions = {});

  /// Starts all processes, applies the operator file and waits until IsReady().
  /// Returns false if the file is not applied or the system is not ready within
  /// 30 s.
  bool Start();

  Caller Connect(int aInstance,
                 const std::string& aGroup = "bookings",
                 const std::string& aOptions = {},
                 const std::string& aUser = "agents") const;
  /// Connects to a database directly, bypassing the instances.
  Caller ConnectDirect(const std::string& aDatabase) const;

  ChildProcess& Database(const std::string& aName);
  ChildProcess& Instance(int aIndex);
  void RestartDatabase(const std::string& aName);
  void StartInstance(int aIndex);
  /// Sets an option of a stand-in database, such as "lag_ms".
  void SetDatabaseOption(const std::string& aDatabase,
                         const std::string& aOption,
                         int aValue) const;

  /// Sets the fault modes of a link for both directions; "none" removes a
  /// fault.
  void SetFault(const std::string& aLink,
                const QString& aUp,
                const QString& aDown,
                qint64 aValue = 0) const;
  void SetPlatformFaults(const QJsonObject& aFaults) const;
  void ListInstances(const std::vector<int>& aLeaving = {}) const;
  QJsonObject PlatformCounts() const;

  QJsonObject Status(int aInstance) const;
  /// Whether every instance lists all instances and reports a healthy primary
  /// for every group, with all upstreams in the group's term and none fenced.
  bool IsReady() const;
  /// The primary of a group according to an instance; empty if the group is not
  /// healthy.
  std::string Primary(const std::string& aGroup = "bookings",
                      int aInstance = 0) const;
  std::vector<std::string> Replicas(
    const std::string& aGroup = "bookings") const;
  QJsonArray Events(int aInstance) const;
  HttpAnswer Http(int aInstance, const QString& aPath) const;
  quint16 CallerPort(int aInstance) const;
  QString HttpUrl(int aInstance, const QString& aPath) const;
  QString PlatformAddress() const;

  /// The operator file for the current groups and upstreams.
  std::string OperatorFile() const;
  void SetLeavingUpstream(const std::string& aName);
  /// Runs the operator's command line tool; returns its exit code and output,
  /// or -1 after a timeout of 60 s.
  std::pair<int, QByteArray> Operator(const QStringList& aArguments) const;
  QString WriteFile(const QString& aName, const std::string& aText) const;

  /// Polls aCondition until it is true; returns false after aTimeoutMs.
  static bool WaitFor(const std::function<bool()>& aCondition,
                      int aTimeoutMs = 15'000);

private:
  struct DatabaseEntry
  {
    std::string mGroup;
    std::string mDomain;
    std::unique_ptr<ChildProcess> mProcess;
    quint16 mPort = 0;
    quint16 mLinkPort = 0;
    quint16 mReplicationLinkPort = 0;
  };
  struct InstanceEntry
  {
    std::string mName;
    std::string mDomain;
    quint16 mCallerPort = 0;
    quint16 mHttpPort = 0;
    std::unique_ptr<ChildProcess> mProcess;
  };

  void StartDatabase(const std::string& aName, quint16 aPort);
  quint16 AddLink(const QString& aName, quint16 aTarget) const;
  QString LogFile(const std::string& aName) const;
  std::string Settings(const InstanceEntry& aInstance) const;
  ClusterOptions mOptions;
  QTemporaryDir mDirectory;
  std::unique_ptr<ChildProcess> mPlatform;
  std::unique_ptr<ChildProcess> mFaultProxy;
  quint16 mPlatformPort = 0;
  quint16 mPlatformLinkPort = 0;
  quint16 mFaultProxyPort = 0;
  std::map<std::string, DatabaseEntry> mDatabases;
  std::vector<InstanceEntry> mInstances;
  std::string mLeavingUpstream;
};

}
