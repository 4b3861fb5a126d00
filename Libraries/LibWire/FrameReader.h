#pragma once

#include "LibCore/Result.h"

#include <QByteArray>
#include <optional>

namespace papayaline {

/// One frontend message of the PostgreSQL v3 protocol. A start-up packet, which
/// has no type byte on the wire, gets the type 0.
struct Frame
{
  char mType = 0;
  QByteArray mBody;

  bool operator==(const Frame&) const = default;
};

/// Splits a byte stream into frontend messages. Rejects a message over the
/// maximum size given at construction before its body arrives, which bounds the
/// memory that a message takes. Thread safety: one thread.
class FrameReader
{
public:
  static constexpr qsizetype kMaxStartupBytes = 10 * 1024;

  explicit FrameReader(qsizetype aMaxFrameBytes)
    : mMaxFrameBytes(aMaxFrameBytes)
  {
  }

  void Append(const QByteArray& aBytes) { mBuffer.append(aBytes); }

  /// Returns the next complete message, or nothing when more bytes are needed.
  /// Errors: ProtocolViolation for a length smaller than the length field,
  /// MessageTooLarge for a length over the limit (reported before the body is
  /// received).
  Result<std::optional<Frame>> Next();

  /// Expects another start-up packet as the next message, such as after an
  /// SSLRequest.
  void ExpectStartup() { mExpectStartup = true; }

  qsizetype BufferedBytes() const { return mBuffer.size() - mOffset; }

private:
  void DiscardConsumedBytes();

  qsizetype mMaxFrameBytes;
  QByteArray mBuffer;
  qsizetype mOffset = 0;
  bool mExpectStartup = true;
};

}
