#pragma once

#include "LibDecision/GroupView.h"
#include "LibRelay/Statement.h"

#include "LibCore/Result.h"

#include <memory>
#include <variant>

namespace papayaline {

/// The caller opens a session on a database name.
struct SessionOpening
{
  std::string mDatabase;
  std::string mCaller;

  bool operator==(const SessionOpening&) const = default;
};
struct SessionEnd
{
  bool operator==(const SessionEnd&) const = default;
};
/// Input that can't be answered as a statement. It ends the session when
/// mIsFatal; otherwise the error answers one request.
struct InputError
{
  Error mError;
  bool mIsFatal = false;

  bool operator==(const InputError&) const = default;
};
using CallerMessage =
  std::variant<SessionOpening, CallerStatement, SessionEnd, InputError>;

/// The bytes of one caller's connection. Thread safety: one thread.
class CallerProtocol
{
public:
  virtual ~CallerProtocol() = default;

  virtual void Append(const char* aBytes, size_t aSize) = 0;
  /// The next whole message, or nothing until more bytes come.
  virtual std::optional<CallerMessage> Next() = 0;
  virtual bool HasPartialMessage() const = 0;

  virtual std::string EncodeWelcome() const = 0;
  virtual std::string EncodeAnswer(const StatementAnswer& aAnswer) const = 0;
  /// An error after which the connection is closed.
  virtual std::string EncodeFatal(const Error& aError) const = 0;
};

/// The bytes of one connection to a database. Thread safety: one thread.
class UpstreamProtocol
{
public:
  virtual ~UpstreamProtocol() = default;

  /// Names the group and the database that is expected.
  virtual std::string EncodeOpening(const std::string& aGroup,
                                    const std::string& aUpstream) const = 0;
  virtual std::string EncodeCommand(const UpstreamCommand& aCommand) const = 0;

  virtual void Append(const char* aBytes, size_t aSize) = 0;
  /// The next whole answer; the first one answers the opening. Errors:
  /// ProtocolViolation when the bytes can't be read.
  virtual Result<std::optional<StatementAnswer>> Next() = 0;

  /// Reads the answer to a status, fence, resume or step-down command.
  virtual Result<ReplicationStatus> StatusOf(
    const StatementAnswer& aAnswer) const = 0;
};

using CallerProtocolFactory = std::unique_ptr<CallerProtocol> (*)();
using UpstreamProtocolFactory = std::unique_ptr<UpstreamProtocol> (*)();

}
