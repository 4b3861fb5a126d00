#include "LibWire/MessageWriter.h"

#include <QtEndian>
#include <algorithm>
#include <utility>

namespace papayaline {

namespace {

template<typename T>
void
AppendInteger(QByteArray& aBuf, T aValue)
{
  char bytes[sizeof(T)];
  qToBigEndian<T>(aValue, bytes);
  aBuf.append(bytes, sizeof(T));
}

void
AppendString(QByteArray& aBuf, const QByteArray& aValue)
{
  aBuf.append(aValue);
  aBuf.append('\0');
}

QByteArray
AuthenticationBody(qint32 aCode, const QByteArray& aData = {})
{
  QByteArray buf;
  AppendInteger<qint32>(buf, aCode);
  buf.append(aData);
  return buf;
}

}

void
MessageWriter::Message(char aType, const QByteArray& aBody)
{
  mBuffer.append(aType);
  AppendInteger<qint32>(mBuffer, static_cast<qint32>(aBody.size()) + 4);
  mBuffer.append(aBody);
}

void
MessageWriter::EmptyMessage(char aType)
{
  Message(aType, {});
}

void
MessageWriter::AuthenticationOk()
{
  Message('R', AuthenticationBody(0));
}

void
MessageWriter::AuthenticationSasl(const QByteArrayList& aMechanisms)
{
  QByteArray buf;
  std::ranges::for_each(aMechanisms,
                        [&](const auto& it) { AppendString(buf, it); });
  buf.append('\0');
  Message('R', AuthenticationBody(10, buf));
}

void
MessageWriter::AuthenticationSaslContinue(const QByteArray& aData)
{
  Message('R', AuthenticationBody(11, aData));
}

void
MessageWriter::AuthenticationSaslFinal(const QByteArray& aData)
{
  Message('R', AuthenticationBody(12, aData));
}

void
MessageWriter::ParameterStatus(const QByteArray& aName,
                               const QByteArray& aValue)
{
  QByteArray buf;
  AppendString(buf, aName);
  AppendString(buf, aValue);
  Message('S', buf);
}

void
MessageWriter::BackendKeyData(quint32 aProcessId, quint32 aSecret)
{
  QByteArray buf;
  AppendInteger(buf, aProcessId);
  AppendInteger(buf, aSecret);
  Message('K', buf);
}

void
MessageWriter::ReadyForQuery(TransactionStatus aStatus)
{
  Message('Z', QByteArray(1, static_cast<char>(aStatus)));
}

void
MessageWriter::RowDescription(std::span<const Column> aColumns)
{
  QByteArray buf;
  AppendInteger(buf, static_cast<qint16>(aColumns.size()));
  for (const auto& it : aColumns) {
    AppendString(buf, it.mName);
    AppendInteger<qint32>(buf, 0);
    AppendInteger<qint16>(buf, 0);
    AppendInteger(buf, it.mTypeOid);
    AppendInteger(buf, it.mTypeLength);
    AppendInteger(buf, it.mTypeModifier);
    AppendInteger(buf, it.mFormat);
  }
  Message('T', buf);
}

void
MessageWriter::DataRow(const Row& aRow)
{
  QByteArray buf;
  AppendInteger(buf, static_cast<qint16>(aRow.size()));
  for (const auto& it : aRow) {
    AppendInteger<qint32>(buf, it ? static_cast<qint32>(it->size()) : -1);
    buf.append(it.value_or(QByteArray()));
  }
  Message('D', buf);
}

void
MessageWriter::CommandComplete(const QByteArray& aTag)
{
  QByteArray buf;
  AppendString(buf, aTag);
  Message('C', buf);
}

void
MessageWriter::ErrorResponse(const QByteArray& aSqlState,
                             const QByteArray& aMessage)
{
  ErrorResponseWithSeverity("ERROR", aSqlState, aMessage);
}

void
MessageWriter::FatalResponse(const QByteArray& aSqlState,
                             const QByteArray& aMessage)
{
  ErrorResponseWithSeverity("FATAL", aSqlState, aMessage);
}

void
MessageWriter::ErrorResponseWithSeverity(const QByteArray& aSeverity,
                                         const QByteArray& aSqlState,
                                         const QByteArray& aMessage)
{
  QByteArray buf;
  AppendString(buf, "S" + aSeverity);
  AppendString(buf, "V" + aSeverity);
  AppendString(buf, "C" + aSqlState);
  AppendString(buf, "M" + aMessage);
  buf.append('\0');
  Message('E', buf);
}

QByteArray
MessageWriter::Take()
{
  return std::exchange(mBuffer, {});
}

}
