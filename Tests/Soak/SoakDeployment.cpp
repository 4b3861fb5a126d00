#include "SoakDeployment.h"

#include "FreePort.h"

#include <QFile>
#include <QHostAddress>
#include <QJsonArray>

namespace papayaline {

namespace {

constexpr const char kProbeKey[] = "soak";

QJsonObject
Route(const QString& aDatabase, const QString& aKind)
{
  return { { "database", aDatabase },
           { "routeKind", aKind },
           { "timeoutMs", 1000 },
           { "targetLatencyMs", 200 },
           { "maxStalenessMs", SoakDeployment::kMaxAgeMs },
           { "priority", 1 },
           { "backend", "group-1" } };
}

QByteArray
Local(quint16 aPort)
{
  return "\"127.0.0.1:" + QByteArray::number(aPort) + "\"\n";
}

}

SoakDeployment::SoakDeployment(int aInstances,
                               int aSyncReplicas,
                               int aAccounts,
                               int aCallers,
                               QString aLogs)
  : mSyncReplicas(aSyncReplicas)
  , mAccounts(aAccounts)
  , mCallers(aCallers)
  , mLogs(std::move(aLogs))
{
  mStore.mOnPromote = [this](const QString& aName) {
    const bool isPromoted = mDatabases.Promote(aName.toStdString());
    PublishDatabases();
    return isPromoted;
  };
  mDatabases.mOnLine = [this](const std::string& aAccount,
                              const QByteArray& aLine) {
    mAccounts.OnLine(aAccount, aLine);
  };
  for (const auto& it : mDatabases.All()) {
    AddLink(it->mName, it->mPort);
  }
  PublishConfiguration();
  PublishDatabases();
  // As after an earlier promotion. Without a record, the first one waits for
  // the lease timeout.
  mStore.Put(
    "papayaline-duties", "promotion", { { "released", true }, { "era", 1 } });
  for (int n = 0; n < aInstances; ++n) {
    mPorts.push_back({ FreePort(), FreePort(), FreePort(), FreePort() });
    AddLink("callers-" + std::to_string(n), mPorts.back().mCallers);
    AddLink("store-" + std::to_string(n), mStore.Port());
    mInstances.push_back(nullptr);
    Start(n);
  }
}

quint16
SoakDeployment::AddLink(const std::string& aName, quint16 aPort)
{
  auto& link = mLinks[aName];
  link = std::make_unique<FaultLink>("127.0.0.1", aPort);
  link->listen(QHostAddress::LocalHost);
  return link->serverPort();
}

quint16
SoakDeployment::CallerPort(int aInstance) const
{
  return mLinks.at("callers-" + std::to_string(aInstance))->serverPort();
}

std::vector<std::string>
SoakDeployment::LinkNames() const
{
  std::vector<std::string> names;
  std::ranges::transform(
    mLinks, std::back_inserter(names), [](const auto& it) { return it.first; });
  return names;
}

QString
SoakDeployment::WriteSettings(int aInstance)
{
  const auto& ports = mPorts[aInstance];
  const auto store =
    mLinks.at("store-" + std::to_string(aInstance))->serverPort();
  QFile file(mDirectory.filePath(QString::number(aInstance) + ".yaml"));
  if (!file.open(QIODevice::WriteOnly)) {
    qFatal("can't write the settings file of an instance");
  }
  // Quotas are kept by exchanges between instances.
  const auto accountSettings =
    mAccounts.HasAccounts()
      ? "  peer_address: " + Local(ports.mPeers) + "  authority_timeout: " +
          QByteArray::number(AccountCheck::kAuthorityTimeoutMs) + "ms\n" +
          "  quota_tolerance: { window: " +
          QByteArray::number(AccountCheck::kQuotaWindowMs) +
          "ms, excess: " + QByteArray::number(AccountCheck::kQuotaExcess) +
          ", slack: " + QByteArray::number(AccountCheck::kQuotaSlack) + " }\n"
      : QByteArray();
  file.write("instance: entry-" + QByteArray::number(aInstance) +
             "\nfailure_domain: z\ncaller_address: " + Local(ports.mCallers) +
             "relay:\n  readiness_address: " + Local(ports.mReady) +
             "  readiness_path: /ready\n" +
             "  metrics_address: " + Local(ports.mMetrics) +
             "  store: " + Local(store) + "  promotion: " + Local(store) +
             accountSettings + "  grace: 6s\n");
  return file.fileName();
}

void
SoakDeployment::Start(int aInstance)
{
  const auto log = mLogs + "/entry-" + QString::number(aInstance);
  mInstances[aInstance].reset();
  mInstances[aInstance] = std::make_unique<ChildProcess>(
    "Services/Papayalined/papayalined",
    QStringList{ "--settings=" + WriteSettings(aInstance) },
    mLogs.isEmpty() ? QString() : log + ".err",
    mLogs.isEmpty() ? QProcess::nullDevice() : log + ".log");
}

bool
SoakDeployment::IsReady(int aInstance) const
{
  constexpr int kWaitMs = 200;
  QTcpSocket socket;
  socket.connectToHost(QHostAddress::LocalHost, mPorts[aInstance].mReady);
  if (!socket.waitForConnected(kWaitMs)) {
    return false;
  }
  socket.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  return socket.waitForReadyRead(kWaitMs) &&
         socket.readAll().split(' ').value(1) == "200";
}

bool
SoakDeployment::HasLatestConfiguration(int aInstance) const
{
  constexpr int kWaitMs = 200;
  QTcpSocket socket;
  socket.connectToHost(QHostAddress::LocalHost, mPorts[aInstance].mCallers);
  if (!socket.waitForConnected(kWaitMs)) {
    return false;
  }
  socket.write("STARTUP extra-" + QByteArray::number(mVersion) + " " +
               kProbeKey + "\r\n");
  return socket.waitForReadyRead(kWaitMs) &&
         socket.readAll().startsWith("READY");
}

void
SoakDeployment::RestoreStore(const LineStore::Copy& aCopy)
{
  mStore.Restore(aCopy);
  WriteConfiguration();
  PublishDatabases();
}

void
SoakDeployment::SetKeyHeld(int aCaller, bool aIsHeld)
{
  mAccounts.SetKeyHeld(aCaller, aIsHeld);
  PublishConfiguration();
}

QJsonArray
SoakDeployment::AccountEntries() const
{
  QJsonArray entries{ QJsonObject{ { "name", "probe" },
                                   { "apiKeys", QJsonArray{ kProbeKey } } } };
  for (int account = 0; account < mAccounts.Count(); ++account) {
    QJsonArray keys;
    for (int caller = account; caller < mCallers; caller += mAccounts.Count()) {
      if (mAccounts.IsKeyHeld(caller)) {
        keys.append(QString::fromLatin1(AccountCheck::KeyOf(caller)));
      }
    }
    const auto quota = mAccounts.QuotaOf(account);
    entries.append(QJsonObject{
      { "name", QString::fromStdString(mAccounts.AccountOf(account)) },
      { "apiKeys", keys },
      { "priority", 1 },
      { "ratePerS", quota.mRatePerSecond },
      { "burst", quota.mBurst } });
  }
  return entries;
}

void
SoakDeployment::PublishConfiguration()
{
  ++mVersion;
  WriteConfiguration();
}

void
SoakDeployment::WriteConfiguration()
{
  const QJsonArray routes{
    Route(kLatestRoute, "primary"),
    Route(kOwnWritesRoute, "read_your_writes"),
    Route("extra-" + QString::number(mVersion), "primary"),
  };
  QJsonObject configuration{
    { "configVersion", mVersion },
    { "routes", routes },
    { "backends",
      QJsonArray{ QJsonObject{ { "name", "group-1" },
                               { "maxConns", 40 },
                               { "syncReplicas", mSyncReplicas } } } },
    { "limits", QJsonObject{ { "txIdleMs", 3000 } } }
  };
  if (mAccounts.HasAccounts()) {
    configuration["tenants"] = AccountEntries();
  }
  mStore.Put("config", "main", configuration);
}

void
SoakDeployment::PublishDatabases()
{
  for (const auto& it : mDatabases.All()) {
    mStore.Put(
      "servers",
      QString::fromStdString(it->mName),
      LineDatabases::DirectoryEntryOf(*it, mLinks.at(it->mName)->serverPort()));
  }
}

}
