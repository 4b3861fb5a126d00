#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibRelay/Protocols.h"
#include "LibRelay/UpstreamChannel.h"

#include <QTcpSocket>

namespace papayaline {

/// A TCP connection to a database. Thread safety: the thread of its event loop.
class UpstreamSocket : public UpstreamChannel
{
public:
  UpstreamSocket(const Address& aAddress,
                 const ChannelTarget& aTarget,
                 std::unique_ptr<UpstreamProtocol> aProtocol,
                 ChannelEvents aEvents);
  ~UpstreamSocket() override;

  void Send(const UpstreamCommand& aCommand) override;

private:
  /// Shared with the socket's handlers, so that it outlives the channel while
  /// an event is being delivered.
  struct Core;

  std::shared_ptr<Core> mCore;
};

}
