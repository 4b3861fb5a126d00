#pragma once

#include <QElapsedTimer>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <deque>
#include <list>

namespace papayaline {

enum class FaultMode
{
  None,
  /// Resets connections and refuses new ones.
  Cut,
  /// Discards bytes without a reset.
  Drop,
  /// Keeps bytes until the fault ends.
  Freeze,
  /// Delays bytes by mValue milliseconds.
  Delay,
  /// Resets each connection after mValue bytes.
  CutAfter,
};

struct Fault
{
  FaultMode mMode = FaultMode::None;
  qint64 mValue = 0;
};

/// One direction of one proxied connection.
class FaultPipe
{
public:
  FaultPipe(QTcpSocket* aFrom, QTcpSocket* aTo)
    : mFrom(aFrom)
    , mTo(aTo)
  {
  }

  /// Moves what may be moved now; false when the connection must be reset.
  bool Pump(const Fault& aFault, qint64 aNowMs);
  bool HasDropped() const { return mHasDropped; }

private:
  struct Chunk
  {
    qint64 mDueMs;
    QByteArray mBytes;
  };

  QPointer<QTcpSocket> mFrom;
  QPointer<QTcpSocket> mTo;
  std::deque<Chunk> mChunks;
  qint64 mForwarded = 0;
  bool mHasDropped = false;
};

/// A listening port whose connections go to one target through the faults that
/// are set for each direction.
class FaultLink : public QTcpServer
{
public:
  FaultLink(QString aHost, quint16 aPort);

  /// "up" is from the client to the target, "down" the way back.
  void SetFaults(Fault aUp, Fault aDown);

protected:
  void incomingConnection(qintptr aDescriptor) override;

private:
  struct Connection
  {
    QTcpSocket* mClient;
    QTcpSocket* mTarget;
    FaultPipe mUp;
    FaultPipe mDown;
    bool mIsClosing = false;
  };

  void Pump();
  void Reset(Connection& aConnection);
  bool IsCut() const;

  QString mHost;
  quint16 mPort;
  Fault mUp;
  Fault mDown;
  QElapsedTimer mClock;
  QTimer mTimer;
  std::list<Connection> mConnections;
};

}
