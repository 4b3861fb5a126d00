#pragma once

#include "LibCore/Result.h"
#include "LibPeer/PeerServer.h"
#include "PeerSocket.h"

#include <QTcpServer>
#include <list>

namespace papayaline {

/// Accepts connections of other instances. Thread safety: the thread of its
/// event loop.
class PeerPort : public QObject
{
public:
  /// Whether an instance lives at a host.
  using Admission = std::function<bool(const std::string& aHost)>;

  PeerPort(PeerServer& aServer, Admission aAdmit);
  ~PeerPort() override;

  /// Errors: Unreachable when the address can't be listened on.
  Result<Done> Listen(const Address& aAddress);
  /// Takes the connections that wait for their instance to be listed.
  void AdmitWaiting();

private:
  struct Connection
  {
    std::unique_ptr<PeerSocket> mSocket;
    std::shared_ptr<PeerServer::Session> mSession;
    std::string mHost;
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  void Receive(QTcpSocket* aSocket);
  void Refuse(QTcpSocket* aSocket);
  void Accept(QTcpSocket* aSocket);
  void Handle(const ConnectionPointer& aConnection,
              const PeerMessage& aMessage);
  void Remove(const ConnectionPointer& aConnection, const Error& aError);

  PeerServer& mServer;
  Admission mAdmit;
  QTcpServer mListener;
  std::list<ConnectionPointer> mConnections;
  /// Connections from hosts at which no instance is known yet.
  std::vector<QTcpSocket*> mWaiting;
};

}
