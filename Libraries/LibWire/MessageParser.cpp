#include "LibWire/MessageParser.h"

#include <QStringDecoder>
#include <QtEndian>

namespace papayaline {

namespace {

/// Reads the fields of a message body in order. A read past the end returns an
/// empty value and sets HasOverrun().
class BodyReader
{
public:
  explicit BodyReader(const QByteArray& aBody)
    : mBody(aBody)
  {
  }

  template<typename T>
  T ReadInteger()
  {
    if (mBody.size() - mOffset < static_cast<qsizetype>(sizeof(T))) {
      mOverrun = true;
      return 0;
    }
    const auto value = qFromBigEndian<T>(mBody.constData() + mOffset);
    mOffset += sizeof(T);
    return value;
  }

  QByteArray ReadString()
  {
    const auto end = mBody.indexOf('\0', mOffset);
    if (end < 0) {
      mOverrun = true;
      return {};
    }
    auto value = mBody.mid(mOffset, end - mOffset);
    mOffset = end + 1;
    return value;
  }

  QByteArray ReadBytes(qsizetype aSize)
  {
    if (aSize < 0 || mBody.size() - mOffset < aSize) {
      mOverrun = true;
      return {};
    }
    auto value = mBody.mid(mOffset, aSize);
    mOffset += aSize;
    return value;
  }

  template<typename T>
  std::vector<T> ReadIntegerList()
  {
    std::vector<T> values;
    const auto n = ReadInteger<qint16>();
    for (int it = 0; it < n && !mOverrun; ++it) {
      values.push_back(ReadInteger<T>());
    }
    return values;
  }

  bool IsAtEnd() const { return mOffset == mBody.size(); }
  bool HasOverrun() const { return mOverrun; }
  bool IsFullyRead() const { return !mOverrun && IsAtEnd(); }

private:
  const QByteArray& mBody;
  qsizetype mOffset = 0;
  bool mOverrun = false;
};

Error
MalformedMessage(std::string_view aMessage)
{
  return { ErrorKind::ProtocolViolation,
           "malformed " + std::string(aMessage) + " message" };
}

bool
IsUtf8(const QByteArray& aText)
{
  QStringDecoder decoder(QStringDecoder::Utf8);
  const QString decoded = decoder(aText);
  return !decoder.hasError();
}

}

Result<StartupMessage>
ParseStartup(const QByteArray& aBody)
{
  BodyReader reader(aBody);
  StartupMessage message;
  message.mCode = reader.ReadInteger<quint32>();
  if (message.mCode == StartupMessage::kCancelRequest) {
    message.mProcessId = reader.ReadInteger<quint32>();
    message.mSecret = reader.ReadInteger<quint32>();
  } else if (message.mCode == StartupMessage::kProtocolVersion3) {
    while (!reader.HasOverrun()) {
      const auto name = reader.ReadString();
      if (name.isEmpty()) {
        break;
      }
      message.mParameters[name] = reader.ReadString();
    }
  }
  if (!reader.IsFullyRead()) {
    return MalformedMessage("start-up");
  }
  return message;
}

Result<ParseMessage>
ParseParse(const QByteArray& aBody)
{
  BodyReader reader(aBody);
  ParseMessage message;
  message.mName = reader.ReadString();
  message.mSql = reader.ReadString();
  message.mParameterTypes = reader.ReadIntegerList<quint32>();
  if (!reader.IsFullyRead()) {
    return MalformedMessage("Parse");
  }
  if (!IsUtf8(message.mSql)) {
    return Error{ ErrorKind::BadInput, "statement is not valid UTF-8" };
  }
  return message;
}

Result<BindMessage>
ParseBind(const QByteArray& aBody)
{
  BodyReader reader(aBody);
  BindMessage message;
  message.mPortal = reader.ReadString();
  message.mStatement = reader.ReadString();
  message.mParameterFormats = reader.ReadIntegerList<qint16>();
  const auto n = reader.ReadInteger<qint16>();
  for (int it = 0; it < n && !reader.HasOverrun(); ++it) {
    const auto length = reader.ReadInteger<qint32>();
    if (length < 0) {
      message.mValues.emplace_back(std::nullopt);
    } else {
      message.mValues.emplace_back(reader.ReadBytes(length));
    }
  }
  message.mResultFormats = reader.ReadIntegerList<qint16>();
  if (!reader.IsFullyRead()) {
    return MalformedMessage("Bind");
  }
  return message;
}

Result<DescribeOrCloseMessage>
ParseDescribeOrClose(const QByteArray& aBody)
{
  BodyReader reader(aBody);
  DescribeOrCloseMessage message;
  message.mKind = reader.ReadInteger<char>();
  message.mName = reader.ReadString();
  if (!reader.IsFullyRead()) {
    return MalformedMessage("Describe or Close");
  }
  return message;
}

Result<ExecuteMessage>
ParseExecute(const QByteArray& aBody)
{
  BodyReader reader(aBody);
  ExecuteMessage message;
  message.mPortal = reader.ReadString();
  message.mMaxRows = reader.ReadInteger<qint32>();
  if (!reader.IsFullyRead()) {
    return MalformedMessage("Execute");
  }
  return message;
}

Result<QByteArray>
ParseQuery(const QByteArray& aBody)
{
  BodyReader reader(aBody);
  auto sql = reader.ReadString();
  if (!reader.IsFullyRead()) {
    return MalformedMessage("Query");
  }
  if (!IsUtf8(sql)) {
    return Error{ ErrorKind::BadInput, "statement is not valid UTF-8" };
  }
  return sql;
}

}
