#pragma once

#include "LibCore/Result.h"
#include "LibPeer/PeerServer.h"
#include "PeerSocket.h"

#include <QTcpServer>
#include <list>

namespace papayaline {

/// Accepts connections from the hosts of listed instances. Thread safety: the
/// thread of its event loop.
class PeerListener : public QObject
{
public:
  /// Whether a live instance is listed at a host.
  using HostCheck = std::function<bool(const std::string& aHost)>;

  PeerListener(PeerServer& aServer, HostCheck aIsKnownHost);
  ~PeerListener() override;

  /// Errors: Unreachable when the address can't be listened on.
  Result<Done> Listen(const Address& aAddress);
  /// Accepts the pending connections whose hosts have been listed since.
  void AdmitPending();

private:
  struct Connection
  {
    std::unique_ptr<PeerSocket> mSocket;
    std::shared_ptr<PeerServer::Session> mSession;
    std::string mHost;
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  void HandleIncoming(QTcpSocket* aSocket);
  void Refuse(QTcpSocket* aSocket);
  void Accept(QTcpSocket* aSocket);
  void Handle(const ConnectionPointer& aConnection,
              const PeerMessage& aMessage);
  void Remove(const ConnectionPointer& aConnection, const Error& aError);

  PeerServer& mServer;
  HostCheck mIsKnownHost;
  QTcpServer mTcpServer;
  std::list<ConnectionPointer> mConnections;
  /// Connections from hosts that are not listed, refused after a timeout.
  std::vector<QTcpSocket*> mPendingSockets;
};

}
