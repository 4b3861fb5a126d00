#pragma once

#include "LibPeer/PeerChannel.h"

#include <QTcpSocket>

namespace papayaline {

/// A connection between two instances over TCP. Thread safety: the thread of
/// its event loop.
class PeerSocket : public PeerChannel
{
public:
  /// Starts to connect to the instance at "host:port". An invalid address is
  /// reported by mOnClosed.
  static std::unique_ptr<PeerSocket> Connect(const std::string& aAddress,
                                             PeerChannelEvents aEvents);
  /// Takes ownership of a connection that another instance opened.
  PeerSocket(QTcpSocket* aSocket, PeerChannelEvents aEvents);
  ~PeerSocket() override;

  void Send(const PeerMessage& aMessage) override;

private:
  /// Shared with the socket's handlers, which hold it weakly.
  struct Core;

  std::shared_ptr<Core> mCore;
};

}
