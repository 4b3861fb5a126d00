#pragma once

#include <QByteArray>
#include <QByteArrayList>
#include <optional>
#include <span>
#include <vector>

namespace papayaline {

/// The transaction status of a session, as ReadyForQuery reports it.
enum class TransactionStatus : char
{
  Idle = 'I',
  Open = 'T',
  Failed = 'E',
};

/// The description of a result column in a RowDescription message.
struct Column
{
  QByteArray mName;
  quint32 mTypeOid = 25;
  qint16 mTypeLength = -1;
  qint32 mTypeModifier = -1;
  qint16 mFormat = 0;

  bool operator==(const Column&) const = default;
};

/// A value in text or binary format; empty for NULL.
using Cell = std::optional<QByteArray>;
using Row = std::vector<Cell>;

/// Encodes backend messages of the PostgreSQL v3 protocol into one buffer. Each
/// method appends the message of its name.
/// Thread safety: one thread.
class MessageWriter
{
public:
  void AuthenticationOk();
  void AuthenticationSasl(const QByteArrayList& aMechanisms);
  void AuthenticationSaslContinue(const QByteArray& aData);
  void AuthenticationSaslFinal(const QByteArray& aData);
  void ParameterStatus(const QByteArray& aName, const QByteArray& aValue);
  void BackendKeyData(quint32 aProcessId, quint32 aSecret);
  void ReadyForQuery(TransactionStatus aStatus);
  void RowDescription(std::span<const Column> aColumns);
  void DataRow(const Row& aRow);
  void CommandComplete(const QByteArray& aTag);
  void ErrorResponse(const QByteArray& aSqlState, const QByteArray& aMessage);
  void FatalResponse(const QByteArray& aSqlState, const QByteArray& aMessage);
  /// Appends complete messages that are already encoded.
  void AppendEncoded(const QByteArray& aMessages) { mBuffer.append(aMessages); }
  /// Appends a message without a body, such as ParseComplete ('1').
  void EmptyMessage(char aType);
  /// Appends a message with an encoded body.
  void Message(char aType, const QByteArray& aBody);

  bool IsEmpty() const { return mBuffer.isEmpty(); }
  /// Returns the encoded messages and clears the buffer.
  QByteArray Take();

private:
  void ErrorResponseWithSeverity(const QByteArray& aSeverity,
                                 const QByteArray& aSqlState,
                                 const QByteArray& aMessage);

  QByteArray mBuffer;
};

}
