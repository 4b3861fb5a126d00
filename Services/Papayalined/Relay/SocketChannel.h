#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibRelay/Protocols.h"
#include "LibRelay/UpstreamChannel.h"

#include <QTcpSocket>

namespace papayaline {

/// A channel to a database over TCP. Thread safety: the thread of its event
/// loop.
class SocketChannel : public UpstreamChannel
{
public:
  SocketChannel(const Address& aAddress,
                const std::string& aGroup,
                const std::string& aUpstream,
                std::unique_ptr<UpstreamProtocol> aProtocol,
                ChannelEvents aEvents);
  ~SocketChannel() override;

  void Send(const UpstreamCommand& aCommand) override;

private:
  /// Outlives the channel while an event is being delivered.
  struct Core;

  std::shared_ptr<Core> mCore;
};

}
