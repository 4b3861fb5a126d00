#include "LibWire/FrameReader.h"

#include <QtEndian>

namespace papayaline {

namespace {

constexpr qsizetype kLengthBytes = 4;

}

Result<std::optional<Frame>>
FrameReader::Next()
{
  const qsizetype typeBytes = mExpectStartup ? 0 : 1;
  const auto maximum = mExpectStartup ? kMaxStartupBytes : mMaxFrameBytes;
  const auto available = mBuffer.size() - mOffset;
  if (available < typeBytes + kLengthBytes) {
    return std::optional<Frame>{};
  }
  const char* start = mBuffer.constData() + mOffset;
  const auto length =
    static_cast<qsizetype>(qFromBigEndian<quint32>(start + typeBytes));
  if (length < kLengthBytes) {
    return Error{ ErrorKind::ProtocolViolation, "invalid message length" };
  }
  if (length > maximum) {
    return Error{ ErrorKind::MessageTooLarge,
                  "message of " + std::to_string(length) +
                    " bytes exceeds the limit of " + std::to_string(maximum) };
  }
  if (available < typeBytes + length) {
    return std::optional<Frame>{};
  }
  Frame frame;
  frame.mType = mExpectStartup ? '\0' : start[0];
  frame.mBody =
    QByteArray(start + typeBytes + kLengthBytes, length - kLengthBytes);
  mOffset += typeBytes + length;
  mExpectStartup = false;
  DiscardConsumedBytes();
  return std::optional<Frame>(std::move(frame));
}

void
FrameReader::DiscardConsumedBytes()
{
  constexpr qsizetype kMinDiscardedBytes = 64 * 1024;
  if (mOffset == mBuffer.size()) {
    mBuffer.clear();
    mOffset = 0;
  } else if (mOffset > kMinDiscardedBytes) {
    mBuffer.remove(0, mOffset);
    mOffset = 0;
  }
}

}
