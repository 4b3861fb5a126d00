#pragma once

#include "LibRelay/RelaySession.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <set>

namespace papayaline {

class RelayCallerListener;

/// The server side of one caller's connection. Thread safety: the thread of its
/// event loop.
class CallerConnection : public QObject
{
public:
  /// Takes ownership of aSocket. The object deletes itself when the connection
  /// ends.
  CallerConnection(RelayCallerListener& aListener, QTcpSocket* aSocket);
  ~CallerConnection() override;

  /// Closes the connection unless a statement, a transaction, unread input or
  /// unsent output is pending, or the caller got an answer a moment ago.
  void CloseIfIdle(Instant aNow);
  /// Answers the statement in progress, if any, and closes the connection.
  /// Returns whether there was one.
  bool End();
  /// Rolls back a transaction that is waiting for its caller's next statement.
  void RollBackTransaction();
  /// Expires an idle transaction, and a connection that opens no session.
  void Tick(Instant aNow);

private:
  void ReadInput();
  void HandleMessages();
  void HandleMessage(const CallerMessage& aMessage);
  void OpenSession(const SessionStartup& aStartup);
  void Respond(const StatementAnswer& aAnswer);
  void CloseWithError(const Error& aError);
  void Write(const std::string& aBytes);
  void Close();

  RelayCallerListener& mListener;
  QTcpSocket* mSocket;
  std::unique_ptr<CallerProtocol> mProtocol;
  std::shared_ptr<RelaySession> mSession;
  Instant mAcceptedAt;
  /// When the last bytes were written, or when the connection was accepted.
  Instant mLastActiveAt;
  bool mIsHandling = false;
  bool mIsClosing = false;
};

/// Accepts the connections of callers and owns them. Thread safety: the thread
/// of its event loop.
class RelayCallerListener : public QObject
{
public:
  RelayCallerListener(RelayRouter& aRouter, CallerProtocolFactory aProtocol);
  ~RelayCallerListener() override;

  /// Errors: Unreachable when the address can't be listened on.
  Result<Done> Listen(const Address& aAddress);
  void StopListening() { mServer.close(); }

  /// Closes the idle connections.
  void CloseIdle();
  /// Answers all statements in progress and closes all connections. Returns the
  /// number of those statements.
  size_t End();
  /// Rolls back the transactions that are waiting for their callers.
  void RollBackTransactions();
  void Tick(Instant aNow);
  size_t ConnectionCount() const { return mConnections.size(); }
  /// The number of connections that were refused for lack of descriptors.
  uint64_t RefusedCount() const { return mRefusedCount; }

private:
  friend class CallerConnection;

  void Accept(QTcpSocket* aSocket);
  /// Closes a connection at once, so that its caller tries another instance.
  void Refuse(QTcpSocket* aSocket);

  RelayRouter& mRouter;
  CallerProtocolFactory mProtocol;
  QTcpServer mServer;
  std::set<CallerConnection*> mConnections;
  uint64_t mRefusedCount = 0;
  Instant mNextRefusalLogAt;
};

}
