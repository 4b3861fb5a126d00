#pragma once

#include "LibReplica/ReplicaState.h"

#include <QElapsedTimer>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <deque>

namespace papayaline {

class DatabaseServer;

/// The primary's end of a replication stream: JSON lines over a connection
/// whose start-up packet asked for replication.
class ReplicationSender : public QObject
{
public:
  ReplicationSender(DatabaseServer& aServer, QTcpSocket* aSocket);
  ~ReplicationSender() override;

  void SendNew();
  void Close();

private:
  void OnReadyRead();
  void SendLine(const QJsonObject& aLine);

  DatabaseServer& mServer;
  QPointer<QTcpSocket> mSocket;
  QTimer mHeartbeat;
  uint64_t mTerm = 0;
  size_t mSent = 0;
  bool mIsStarted = false;
};

/// A replica's end: connects to the primary, cuts a divergent tail, and
/// applies entries after the replication lag.
class ReplicationReceiver : public QObject
{
public:
  explicit ReplicationReceiver(DatabaseServer& aServer);

  void Follow(const QByteArray& aHost, quint16 aPort);
  void Stop();

private:
  struct Pending
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
  qint64 mHeardMs = 0;
  std::deque<Pending> mPending;
};

}
