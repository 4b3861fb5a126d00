#include "Replication.h"

#include "DatabaseServer.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QtEndian>

namespace papayaline {

namespace {

constexpr int kHeartbeatMs = 200;
constexpr int kStreamTimeoutMs = 1000;
constexpr int kPollMs = 5;
constexpr size_t kMaxBatch = 1000;

/// Encodes the terms of the log entries as [term, count] runs, which is all
/// that the primary needs to find the common prefix.
QJsonArray
EncodeTermRuns(const std::vector<LogEntry>& aLog)
{
  QJsonArray runs;
  for (auto it = aLog.begin(); it != aLog.end();) {
    const auto end = std::find_if(it, aLog.end(), [&](const auto& aEntry) {
      return aEntry.mTerm != it->mTerm;
    });
    runs.append(QJsonArray{ static_cast<qint64>(it->mTerm),
                            static_cast<qint64>(end - it) });
    it = end;
  }
  return runs;
}

/// Returns entries that have a term but no statements.
std::vector<LogEntry>
DecodeTermRuns(const QJsonArray& aRuns)
{
  std::vector<LogEntry> log;
  for (const auto& it : aRuns) {
    const auto run = it.toArray();
    LogEntry entry;
    entry.mTerm = static_cast<uint64_t>(run[0].toInteger());
    log.insert(log.end(), static_cast<size_t>(run[1].toInteger()), entry);
  }
  return log;
}

}

ReplicationSender::ReplicationSender(DatabaseServer& aServer,
                                     QTcpSocket* aSocket)
  : QObject(aSocket)
  , mServer(aServer)
  , mSocket(aSocket)
{
  connect(aSocket, &QTcpSocket::readyRead, this, [this] { OnReadyRead(); });
  connect(&mHeartbeat, &QTimer::timeout, this, [this] {
    SendLine({ { "heartbeat", true } });
  });
  QMetaObject::invokeMethod(
    this, [this] { OnReadyRead(); }, Qt::QueuedConnection);
}

ReplicationSender::~ReplicationSender()
{
  mServer.RemoveStream(this);
}

void
ReplicationSender::SendLine(const QJsonObject& aLine)
{
  if (mSocket) {
    mSocket->write(QJsonDocument(aLine).toJson(QJsonDocument::Compact) + "\n");
  }
}

void
ReplicationSender::OnReadyRead()
{
  if (!mSocket || !mSocket->canReadLine()) {
    return;
  }
  const auto hello = QJsonDocument::fromJson(mSocket->readLine()).object();
  mTerm = static_cast<uint64_t>(hello["term"].toInteger());
  if (!mServer.State().IsPrimary() || mServer.State().Term() != mTerm) {
    Close();
    return;
  }
  ReplicaState replica("replica");
  replica.Restore(0, {}, DecodeTermRuns(hello["runs"].toArray()));
  mNextEntry = replica.CommonPrefixLength(mServer.State().Log());
  SendLine({ { "truncate", static_cast<qint64>(mNextEntry) },
             { "term", static_cast<qint64>(mTerm) } });
  mIsStarted = true;
  mServer.AddStream(this);
  mHeartbeat.start(kHeartbeatMs);
  SendNewEntries();
}

void
ReplicationSender::SendNewEntries()
{
  const auto& log = mServer.State().Log();
  for (; mIsStarted && mNextEntry < log.size(); ++mNextEntry) {
    SendLine(EntryToJson(log[mNextEntry]));
  }
}

void
ReplicationSender::Close()
{
  mIsStarted = false;
  mHeartbeat.stop();
  if (mSocket) {
    mSocket->disconnectFromHost();
  }
}

ReplicationReceiver::ReplicationReceiver(DatabaseServer& aServer)
  : mServer(aServer)
{
  mClock.start();
  connect(&mSocket, &QTcpSocket::connected, this, [this] { OnConnected(); });
  connect(&mSocket, &QTcpSocket::readyRead, this, [this] { OnReadyRead(); });
  connect(&mTimer, &QTimer::timeout, this, [this] { Poll(); });
}

void
ReplicationReceiver::Follow(const QByteArray& aHost, quint16 aPort)
{
  if (mTimer.isActive() && mHost == aHost && mPort == aPort) {
    return;
  }
  Stop();
  mHost = aHost;
  mPort = aPort;
  mTimer.start(kPollMs);
  Connect();
}

void
ReplicationReceiver::Stop()
{
  mTimer.stop();
  mPendingEntries.clear();
  mSocket.abort();
}

void
ReplicationReceiver::Connect()
{
  mPendingEntries.clear();
  mLastReceivedMs = mClock.elapsed();
  mSocket.abort();
  mSocket.connectToHost(QString::fromUtf8(mHost), mPort);
}

void
ReplicationReceiver::OnConnected()
{
  QByteArray body(4, '\0');
  qToBigEndian<quint32>(196608, body.data());
  body += QByteArray("replication\0papayaline\0\0", 24);
  QByteArray length(4, '\0');
  qToBigEndian<quint32>(static_cast<quint32>(body.size()) + 4, length.data());
  const QJsonObject hello{ { "term",
                             static_cast<qint64>(mServer.State().Term()) },
                           { "runs", EncodeTermRuns(mServer.State().Log()) } };
  mSocket.write(length + body);
  mSocket.write(QJsonDocument(hello).toJson(QJsonDocument::Compact) + "\n");
}

void
ReplicationReceiver::OnReadyRead()
{
  mLastReceivedMs = mClock.elapsed();
  while (mSocket.canReadLine()) {
    HandleLine(QJsonDocument::fromJson(mSocket.readLine()).object());
  }
  ApplyDue();
}

void
ReplicationReceiver::HandleLine(const QJsonObject& aLine)
{
  if (aLine.contains("truncate")) {
    mServer.TruncateTo(static_cast<size_t>(aLine["truncate"].toInteger()));
  } else if (aLine.contains("sql")) {
    mPendingEntries.push_back(
      { mClock.elapsed() + mServer.Options().mLagMs, EntryFromJson(aLine) });
  }
}

void
ReplicationReceiver::ApplyDue()
{
  std::vector<LogEntry> due;
  while (!mPendingEntries.empty() &&
         mPendingEntries.front().mDueMs <= mClock.elapsed() &&
         due.size() < kMaxBatch) {
    due.push_back(std::move(mPendingEntries.front().mEntry));
    mPendingEntries.pop_front();
  }
  if (!due.empty()) {
    mServer.ApplyReplicated(due);
  }
}

void
ReplicationReceiver::Poll()
{
  ApplyDue();
  const bool isDisconnected =
    mSocket.state() == QAbstractSocket::UnconnectedState;
  const auto idleMs = mClock.elapsed() - mLastReceivedMs;
  if (idleMs > kStreamTimeoutMs || (isDisconnected && idleMs > kPollMs * 10)) {
    Connect();
  }
}

}
