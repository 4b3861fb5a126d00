#pragma once

#include <QByteArray>
#include <QByteArrayList>
#include <optional>
#include <span>
#include <vector>

namespace papayaline {

/// The transaction state that ReadyForQuery carries.
enum class TransactionStatus : char
{
  Idle = 'I',
  Open = 'T',
  Failed = 'E',
};

/// A column of a RowDescription.
struct Column
{
  QByteArray mName;
  quint32 mTypeOid = 25;
  qint16 mTypeLength = -1;
  qint32 mTypeModifier = -1;
  qint16 mFormat = 0;

  bool operator==(const Column&) const = default;
};

using Cell = std::optional<QByteArray>;
using Row = std::vector<Cell>;

/// Builds backend messages of the PostgreSQL v3 protocol into one buffer.
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
  /// Whole messages that were encoded before.
  void Encoded(const QByteArray& aMessages) { mBuffer.append(aMessages); }
  /// A message without a body, such as ParseComplete ('1').
  void Empty(char aType);
  /// A message with a body that was prepared elsewhere.
  void Raw(char aType, const QByteArray& aBody);

  bool IsEmpty() const { return mBuffer.isEmpty(); }
  /// Returns what was written and starts anew.
  QByteArray Take();

private:
  void Diagnostic(const QByteArray& aSeverity,
                  const QByteArray& aSqlState,
                  const QByteArray& aMessage);

  QByteArray mBuffer;
};

}
