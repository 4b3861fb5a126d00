#include "Cluster.h"

#include "FreePort.h"

#include <QElapsedTimer>
#include <QFile>
#include <QJsonArray>
#include <QTcpServer>
#include <QThread>
#include <algorithm>
#include <sstream>

namespace papayaline {

namespace {

constexpr int kPollMs = 20;

QString
Url(quint16 aPort, const QString& aPath)
{
  return QString("http://127.0.0.1:%1%2").arg(aPort).arg(aPath);
}

std::string
Local(quint16 aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

}

Cluster::Cluster(ClusterOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

QString
Cluster::LogFile(const std::string& aName) const
{
  return mOptions.mLogDirectory.isEmpty()
           ? QString()
           : mOptions.mLogDirectory + "/" + QString::fromStdString(aName) +
               ".log";
}

quint16
Cluster::AddLink(const QString& aName, quint16 aTarget) const
{
  const auto answer = HttpPost(Url(mFaultProxyPort, "/links"),
                               { { "name", aName }, { "port", aTarget } });
  return static_cast<quint16>(answer.mJson["port"].toInt());
}

void
Cluster::StartDatabase(const std::string& aName, quint16 aPort)
{
  auto& entry = mDatabases[aName];
  const auto name = QString::fromStdString(aName);
  const auto option = [](const char* aOption, int aValue) {
    return QString("--%1=%2").arg(aOption).arg(aValue);
  };
  entry.mProcess = std::make_unique<ChildProcess>(
    "Tests/StandIns/standin-database",
    QStringList{ "--name=" + name,
                 option("port", aPort),
                 option("slots", mOptions.mSlots),
                 option("connections", mOptions.mConnections),
                 option("connect-ms", mOptions.mConnectMs),
                 option("statement-ms", mOptions.mStatementMs),
                 option("lag-ms", mOptions.mLagMs),
                 "--journal=" + mDirectory.filePath(name + ".journal") },
    LogFile(aName));
  entry.mPort = entry.mProcess->WaitForPort();
}

bool
Cluster::Start()
{
  mPlatform = std::make_unique<ChildProcess>(
    "Tests/StandIns/standin-platform", QStringList{}, LogFile("platform"));
  mPlatformPort = mPlatform->WaitForPort();
  mFaultProxy = std::make_unique<ChildProcess>(
    "Tests/StandIns/fault-proxy", QStringList{}, LogFile("fault-proxy"));
  mFaultProxyPort = mFaultProxy->WaitForPort();
  mPlatformLinkPort = AddLink("platform", mPlatformPort);
  for (const auto& group : mOptions.mGroups) {
    for (int it = 1; it <= mOptions.mUpstreams; ++it) {
      const auto name = group + "-" + std::to_string(it);
      StartDatabase(name, 0);
      auto& entry = mDatabases[name];
      entry.mGroup = group;
      entry.mDomain =
        mOptions
          .mDomains[static_cast<size_t>(it - 1) % mOptions.mDomains.size()];
      const auto link = QString::fromStdString(name);
      entry.mLinkPort = AddLink(link, entry.mPort);
      entry.mReplicationLinkPort = AddLink(link + "/replication", entry.mPort);
    }
  }
  for (int it = 0; it < mOptions.mInstances; ++it) {
    InstanceEntry entry;
    entry.mName = "entry-" + std::to_string(it + 1);
    entry.mDomain =
      mOptions.mDomains[static_cast<size_t>(it) % mOptions.mDomains.size()];
    entry.mCallerPort = FreePort();
    entry.mHttpPort = FreePort();
    mInstances.push_back(std::move(entry));
  }
  ListInstances();
  const auto file = WriteFile("groups.yaml", OperatorFile());
  if (Operator({ "apply", file }).first != 0) {
    return false;
  }
  for (int it = 0; it < mOptions.mInstances; ++it) {
    StartInstance(it);
  }
  return WaitFor([this] { return IsReady(); }, 30'000);
}

bool
Cluster::IsReady() const
{
  for (int it = 0; it < mOptions.mInstances; ++it) {
    const auto status = Status(it);
    const auto groups = status["groups"].toArray();
    const bool isReady =
      groups.size() == static_cast<qsizetype>(mOptions.mGroups.size()) &&
      status["instances"].toArray().size() == mOptions.mInstances &&
      std::ranges::all_of(groups, [&](const auto& aGroup) {
        const auto upstreams = aGroup.toObject()["upstreams"].toArray();
        const auto term = aGroup.toObject()["term"].toInteger();
        const auto followingCount =
          std::ranges::count_if(upstreams, [&](const auto& aUpstream) {
            const auto upstream = aUpstream.toObject();
            return upstream["lastTerm"].toInteger() == term &&
                   upstream["role"].toString() != "fenced";
          });
        return aGroup.toObject()["healthy"].toBool() &&
               followingCount == mOptions.mUpstreams;
      });
    if (!isReady) {
      return false;
    }
  }
  return true;
}

std::string
Cluster::Settings(const InstanceEntry& aInstance) const
{
  std::ostringstream text;
  text << "instance: " << aInstance.mName << "\n"
       << "failure_domain: " << aInstance.mDomain << "\n"
       << "caller_address: " << Local(aInstance.mCallerPort) << "\n"
       << "http_address: " << Local(aInstance.mHttpPort) << "\n"
       << "platform: " << Local(mPlatformLinkPort) << "\n"
       << "configuration: groups\n"
       << "drain_notice: " << mOptions.mDrainNoticeMs << "ms\n"
       << "read_routing: " << mOptions.mReadRouting << "\n"
       << "neighbours: [";
  for (const auto& it : mInstances) {
    text << (&it == &mInstances.front() ? "" : ", ") << Local(it.mHttpPort);
  }
  text << "]\n";
  if (mOptions.mExtraSettings.find("authentication:") == std::string::npos) {
    text << "authentication: trust\n";
  }
  text << mOptions.mExtraSettings;
  return text.str();
}

void
Cluster::StartInstance(int aIndex)
{
  auto& entry = mInstances[static_cast<size_t>(aIndex)];
  const auto file =
    WriteFile(QString::fromStdString(entry.mName) + ".yaml", Settings(entry));
  entry.mProcess =
    std::make_unique<ChildProcess>("Services/Papayalined/papayalined",
                                   QStringList{ "--settings=" + file },
                                   LogFile(entry.mName));
}

std::string
Cluster::OperatorFile() const
{
  std::ostringstream text;
  text << "name: groups\n"
       << "queue_limit: " << mOptions.mQueueLimit << "\n"
       << "classes:\n"
       << mOptions.mClasses << "groups:\n";
  for (const auto& group : mOptions.mGroups) {
    text << "  - name: " << group << "\n"
         << mOptions.mGroupLines << "    upstreams:\n";
    for (const auto& [name, entry] : mDatabases) {
      if (entry.mGroup != group) {
        continue;
      }
      text << "      - name: " << name << "\n"
           << "        address: " << Local(entry.mLinkPort) << "\n"
           << "        replication_address: "
           << Local(entry.mReplicationLinkPort) << "\n"
           << "        failure_domain: " << entry.mDomain << "\n"
           << "        connections: " << mOptions.mConnections << "\n"
           << "        slots: " << mOptions.mSlots << "\n";
      if (name == mLeavingUpstream) {
        text << "        leaving: true\n";
      }
    }
  }
  return text.str();
}

void
Cluster::SetLeavingUpstream(const std::string& aName)
{
  mLeavingUpstream = aName;
}

QString
Cluster::WriteFile(const QString& aName, const std::string& aText) const
{
  const auto path = mDirectory.filePath(aName);
  QFile file(path);
  file.open(QIODevice::WriteOnly | QIODevice::Truncate);
  file.write(aText.data(), static_cast<qint64>(aText.size()));
  return path;
}

std::pair<int, QByteArray>
Cluster::Operator(const QStringList& aArguments) const
{
  QProcess process;
  process.setProcessChannelMode(QProcess::MergedChannels);
  process.start(QString(PAPAYALINE_BINARY_DIR) + "/Utilities/papayaline",
                QStringList{ "--platform=" + PlatformAddress() } + aArguments);
  if (!process.waitForFinished(60'000)) {
    process.kill();
    process.waitForFinished();
    return { -1, process.readAll() };
  }
  return { process.exitCode(), process.readAll() };
}

Caller
Cluster::Connect(int aInstance,
                 const std::string& aGroup,
                 const std::string& aOptions,
                 const std::string& aUser) const
{
  return Caller(CallerPort(aInstance), aGroup, aOptions, aUser);
}

Caller
Cluster::ConnectDirect(const std::string& aDatabase) const
{
  return Caller(mDatabases.at(aDatabase).mPort, "direct");
}

ChildProcess&
Cluster::Database(const std::string& aName)
{
  return *mDatabases.at(aName).mProcess;
}

ChildProcess&
Cluster::Instance(int aIndex)
{
  return *mInstances.at(static_cast<size_t>(aIndex)).mProcess;
}

void
Cluster::RestartDatabase(const std::string& aName)
{
  const auto port = mDatabases.at(aName).mPort;
  mDatabases.at(aName).mProcess->Kill();
  StartDatabase(aName, port);
}

void
Cluster::SetDatabaseOption(const std::string& aDatabase,
                           const std::string& aOption,
                           int aValue) const
{
  auto caller = ConnectDirect(aDatabase);
  caller.RunParams("SELECT * FROM papayaline_standin_set($1, $2)",
                   { aOption, std::to_string(aValue) });
}

void
Cluster::SetFault(const std::string& aLink,
                  const QString& aUp,
                  const QString& aDown,
                  qint64 aValue) const
{
  const auto fault = [aValue](const QString& aMode) {
    return QJsonObject{ { "mode", aMode }, { "value", aValue } };
  };
  HttpPost(Url(mFaultProxyPort, "/faults"),
           { { "name", QString::fromStdString(aLink) },
             { "up", fault(aUp) },
             { "down", fault(aDown) } });
}

void
Cluster::SetPlatformFaults(const QJsonObject& aFaults) const
{
  HttpPost(Url(mPlatformPort, "/control"), aFaults);
}

void
Cluster::ListInstances(const std::vector<int>& aLeaving) const
{
  QJsonArray items;
  for (size_t it = 0; it < mInstances.size(); ++it) {
    const auto& entry = mInstances[it];
    const bool isLeaving =
      std::ranges::find(aLeaving, static_cast<int>(it)) != aLeaving.end();
    items.append(QJsonObject{
      { "name", QString::fromStdString(entry.mName) },
      { "failureDomain", QString::fromStdString(entry.mDomain) },
      { "address", QString::fromStdString(Local(entry.mHttpPort)) },
      { "leaving", isLeaving } });
  }
  HttpPut(Url(mPlatformPort, "/control/instances"), { { "items", items } });
}

QJsonObject
Cluster::PlatformCounts() const
{
  return HttpGet(Url(mPlatformPort, "/control/counts")).mJson;
}

HttpAnswer
Cluster::Http(int aInstance, const QString& aPath) const
{
  return HttpGet(HttpUrl(aInstance, aPath));
}

QJsonObject
Cluster::Status(int aInstance) const
{
  return Http(aInstance, "/v1/status").mJson;
}

std::string
Cluster::Primary(const std::string& aGroup, int aInstance) const
{
  for (const auto& it : Status(aInstance)["groups"].toArray()) {
    const auto group = it.toObject();
    if (group["name"].toString().toStdString() == aGroup &&
        group["healthy"].toBool()) {
      return group["primary"].toString().toStdString();
    }
  }
  return {};
}

std::vector<std::string>
Cluster::Replicas(const std::string& aGroup) const
{
  const auto primary = Primary(aGroup);
  std::vector<std::string> replicas;
  for (const auto& [name, entry] : mDatabases) {
    if (entry.mGroup == aGroup && name != primary) {
      replicas.push_back(name);
    }
  }
  return replicas;
}

QJsonArray
Cluster::Events(int aInstance) const
{
  return Http(aInstance, "/v1/events").mJson["events"].toArray();
}

quint16
Cluster::CallerPort(int aInstance) const
{
  return mInstances.at(static_cast<size_t>(aInstance)).mCallerPort;
}

QString
Cluster::HttpUrl(int aInstance, const QString& aPath) const
{
  return Url(mInstances.at(static_cast<size_t>(aInstance)).mHttpPort, aPath);
}

QString
Cluster::PlatformAddress() const
{
  return QString::fromStdString(Local(mPlatformPort));
}

bool
Cluster::WaitFor(const std::function<bool()>& aCondition, int aTimeoutMs)
{
  QElapsedTimer timer;
  timer.start();
  while (!aCondition()) {
    if (timer.elapsed() > aTimeoutMs) {
      return false;
    }
    QThread::msleep(kPollMs);
  }
  return true;
}

}
