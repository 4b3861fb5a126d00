#include "Instance.h"

#include "Record.h"

#include <QCoreApplication>
#include <QFile>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <csignal>
#include <sys/prctl.h>

namespace review {

namespace {

constexpr int kRestartMs = 300;
constexpr int kEndMs = 5'000;

}

quint16
FreePort()
{
  static auto sNext =
    static_cast<quint32>(QCoreApplication::applicationPid()) * 101;
  while (true) {
    const auto port = static_cast<quint16>(10'000 + sNext++ % 20'000);
    QTcpServer server;
    if (server.listen(QHostAddress::LocalHost, port)) {
      return port;
    }
  }
}

Instance::Instance(InstanceSettings aSettings)
  : mSettings(std::move(aSettings))
  , mCallerPort(FreePort())
  , mReadyPort(FreePort())
  , mMetricsPort(FreePort())
  , mPeerPort(FreePort())
{
  WriteSettings();
  // The process ends with the driver, however that ends.
  mProcess.setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
  mProcess.setStandardErrorFile("log-" + mSettings.mName + ".txt",
                                QIODevice::Append);
  mProcess.setStandardOutputFile("log-" + mSettings.mName + ".txt",
                                 QIODevice::Append);
  connect(&mProcess,
          &QProcess::finished,
          this,
          [this](int aCode, QProcess::ExitStatus aStatus) {
            if (mIsStopping) {
              return;
            }
            ++mOwnEnds;
            Record(mSettings.mName + " ended by itself: " +
                   (aStatus == QProcess::CrashExit ? "signal " : "exit code ") +
                   QByteArray::number(aCode));
            QTimer::singleShot(kRestartMs, this, [this] { Start(); });
          });
}

Instance::~Instance()
{
  Stop();
}

void
Instance::WriteSettings()
{
  const auto local = [](quint16 aPort) {
    return "\"127.0.0.1:" + QByteArray::number(aPort) + "\"\n";
  };
  QFile file(mDirectory.filePath("settings.yaml"));
  file.open(QIODevice::WriteOnly);
  file.write(
    "instance: \"" + mSettings.mName + "\"\nfailure_domain: \"" +
    mSettings.mZone + "\"\ncaller_address: " + local(mCallerPort) +
    "relay:\n  readiness_address: " + local(mReadyPort) +
    "  readiness_path: /api/readiness\n  metrics_address: " +
    local(mMetricsPort) + "  peer_address: " + local(mPeerPort) +
    "  processor_share: 0.25\n  store: " + local(mSettings.mStorePort) +
    "  promotion: " + local(mSettings.mPromotionPort) + "  grace: \"6s\"\n");
}

void
Instance::Start()
{
  if (!mIsStopping) {
    mProcess.start("../../target/Services/Papayalined/papayalined",
                   { "--settings=" + mDirectory.filePath("settings.yaml") });
    Record("started " + mSettings.mName);
  }
}

void
Instance::Stop()
{
  mIsStopping = true;
  if (mProcess.state() != QProcess::NotRunning) {
    mProcess.kill();
    mProcess.waitForFinished(kEndMs);
  }
}

void
Instance::SendSignal(int aSignal)
{
  if (mProcess.state() != QProcess::NotRunning) {
    ::kill(static_cast<pid_t>(mProcess.processId()), aSignal);
  }
}

bool
Instance::IsReady() const
{
  QTcpSocket socket;
  socket.connectToHost(QHostAddress(QHostAddress::LocalHost), mReadyPort);
  if (!socket.waitForConnected(500)) {
    return false;
  }
  socket.write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
  return socket.waitForReadyRead(500) &&
         socket.readAll().split(' ').value(1) == "200";
}

}
