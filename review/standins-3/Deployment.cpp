#include "Deployment.h"

#include <QHostAddress>
#include <QJsonArray>
#include <QRandomGenerator>
#include <QTimer>
#include <set>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>

namespace review {

namespace {

constexpr char kService[] = "reminder-db";
constexpr char kDatabase[] = "visit-booking";
constexpr int kHeartbeatMs = 1200;
constexpr int kPauseMs = 40;

QString
InstanceName(int aNumber)
{
  return "edge-" + QString::number(aNumber + 1);
}

}

Record::Record(const QString& aPath)
  : mFile(aPath)
{
  if (!mFile.open(QIODevice::WriteOnly | QIODevice::Truncate)) {
    qFatal("can't write the record");
  }
  mClock.start();
}

void
Record::operator()(const QString& aLine)
{
  mFile.write(QString("%1 ms  %2\n").arg(NowMs(), 6).arg(aLine).toUtf8());
  mFile.flush();
}

Caller::Caller(quint16 aPort,
               QByteArray aDatabase,
               int aNumber,
               Record& aRecord)
  : mPort(aPort)
  , mDatabase(std::move(aDatabase))
  , mNumber(aNumber)
  , mRecord(aRecord)
{
  Open();
}

void
Caller::Open()
{
  mBuffer.clear();
  mIsOpen = false;
  mIsWaiting = false;
  mSocket = std::make_unique<QTcpSocket>();
  connect(mSocket.get(), &QTcpSocket::connected, this, [this] {
    mSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    mSocket->write("STARTUP " + mDatabase + " u" + QByteArray::number(mNumber) +
                   "\r\n");
  });
  connect(mSocket.get(), &QTcpSocket::readyRead, this, [this] {
    mBuffer += mSocket->readAll();
    qsizetype end = 0;
    while ((end = mBuffer.indexOf("\r\n")) >= 0) {
      const auto line = mBuffer.left(end);
      mBuffer.remove(0, end + 2);
      OnLine(line);
    }
  });
  const auto again = [this] {
    if (mIsWaiting) {
      ++mCounts.mErrors["closed"];
    }
    QTimer::singleShot(200, this, [this] { Open(); });
  };
  connect(mSocket.get(), &QTcpSocket::disconnected, this, again);
  connect(mSocket.get(),
          &QTcpSocket::errorOccurred,
          this,
          [this, again](QAbstractSocket::SocketError aError) {
            if (aError == QAbstractSocket::ConnectionRefusedError) {
              again();
            }
          });
  mSocket->connectToHost(QHostAddress::LocalHost, mPort);
}

void
Caller::Send()
{
  if (mIsStopped || mIsWaiting || !mIsOpen) {
    return;
  }
  ++mNext;
  const auto number =
    QByteArray::number(mNumber * 100000 + qlonglong(mNext), 16);
  mText = mNext % 3 == 0
            ? "WRITE " + QByteArray::number(mNumber) + " d" + number
            : "READ " + QByteArray::number(mNumber);
  mIsWaiting = true;
  ++mCounts.mSent;
  mRecord(QString("caller %1 sends %2").arg(mNumber).arg(QString(mText)));
  mSocket->write("QUERY " + number.rightJustified(16, '0') + " " + mText +
                 "\r\n");
}

void
Caller::OnLine(const QByteArray& aLine)
{
  if (mIsWaiting) {
    mRecord(QString("caller %1 gets %2").arg(mNumber).arg(QString(aLine)));
  }
  if (aLine.startsWith("ERROR ")) {
    ++mCounts.mErrors[aLine.split(' ').value(1)];
  } else if (aLine.startsWith("COMPLETE ")) {
    ++mCounts.mSucceeded;
    if (mText.startsWith("WRITE ") && mOnWritten) {
      mOnWritten(mNumber, mText.split(' ').value(2));
    }
  } else if (aLine.startsWith("READY ")) {
    mIsOpen = true;
    mIsWaiting = false;
    QTimer::singleShot(kPauseMs, this, [this] { Send(); });
  }
}

Deployment::Deployment(const QString& aProgram,
                       Record& aRecord,
                       int aInstances,
                       int aDescriptors,
                       int aSyncReplicas)
  : mProgram(aProgram)
  , mRecord(aRecord)
  , mDescriptors(aDescriptors)
  , mSyncReplicas(aSyncReplicas)
  , mDatabases(kService,
               { "i-0a", "i-0b", "i-0c" },
               aSyncReplicas,
               [this](const QString& aLine) { mRecord(aLine); })
  , mDuty([this](const PromotionOrder& aOrder) {
    const auto status = mDatabases.Promote(aOrder.mDatabase);
    mRecord(QString("order arrives: promote %1, holder %2, token %3; answer %4")
              .arg(aOrder.mDatabase, aOrder.mHolder)
              .arg(aOrder.mToken)
              .arg(status));
    mOnOrder(aOrder);
    return status;
  })
{
  mDatabases.mOnRoles = [this] { PublishDatabases(); };
  auto* beats = new QTimer(this);
  connect(beats, &QTimer::timeout, this, [this] { PublishDatabases(); });
  beats->start(kHeartbeatMs);
  PublishConfiguration();
  PublishDatabases();
  for (int n = 0; n < aInstances; ++n) {
    mPorts.push_back({ FreePort(), FreePort(), FreePort(), FreePort() });
    mLinks.push_back(std::make_unique<Link>(mStore.Port()));
    mLinks.push_back(std::make_unique<Link>(mDuty.Port()));
    mInstances.push_back(nullptr);
    mOwnEnds.push_back(0);
    StartInstance(n);
  }
}

Deployment::~Deployment()
{
  for (const auto& it : mInstances) {
    it->disconnect();
    it->kill();
    it->waitForFinished(2000);
  }
}

/// Below the range of outgoing connections, which could take the port before
/// the instance listens.
quint16
Deployment::FreePort()
{
  constexpr int kFirst = 20000;
  constexpr int kLast = 32000;
  static std::set<quint16> sUsed;
  while (true) {
    const auto port =
      static_cast<quint16>(QRandomGenerator::global()->bounded(kFirst, kLast));
    QTcpServer server;
    if (!sUsed.contains(port) && server.listen(QHostAddress::LocalHost, port)) {
      sUsed.insert(port);
      return port;
    }
  }
}

void
Deployment::PublishConfiguration()
{
  mStore.Put("config",
             "main",
             QJsonObject{ { "configVersion", 7 },
                          { "routes",
                            QJsonArray{ QJsonObject{ { "name", "r-1" },
                                                     { "database", kDatabase },
                                                     { "pathPrefix", "/" },
                                                     { "routeKind", "primary" },
                                                     { "timeoutMs", 1000 },
                                                     { "targetLatencyMs", 200 },
                                                     { "priority", 1 },
                                                     { "backend", kService },
                                                     { "maxAttempts", 2 } } } },
                          { "backends",
                            QJsonArray{ QJsonObject{
                              { "name", kService },
                              { "maxConns", 22 },
                              { "syncReplicas", mSyncReplicas } } } },
                          { "limits", QJsonObject{ { "txIdleMs", 3000 } } } });
}

void
Deployment::PublishDatabases()
{
  const auto zones = std::array{ "tpe-a", "tpe-b", "ntp-c" };
  size_t n = 0;
  for (const auto& it : mDatabases.All()) {
    const bool isDraining =
      std::ranges::find(mDraining, it->mName) != mDraining.end();
    mStore.Put("servers",
               it->mName,
               QJsonObject{
                 { "backend", kService },
                 { "address",
                   "127.0.0.1:" + QString::number(it->mServer->serverPort()) },
                 { "zone", zones[n++ % zones.size()] },
                 { "configVersion", "v1" },
                 { "slots", 3 },
                 { "state", isDraining ? "draining" : "ready" },
                 { "coldLeftMs", 0 },
                 { "dbRole", it->mIsPrimary ? "primary" : "replica" },
                 { "born", qint64(1790230000000) },
                 { "sequence", ++mSequences[it->mName] } });
  }
}

void
Deployment::SetDraining(const QString& aDatabase)
{
  mRecord("database " + aDatabase + " reports draining (planned release)");
  mDraining.push_back(aDatabase);
  PublishDatabases();
}

void
Deployment::StartInstance(int aNumber)
{
  const auto& ports = mPorts[size_t(aNumber)];
  const auto local = [](quint16 aPort) {
    return QString("\"127.0.0.1:%1\"\n").arg(aPort).toUtf8();
  };
  const auto path = mDirectory.filePath(InstanceName(aNumber) + ".conf");
  QFile file(path);
  if (!file.open(QIODevice::WriteOnly)) {
    qFatal("can't write settings");
  }
  const auto zone =
    std::array{ "tpe-a", "tpe-b", "ntp-c" }[size_t(aNumber) % 3];
  // The template deploy/settings.yaml, filled in.
  file.write(
    "instance: \"" + InstanceName(aNumber).toUtf8() + "\"\nfailure_domain: \"" +
    zone + "\"\ncaller_address: " + local(ports.mCallers) +
    "relay:\n  readiness_address: " + local(ports.mReady) +
    "  readiness_path: \"/api/readiness\"\n  metrics_address: " +
    local(ports.mMetrics) + "  peer_address: " + local(ports.mPeers) +
    "  processor_share: 0.25\n  store: " +
    local(mLinks[size_t(aNumber) * 2]->Port()) +
    "  promotion: " + local(mLinks[size_t(aNumber) * 2 + 1]->Port()) +
    "  link_mbps: 1000.0\n  regions: { \"tpe-a\": \"tw-north\", \"tpe-b\": "
    "\"tw-north\", \"ntp-c\": \"tw-north\" }\n  grace: \"6s\"\n");
  file.close();
  auto process = std::make_unique<QProcess>();
  process->setProcessChannelMode(QProcess::MergedChannels);
  auto* at = process.get();
  connect(at, &QProcess::readyReadStandardOutput, this, [this, at, aNumber] {
    while (at->canReadLine()) {
      const auto line = at->readLine().trimmed();
      if (line.contains("takeover.") || line.contains("duty.") ||
          line.contains("promotion.") || !line.startsWith('{')) {
        mRecord("log of " + InstanceName(aNumber) + ": " + line);
      }
    }
  });
  // The instance ends with this process, however that ends.
  process->setChildProcessModifier([limit = mDescriptors] {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (limit > 0) {
      const rlimit it{ rlim_t(limit), rlim_t(limit) };
      setrlimit(RLIMIT_NOFILE, &it);
    }
  });
  process->start(mProgram, { "--settings=" + path });
  connect(at, &QProcess::finished, this, [this, aNumber](int aCode) {
    constexpr int kRestartMs = 1000;
    ++mOwnEnds[size_t(aNumber)];
    mRecord(QString("%1 ends by itself, code %2")
              .arg(InstanceName(aNumber))
              .arg(aCode));
    QTimer::singleShot(
      kRestartMs, this, [this, aNumber] { StartInstance(aNumber); });
  });
  auto& slot = mInstances[size_t(aNumber)];
  if (slot) {
    mEnded.push_back(std::move(slot));
  }
  slot = std::move(process);
}

bool
Deployment::HasExited() const
{
  return std::ranges::any_of(mInstances, [](const auto& it) {
    return it->state() == QProcess::NotRunning;
  });
}

bool
Deployment::AreAllReady() const
{
  for (int n = 0; n < int(mPorts.size()); ++n) {
    if (!IsReady(n)) {
      return false;
    }
  }
  return true;
}

bool
Deployment::IsReady(int aNumber) const
{
  QTcpSocket socket;
  socket.connectToHost(QHostAddress::LocalHost, mPorts[size_t(aNumber)].mReady);
  if (!socket.waitForConnected(100)) {
    return false;
  }
  socket.write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
  return socket.waitForReadyRead(100) &&
         socket.readAll().split(' ').value(1) == "200";
}

void
Deployment::Remove(int aNumber)
{
  mRecord(InstanceName(aNumber) + " is removed for good");
  auto& process = mInstances[size_t(aNumber)];
  process->disconnect();
  process->kill();
  process->waitForFinished(1000);
}

void
Deployment::CutWatches()
{
  mStore.CutWatches();
}

void
Deployment::StartCallers()
{
  int number = 0;
  for (const auto& it : mPorts) {
    for (int n = 0; n < 3; ++n) {
      mCallers.push_back(
        std::make_unique<Caller>(it.mCallers, kDatabase, ++number, mRecord));
      mCallers.back()->mOnWritten = mOnWritten;
    }
  }
}

void
Deployment::StopCallers()
{
  for (const auto& it : mCallers) {
    it->Stop();
  }
}

void
Deployment::SetPartitioned(const QString& aInstance, bool aIsPartitioned)
{
  for (int n = 0; n < int(mInstances.size()); ++n) {
    if (InstanceName(n) == aInstance) {
      mLinks[size_t(n) * 2]->SetPartitioned(aIsPartitioned);
      mLinks[size_t(n) * 2 + 1]->SetPartitioned(aIsPartitioned);
    }
  }
  mRecord(aInstance + (aIsPartitioned
                         ? " is partitioned from the platform from now on"
                         : " reaches the platform again"));
}

void
Deployment::WriteSummary()
{
  size_t sent = 0;
  size_t succeeded = 0;
  std::map<QByteArray, size_t> errors;
  for (const auto& it : mCallers) {
    sent += it->GetCounts().mSent;
    succeeded += it->GetCounts().mSucceeded;
    for (const auto& [code, n] : it->GetCounts().mErrors) {
      errors[code] += n;
    }
  }
  auto text = QString("callers: %1 statements sent, %2 succeeded")
                .arg(sent)
                .arg(succeeded);
  for (const auto& [code, n] : errors) {
    text += QString(", %1 %2").arg(n).arg(QString::fromUtf8(code));
  }
  mRecord(text);
}

}
