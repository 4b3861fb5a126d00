#pragma once

#include "LibPeer/PeerChannel.h"

#include <QTcpSocket>

namespace papayaline {

/// A connection between two instances over TCP. Thread safety: the thread of
/// its event loop.
class PeerSocket : public PeerChannel
{
public:
  /// Connects to another instance.
  static std::unique_ptr<PeerSocket> Connect(const std::string& aAddress,
                                             PeerChannelEvents aEvents);
  /// Takes over a connection that another instance opened.
  PeerSocket(QTcpSocket* aSocket, PeerChannelEvents aEvents);
  ~PeerSocket() override;

  void Send(const PeerMessage& aMessage) override;

private:
  struct Core;

  std::shared_ptr<Core> mCore;
};

}
