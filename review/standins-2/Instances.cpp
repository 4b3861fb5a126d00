#include "Instances.h"

#include <QFile>
#include <QHostAddress>
#include <QRandomGenerator>
#include <csignal>
#include <sys/prctl.h>

namespace review {

namespace {

const QString kProgram = "target/Services/Papayalined/papayalined";

}

Instances::Instances(Databases& aDatabases,
                     Platform& aPlatform,
                     Record& aRecord)
  : mDatabases(aDatabases)
  , mPlatform(aPlatform)
  , mRecord(aRecord)
{
}

Instances::~Instances()
{
  for (auto& [name, it] : mInstances) {
    if (it.mProcess->state() != QProcess::NotRunning) {
      ::kill(static_cast<pid_t>(it.mProcess->processId()), SIGCONT);
      it.mProcess->kill();
      it.mProcess->waitForFinished(5000);
    }
  }
}

quint16
Instances::FreePort()
{
  // Below the ports that the system gives to outgoing connections, so that
  // none of these takes one before its instance listens there.
  constexpr quint16 kFirst = 12'000;
  constexpr quint16 kCount = 20'000;
  while (true) {
    const auto port = static_cast<quint16>(
      kFirst + QRandomGenerator::global()->bounded(kCount));
    QTcpServer server;
    if (mUsedPorts.insert(port).second &&
        server.listen(QHostAddress::LocalHost, port)) {
      return port;
    }
  }
}

void
Instances::Start(const std::string& aName, const std::string& aZone)
{
  auto& instance = mInstances[aName];
  instance.mCallerPort = FreePort();
  instance.mReadyPort = FreePort();
  const auto address = [](quint16 aPort) {
    return "\"127.0.0.1:" + QByteArray::number(aPort) + "\"\n";
  };
  const auto platform = address(mPlatform.PortFor(aName));
  mDatabases.ConnectInstance(aName);
  const auto path =
    mDirectory.filePath(QString::fromStdString(aName) + ".yaml");
  QFile file(path);
  file.open(QIODevice::WriteOnly);
  file.write("instance: \"" + QByteArray::fromStdString(aName) +
             "\"\nfailure_domain: \"" + QByteArray::fromStdString(aZone) +
             "\"\ncaller_address: " + address(instance.mCallerPort) +
             "relay:\n  readiness_address: " + address(instance.mReadyPort) +
             "  readiness_path: \"/api/readiness\"\n  metrics_address: " +
             address(FreePort()) + "  peer_address: " + address(FreePort()) +
             "  processor_share: 0.25\n  store: " + platform +
             "  promotion: " + platform +
             "  link_mbps: 1000.0\n  regions: { \"zone-a\": \"region\", "
             "\"zone-b\": \"region\", \"zone-c\": \"region\" }\n"
             "  grace: \"6s\"\n");
  file.close();
  instance.mProcess = std::make_unique<QProcess>();
  const auto log = mDirectory.filePath(QString::fromStdString(aName) + ".log");
  instance.mProcess->setStandardErrorFile(log, QIODevice::Append);
  instance.mProcess->setStandardOutputFile(log, QIODevice::Append);
  // An instance never outlives this program.
  instance.mProcess->setChildProcessModifier(
    [] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
  instance.mProcess->start(kProgram, { "--settings=" + path });
  instance.mProcess->waitForStarted(5000);
  mRecord.Write("instance: " + QString::fromStdString(aName) + " started");
}

bool
Instances::AwaitReady(double aTimeoutMs)
{
  for (const auto& [name, it] : mInstances) {
    const auto port = it.mReadyPort;
    const auto isReady = [port] {
      QTcpSocket socket;
      socket.connectToHost(QHostAddress::LocalHost, port);
      QByteArray bytes;
      Await([&] { return socket.state() == QAbstractSocket::ConnectedState; },
            300);
      socket.write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
      return Await(
        [&] {
          bytes += socket.readAll();
          return bytes.startsWith("HTTP/1.1 200");
        },
        200);
    };
    if (!Await(isReady, aTimeoutMs)) {
      return false;
    }
  }
  return true;
}

quint16
Instances::CallerPort(const std::string& aName) const
{
  return mInstances.at(aName).mCallerPort;
}

void
Instances::Signal(const std::string& aName, int aSignal)
{
  const auto& process = mInstances.at(aName).mProcess;
  if (process->state() != QProcess::NotRunning) {
    ::kill(static_cast<pid_t>(process->processId()), aSignal);
  }
}

bool
Instances::IsRunning(const std::string& aName) const
{
  return mInstances.at(aName).mProcess->state() != QProcess::NotRunning;
}

QByteArray
Instances::LogOf(const std::string& aName) const
{
  QFile file(mDirectory.filePath(QString::fromStdString(aName) + ".log"));
  file.open(QIODevice::ReadOnly);
  return file.readAll();
}

Client::Client(Record& aRecord, std::string aName)
  : mRecord(aRecord)
  , mName(std::move(aName))
{
}

bool
Client::Open(quint16 aPort, const QByteArray& aDatabase)
{
  mBuffer.clear();
  mSocket.abort();
  mSocket.connectToHost(QHostAddress::LocalHost, aPort);
  Await([&] { return mSocket.state() == QAbstractSocket::ConnectedState; },
        1000);
  mSocket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  mSocket.write("STARTUP " + aDatabase + " key-1\r\n");
  Await(
    [&] {
      mBuffer += mSocket.readAll();
      return mBuffer.contains("\r\n") ||
             mSocket.state() == QAbstractSocket::UnconnectedState;
    },
    2000);
  return std::exchange(mBuffer, {}).startsWith("READY");
}

void
Client::Close()
{
  mSocket.abort();
}

bool
Client::IsOpen() const
{
  return mSocket.state() == QAbstractSocket::ConnectedState;
}

std::string
Client::Send(const QByteArray& aText)
{
  mPending = {};
  mPending.mId = mName + "-" + std::to_string(++mRequests);
  mPending.mText = aText;
  mPending.mSentAt = NowMs();
  mRecord.Write("client: " + QString::fromStdString(mPending.mId) + " sends " +
                QString::fromUtf8(aText));
  mSocket.write("QUERY " + QByteArray::fromStdString(mPending.mId) + " " +
                aText + "\r\n");
  mSocket.flush();
  return mPending.mId;
}

std::optional<Client::Answer>
Client::TakeAnswer()
{
  mBuffer += mSocket.readAll();
  const bool isComplete =
    mBuffer.endsWith("\r\n") &&
    (mBuffer.startsWith("READY ") || mBuffer.contains("\r\nREADY "));
  if (!isComplete && mSocket.state() != QAbstractSocket::UnconnectedState) {
    return std::nullopt;
  }
  auto answer = mPending;
  answer.mAt = NowMs();
  const auto lines = std::exchange(mBuffer, {}).split('\n');
  for (const auto& it : lines) {
    const auto line = it.trimmed();
    if (line.startsWith("ROW ")) {
      answer.mRow = line.mid(4);
    } else if (line.startsWith("COMPLETE ")) {
      answer.mIsSuccess = true;
    } else if (line.startsWith("ERROR ")) {
      answer.mError = line.mid(6);
    }
  }
  if (!isComplete) {
    answer.mIsSuccess = false;
    answer.mError = "closed";
  }
  mRecord.Write("client: " + QString::fromStdString(answer.mId) + " gets " +
                (answer.mIsSuccess
                   ? "success " + QString::fromUtf8(answer.mRow)
                   : "error " + QString::fromUtf8(answer.mError)));
  return answer;
}

Client::Answer
Client::Query(const QByteArray& aText, double aTimeoutMs)
{
  Send(aText);
  std::optional<Answer> answer;
  if (!Await([&] { return (answer = TakeAnswer()).has_value(); }, aTimeoutMs)) {
    answer = mPending;
    answer->mAt = NowMs();
    answer->mError = "no answer";
    mRecord.Write("client: " + QString::fromStdString(answer->mId) +
                  " gets no answer");
  }
  return *answer;
}

}
