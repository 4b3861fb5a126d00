#pragma once

#include "LibPeer/PeerMessages.h"

#include <functional>
#include <memory>

namespace papayaline {

/// What a channel reports to its owner.
struct PeerChannelEvents
{
  std::function<void()> mOnOpened;
  std::function<void(const PeerMessage&)> mOnMessage;
  /// The channel can't be used any more; called once.
  std::function<void(const Error&)> mOnClosed;
};

/// One connection to another instance. Destroying it closes the connection. No
/// event is delivered after that. Thread safety: one thread.
class PeerChannel
{
public:
  virtual ~PeerChannel() = default;

  /// Precondition: the channel has been opened.
  virtual void Send(const PeerMessage& aMessage) = 0;
};

/// Opens a channel to an instance at "host:port". Events never arrive before
/// the call has returned.
using PeerOpener =
  std::function<std::unique_ptr<PeerChannel>(const std::string& aAddress,
                                             PeerChannelEvents aEvents)>;

}
