#pragma once

#include "LibRelay/Statement.h"

#include <functional>
#include <memory>

namespace papayaline {

/// Callbacks from a channel to its owner.
struct ChannelEvents
{
  /// Called for each answer in order; the first one answers the opening.
  std::function<void(const StatementAnswer&)> mOnAnswer;
  /// Called once, when the channel has failed or the database closed it.
  std::function<void(const Error&)> mOnClosed;
};

/// A transport connection to a database. Destroying the channel closes the
/// connection, and the database rolls back its open transaction. No event is
/// delivered after destruction. Thread safety: one thread.
class UpstreamChannel
{
public:
  virtual ~UpstreamChannel() = default;

  /// Precondition: the opening was answered without an error.
  virtual void Send(const UpstreamCommand& aCommand) = 0;
};

/// What a channel is opened to. A database connection belongs to one client
/// account until it is closed.
struct ChannelTarget
{
  std::string mGroup;
  std::string mUpstream;
  /// Empty for statements of no account and for control commands.
  std::string mAccount;

  bool operator==(const ChannelTarget&) const = default;
};

/// Opens a channel to a database of a group. No event is delivered before the
/// call returns.
using ChannelOpener =
  std::function<std::unique_ptr<UpstreamChannel>(const ChannelTarget& aTarget,
                                                 ChannelEvents aEvents)>;

}
