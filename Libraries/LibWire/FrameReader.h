#pragma once

#include "LibCore/Result.h"

#include <QByteArray>
#include <optional>

namespace papayaline {

/// One frontend message of the PostgreSQL v3 protocol. Start-up packets carry
/// the type 0.
struct Frame
{
  char mType = 0;
  QByteArray mBody;

  bool operator==(const Frame&) const = default;
};

/// Cuts a byte stream into frontend messages. Memory is bounded by the maximum
/// frame size given at construction. Thread safety: one thread.
class FrameReader
{
public:
  static constexpr qsizetype kMaxStartupBytes = 10 * 1024;

  explicit FrameReader(qsizetype aMaxFrameBytes)
    : mMaxFrameBytes(aMaxFrameBytes)
  {
  }

  void Append(const QByteArray& aBytes) { mBuffer.append(aBytes); }

  /// The next whole message, or nothing when more bytes are needed.
  /// Errors: ProtocolViolation for an impossible length, MessageTooLarge for a
  /// length over the limit (reported before the body is read).
  Result<std::optional<Frame>> Next();

  /// Makes the next message a start-up packet again (after an SSLRequest).
  void ExpectStartup() { mExpectStartup = true; }

  qsizetype BufferedBytes() const { return mBuffer.size() - mOffset; }

private:
  void Compact();

  qsizetype mMaxFrameBytes;
  QByteArray mBuffer;
  qsizetype mOffset = 0;
  bool mExpectStartup = true;
};

}
