#pragma once

#include "AccountCheck.h"
#include "ChildProcess.h"
#include "FaultProxy/FaultLink.h"
#include "Line/LineDatabases.h"
#include "Line/LineStore.h"

#include <QTemporaryDir>
#include <map>

namespace papayaline {

/// Runs instances as processes against stand-ins of the store and of three
/// databases. Every connection passes through a link that can inject faults.
/// Runs in the event loop of the soak test.
class SoakDeployment
{
public:
  /// A write is acknowledged once aSyncReplicas replicas have it; with 0 the
  /// primary alone is enough. If aLogs is not empty, the output of the
  /// processes is appended to files in this directory.
  /// Callers have accounts if aAccounts is not 0.
  SoakDeployment(int aInstances,
                 int aSyncReplicas,
                 int aAccounts,
                 int aCallers,
                 QString aLogs);

  int InstanceCount() const { return static_cast<int>(mInstances.size()); }
  /// Starts the process of an instance; a running process is killed first.
  void Start(int aInstance);
  ChildProcess& Process(int aInstance) { return *mInstances[aInstance]; }
  /// The port of the link between callers and an instance.
  quint16 CallerPort(int aInstance) const;
  bool IsReady(int aInstance) const;

  LineDatabases& Databases() { return mDatabases; }
  LineStore& Store() { return mStore; }
  AccountCheck& Accounts() { return mAccounts; }
  /// Takes the key of a caller away or gives it back.
  void SetKeyHeld(int aCaller, bool aIsHeld);
  int CallerCount() const { return mCallers; }
  std::vector<std::string> LinkNames() const;
  FaultLink& Link(const std::string& aName) { return *mLinks.at(aName); }

  /// Writes the next version of the configuration to the store; its extra route
  /// is named after the version.
  void PublishConfiguration();
  /// Restores an earlier copy of the store, whereupon operator and databases
  /// write again what they wrote last.
  void RestoreStore(const LineStore::Copy& aCopy);
  /// Whether an instance has the latest version of the configuration.
  bool HasLatestConfiguration(int aInstance) const;
  /// Writes the databases with their current roles to the store.
  void PublishDatabases();

  static constexpr const char* kLatestRoute = "bookings";
  static constexpr const char* kOwnWritesRoute = "status";
  /// Maximum staleness of reads on the route kOwnWritesRoute.
  static constexpr int kMaxAgeMs = 2500;

private:
  struct Ports
  {
    quint16 mCallers = 0;
    quint16 mReady = 0;
    quint16 mMetrics = 0;
    quint16 mPeers = 0;
  };

  void WriteConfiguration();
  QJsonArray AccountEntries() const;
  quint16 AddLink(const std::string& aName, quint16 aPort);
  QString WriteSettings(int aInstance);

  int mSyncReplicas;
  AccountCheck mAccounts;
  int mCallers;
  QString mLogs;
  QTemporaryDir mDirectory;
  LineDatabases mDatabases;
  LineStore mStore;
  std::map<std::string, std::unique_ptr<FaultLink>> mLinks;
  std::vector<Ports> mPorts;
  std::vector<std::unique_ptr<ChildProcess>> mInstances;
  int mVersion = 0;
};

}
