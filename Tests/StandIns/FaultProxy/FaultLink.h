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
  /// Resets existing connections, and new ones as they arrive.
  Cut,
  /// Discards bytes and leaves the connection open.
  Drop,
  /// Withholds bytes until the fault ends.
  Freeze,
  /// Delays bytes by mValue milliseconds.
  Delay,
  /// Resets each connection after it has forwarded mValue bytes.
  CutAfter,
};

struct Fault
{
  FaultMode mMode = FaultMode::None;
  qint64 mValue = 0;
};

/// Forwards the bytes of one direction of a proxied connection.
class FaultPipe
{
public:
  FaultPipe(QTcpSocket* aFrom, QTcpSocket* aTo)
    : mFrom(aFrom)
    , mTo(aTo)
  {
  }

  /// Forwards the bytes that aFault lets through at aNowMs. Returns false if
  /// the connection must be reset.
  bool Forward(const Fault& aFault, qint64 aNowMs);
  bool HasDroppedBytes() const { return mHasDroppedBytes; }

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
  bool mHasDroppedBytes = false;
};

/// A listening port that forwards its connections to one target and injects the
/// faults that are set for each direction.
class FaultLink : public QTcpServer
{
public:
  FaultLink(QString aHost, quint16 aPort);

  /// Sets the faults of the directions from the client to the target (aUp) and
  /// from the target to the client (aDown).
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
    bool mIsReset = false;
  };

  void ForwardAll();
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
