#pragma once

#include "LibPeer/PeerMessages.h"

#include <functional>
#include <memory>

namespace papayaline {

/// The events that a channel reports to its owner.
struct PeerChannelEvents
{
  std::function<void()> mOnOpened;
  std::function<void(const PeerMessage&)> mOnMessage;
  /// The channel has failed or was closed by the peer. Called once.
  std::function<void(const Error&)> mOnClosed;
};

/// A connection to another instance. The destructor closes the connection, and
/// no event is delivered afterwards. Thread safety: one thread.
class PeerChannel
{
public:
  virtual ~PeerChannel() = default;

  /// Precondition: the channel has been opened.
  virtual void Send(const PeerMessage& aMessage) = 0;
};

/// Opens a channel to an instance at "host:port". Events are delivered only
/// after the call has returned.
using PeerOpener =
  std::function<std::unique_ptr<PeerChannel>(const std::string& aAddress,
                                             PeerChannelEvents aEvents)>;

}
