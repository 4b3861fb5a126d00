#pragma once

#include "LibDecision/GroupView.h"
#include "LibRelay/Statement.h"
#include "LibRelay/UpstreamChannel.h"

#include "LibCore/Result.h"

#include <memory>
#include <variant>

namespace papayaline {

/// A caller opens a session on a database name.
struct SessionStartup
{
  std::string mDatabase;
  /// What the caller identifies itself with; secret.
  std::string mKey;

  bool operator==(const SessionStartup&) const = default;
};
struct SessionEnd
{
  bool operator==(const SessionEnd&) const = default;
};
/// Input that is no valid statement. A fatal error ends the session; any other
/// one is the response to one request.
struct InputError
{
  Error mError;
  bool mIsFatal = false;

  bool operator==(const InputError&) const = default;
};
using CallerMessage =
  std::variant<SessionStartup, CallerStatement, SessionEnd, InputError>;

/// Decodes and encodes the bytes of one caller connection.
/// Thread safety: one thread.
class CallerProtocol
{
public:
  virtual ~CallerProtocol() = default;

  virtual void Append(const char* aBytes, size_t aSize) = 0;
  /// The next complete message, or nothing until more bytes are appended.
  virtual std::optional<CallerMessage> Next() = 0;
  virtual bool HasPartialMessage() const = 0;

  virtual std::string EncodeWelcome() const = 0;
  virtual std::string EncodeAnswer(const StatementAnswer& aAnswer) const = 0;
  /// Encodes an error after which the connection is closed.
  virtual std::string EncodeFatalError(const Error& aError) const = 0;
};

/// Decodes and encodes the bytes of one connection to a database.
/// Thread safety: one thread.
class UpstreamProtocol
{
public:
  virtual ~UpstreamProtocol() = default;

  /// Encodes the opening, which names the group, the expected database and the
  /// client account.
  virtual std::string EncodeStartup(const ChannelTarget& aTarget) const = 0;
  virtual std::string EncodeCommand(const UpstreamCommand& aCommand) const = 0;

  virtual void Append(const char* aBytes, size_t aSize) = 0;
  /// The next complete answer, if any; the first one answers the opening.
  /// Errors: ProtocolViolation when the bytes can't be decoded.
  virtual Result<std::optional<StatementAnswer>> Next() = 0;

  /// Decodes the answer to a status, fence, resume or step-down command.
  virtual Result<ReplicationStatus> DecodeStatus(
    const StatementAnswer& aAnswer) const = 0;
};

using CallerProtocolFactory = std::unique_ptr<CallerProtocol> (*)();
using UpstreamProtocolFactory = std::unique_ptr<UpstreamProtocol> (*)();

}
