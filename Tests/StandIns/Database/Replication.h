#pragma once

#include "LibReplica/ReplicaState.h"

#include <QElapsedTimer>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <deque>

namespace papayaline {

class DatabaseServer;

/// The primary's side of a replication stream. Exchanges JSON lines over a
/// connection whose startup message has the "replication" parameter.
class ReplicationSender : public QObject
{
public:
  ReplicationSender(DatabaseServer& aServer, QTcpSocket* aSocket);
  ~ReplicationSender() override;

  void SendNewEntries();
  void Close();

private:
  void OnReadyRead();
  void SendLine(const QJsonObject& aLine);

  DatabaseServer& mServer;
  QPointer<QTcpSocket> mSocket;
  QTimer mHeartbeat;
  uint64_t mTerm = 0;
  size_t mNextEntry = 0;
  bool mIsStarted = false;
};

/// A replica's side of a replication stream. Connects to the primary, truncates
/// the log where it diverges from the primary's, and applies entries after the
/// configured replication lag.
class ReplicationReceiver : public QObject
{
public:
  explicit ReplicationReceiver(DatabaseServer& aServer);

  void Follow(const QByteArray& aHost, quint16 aPort);
  void Stop();

private:
  struct PendingEntry
  {
    qint64 mDueMs;
    LogEntry mEntry;
  };

  void Connect();
  void OnConnected();
  void OnReadyRead();
  void HandleLine(const QJsonObject& aLine);
  void ApplyDue();
  void Poll();

  DatabaseServer& mServer;
  QByteArray mHost;
  quint16 mPort = 0;
  QTcpSocket mSocket;
  QTimer mTimer;
  QElapsedTimer mClock;
  qint64 mLastReceivedMs = 0;
  std::deque<PendingEntry> mPendingEntries;
};

}
