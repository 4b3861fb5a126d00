#pragma once

#include "LibRelay/RelaySession.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <set>

namespace papayaline {

class CallerPort;

/// One caller's connection. Thread safety: the thread of its event loop.
class CallerConnection : public QObject
{
public:
  /// Takes the socket over. Deletes itself when the connection ends.
  CallerConnection(CallerPort& aPort, QTcpSocket* aSocket);
  ~CallerConnection() override;

  /// Closes the connection when nothing of the caller is under way.
  bool CloseIfIdle();
  void AbortTransaction();
  void Tick(Instant aNow);

private:
  void ReadInput();
  void HandleNext();
  void Handle(const CallerMessage& aMessage);
  void Open(const SessionOpening& aOpening);
  void Respond(const StatementAnswer& aAnswer);
  void Fatal(const Error& aError);
  void Write(const std::string& aBytes);
  void Close();

  CallerPort& mPort;
  QTcpSocket* mSocket;
  std::unique_ptr<CallerProtocol> mProtocol;
  std::shared_ptr<RelaySession> mSession;
  Instant mAcceptedAt;
  bool mIsHandling = false;
  bool mIsClosing = false;
};

/// Accepts callers. Thread safety: the thread of its event loop.
class CallerPort : public QObject
{
public:
  CallerPort(RelayRouter& aRouter, CallerProtocolFactory aProtocol);
  ~CallerPort() override;

  /// Errors: Unreachable when the address can't be listened on.
  Result<Done> Listen(const Address& aAddress);
  void StopListening() { mServer.close(); }

  /// Ends what waits for its callers and lets idle callers go; returns how many
  /// connections are left.
  size_t ReleaseIdle();
  void AbortTransactions();
  void Tick(Instant aNow);
  size_t Count() const { return mConnections.size(); }

private:
  friend class CallerConnection;

  RelayRouter& mRouter;
  CallerProtocolFactory mProtocol;
  QTcpServer mServer;
  std::set<CallerConnection*> mConnections;
};

}
