#include "LibWire/MessageParser.h"

#include <QStringDecoder>
#include <QtEndian>

namespace papayaline {

namespace {

/// Reads fields off a message body; remembers the first overrun.
class BodyReader
{
public:
  explicit BodyReader(const QByteArray& aBody)
    : mBody(aBody)
  {
  }

  template<typename T>
  T Integer()
  {
    if (mBody.size() - mOffset < static_cast<qsizetype>(sizeof(T))) {
      mOverrun = true;
      return 0;
    }
    const auto value = qFromBigEndian<T>(mBody.constData() + mOffset);
    mOffset += sizeof(T);
    return value;
  }

  QByteArray String()
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

  QByteArray Bytes(qsizetype aSize)
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
  std::vector<T> IntegerList()
  {
    std::vector<T> values;
    const auto n = Integer<qint16>();
    for (int it = 0; it < n && !mOverrun; ++it) {
      values.push_back(Integer<T>());
    }
    return values;
  }

  bool AtEnd() const { return mOffset == mBody.size(); }
  bool HasOverrun() const { return mOverrun; }
  bool IsWhole() const { return !mOverrun && AtEnd(); }

private:
  const QByteArray& mBody;
  qsizetype mOffset = 0;
  bool mOverrun = false;
};

Error
Malformed(std::string_view aMessage)
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
  message.mCode = reader.Integer<quint32>();
  if (message.mCode == StartupMessage::kCancelRequest) {
    message.mProcessId = reader.Integer<quint32>();
    message.mSecret = reader.Integer<quint32>();
  } else if (message.mCode == StartupMessage::kProtocolVersion3) {
    while (!reader.HasOverrun()) {
      const auto name = reader.String();
      if (name.isEmpty()) {
        break;
      }
      message.mParameters[name] = reader.String();
    }
  }
  if (!reader.IsWhole()) {
    return Malformed("start-up");
  }
  return message;
}

Result<ParseMessage>
ParseParse(const QByteArray& aBody)
{
  BodyReader reader(aBody);
  ParseMessage message;
  message.mName = reader.String();
  message.mSql = reader.String();
  message.mParameterTypes = reader.IntegerList<quint32>();
  if (!reader.IsWhole()) {
    return Malformed("Parse");
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
  message.mPortal = reader.String();
  message.mStatement = reader.String();
  message.mParameterFormats = reader.IntegerList<qint16>();
  const auto n = reader.Integer<qint16>();
  for (int it = 0; it < n && !reader.HasOverrun(); ++it) {
    const auto length = reader.Integer<qint32>();
    if (length < 0) {
      message.mValues.emplace_back(std::nullopt);
    } else {
      message.mValues.emplace_back(reader.Bytes(length));
    }
  }
  message.mResultFormats = reader.IntegerList<qint16>();
  if (!reader.IsWhole()) {
    return Malformed("Bind");
  }
  return message;
}

Result<TargetMessage>
ParseTarget(const QByteArray& aBody)
{
  BodyReader reader(aBody);
  TargetMessage message;
  message.mKind = reader.Integer<char>();
  message.mName = reader.String();
  if (!reader.IsWhole()) {
    return Malformed("Describe or Close");
  }
  return message;
}

Result<ExecuteMessage>
ParseExecute(const QByteArray& aBody)
{
  BodyReader reader(aBody);
  ExecuteMessage message;
  message.mPortal = reader.String();
  message.mMaxRows = reader.Integer<qint32>();
  if (!reader.IsWhole()) {
    return Malformed("Execute");
  }
  return message;
}

Result<QByteArray>
ParseQuery(const QByteArray& aBody)
{
  BodyReader reader(aBody);
  auto sql = reader.String();
  if (!reader.IsWhole()) {
    return Malformed("Query");
  }
  if (!IsUtf8(sql)) {
    return Error{ ErrorKind::BadInput, "statement is not valid UTF-8" };
  }
  return sql;
}

}
