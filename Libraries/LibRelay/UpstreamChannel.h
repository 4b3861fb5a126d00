#pragma once

#include "LibRelay/Statement.h"

#include <functional>
#include <memory>

namespace papayaline {

/// What a channel reports to its owner.
struct ChannelEvents
{
  /// The first answer is that to the opening.
  std::function<void(const StatementAnswer&)> mOnAnswer;
  /// The channel can't be used any more; called once.
  std::function<void(const Error&)> mOnClosed;
};

/// One connection to a database. Destroying it closes the connection, upon
/// which the database rolls back. No event is delivered after that.
/// Thread safety: one thread.
class UpstreamChannel
{
public:
  virtual ~UpstreamChannel() = default;

  /// Precondition: the opening has been answered without an error.
  virtual void Send(const UpstreamCommand& aCommand) = 0;
};

/// Opens a channel to a database of a group. Events never arrive before the
/// call has returned.
using ChannelOpener =
  std::function<std::unique_ptr<UpstreamChannel>(const std::string& aGroup,
                                                 const std::string& aUpstream,
                                                 ChannelEvents aEvents)>;

}
