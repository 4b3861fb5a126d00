#include "LibPeer/PeerMessages.h"

#include "LibDecision/Overloaded.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QtEndian>
#include <array>

namespace papayaline {

namespace {

/// Reads the items of an array in order, and remembers whether all were there
/// and of their type.
class ArrayReader
{
public:
  explicit ArrayReader(QJsonArray aArray)
    : mArray(std::move(aArray))
  {
  }

  bool IsValid() const { return mIsValid; }

  int64_t Integer(int64_t aLeast, int64_t aMost)
  {
    const auto value = Next(QJsonValue::Double).toInteger(aLeast - 1);
    mIsValid &= value >= aLeast && value <= aMost;
    return value;
  }
  uint64_t Number()
  {
    return static_cast<uint64_t>(
      Integer(0, std::numeric_limits<int64_t>::max()));
  }
  Milliseconds Time()
  {
    constexpr int64_t kLongestMs = 24LL * 60 * 60 * 1000;
    return Milliseconds(Integer(0, kLongestMs));
  }
  bool Flag() { return Next(QJsonValue::Bool).toBool(); }
  std::string Text() { return ToText(Next(QJsonValue::String)); }
  template<typename Enum>
  Enum Choice(Enum aLast)
  {
    return static_cast<Enum>(Integer(0, static_cast<int64_t>(aLast)));
  }
  ArrayReader Array() { return ArrayReader(Next(QJsonValue::Array).toArray()); }
  QJsonObject Object() { return Next(QJsonValue::Object).toObject(); }
  QJsonValue Any()
  {
    mIsValid &= mNext < mArray.size();
    return mArray.at(mNext++);
  }
  /// Reads an item that may be null.
  template<typename Read>
  auto Optional(Read aRead) -> std::optional<decltype(aRead(*this))>
  {
    if (mNext < mArray.size() && mArray.at(mNext).isNull()) {
      ++mNext;
      return std::nullopt;
    }
    auto items = Array();
    auto value = aRead(items);
    Adopt(items);
    return value;
  }
  template<typename Read>
  void ForEachLeft(Read aRead)
  {
    while (mIsValid && mNext < mArray.size()) {
      aRead();
    }
  }
  void Adopt(const ArrayReader& aInner) { mIsValid &= aInner.mIsValid; }
  void Reject() { mIsValid = false; }

  /// Bytes travel as the code points 0 to 255.
  static std::string ToText(const QJsonValue& aValue)
  {
    return aValue.toString().toLatin1().toStdString();
  }

private:
  QJsonValue Next(QJsonValue::Type aType)
  {
    const auto value = Any();
    mIsValid &= value.type() == aType;
    return value;
  }

  QJsonArray mArray;
  qsizetype mNext = 0;
  bool mIsValid = true;
};

QJsonValue
FromText(const std::string& aText)
{
  return QString::fromLatin1(aText.data(),
                             static_cast<qsizetype>(aText.size()));
}

QJsonValue
FromNumber(uint64_t aNumber)
{
  return static_cast<qint64>(aNumber);
}

template<typename Enum>
QJsonValue
FromChoice(Enum aValue)
{
  return static_cast<int>(aValue);
}

QJsonValue
FromTime(Milliseconds aTime)
{
  return static_cast<qint64>(aTime.count());
}

QJsonValue
FromPosition(const std::optional<LogPosition>& aPosition)
{
  return aPosition ? QJsonValue(QJsonArray{ FromNumber(aPosition->mTerm),
                                            FromNumber(aPosition->mOffset) })
                   : QJsonValue();
}

std::optional<LogPosition>
ReadPosition(ArrayReader& aFrom)
{
  return aFrom.Optional([](ArrayReader& it) {
    const auto term = it.Number();
    return LogPosition{ term, it.Number() };
  });
}

QJsonArray
FromRoute(const RelayRoute& aRoute)
{
  return { FromText(aRoute.mDatabase),    FromText(aRoute.mGroup),
           FromChoice(aRoute.mFreshness), FromTime(aRoute.mMaxAge),
           FromTime(aRoute.mTimeout),     FromTime(aRoute.mTarget),
           static_cast<int>(aRoute.mRank) };
}

RelayRoute
ReadRoute(ArrayReader aFrom, ArrayReader& aOuter)
{
  RelayRoute route;
  route.mDatabase = aFrom.Text();
  route.mGroup = aFrom.Text();
  route.mFreshness = aFrom.Choice(Freshness::OwnWrites);
  route.mMaxAge = aFrom.Time();
  route.mTimeout = aFrom.Time();
  route.mTarget = aFrom.Time();
  route.mRank = static_cast<unsigned>(aFrom.Integer(0, 1'000'000));
  aOuter.Adopt(aFrom);
  return route;
}

QJsonArray
ToArray(const PeerHello& aMessage)
{
  return { aMessage.mVersion, FromText(aMessage.mInstance) };
}

bool
Read(ArrayReader& aFrom, PeerHello& aMessage)
{
  aMessage.mVersion = static_cast<int>(aFrom.Integer(1, 1'000'000));
  aMessage.mInstance = aFrom.Text();
  return aFrom.IsValid();
}

QJsonArray
ToArray(const ForwardStatement& aMessage)
{
  const auto& statement = aMessage.mStatement;
  QJsonObject values;
  for (const auto& [name, value] : aMessage.mValues) {
    values[FromText(name).toString()] = FromText(value);
  }
  const auto shape =
    aMessage.mShape
      ? QJsonValue(QJsonArray{ FromChoice(aMessage.mShape->mAccess),
                               FromText(aMessage.mShape->mShape) })
      : QJsonValue();
  return { FromNumber(aMessage.mCall),
           FromNumber(aMessage.mTransaction),
           FromText(statement.mId),
           FromChoice(statement.mForm),
           FromText(statement.mText),
           FromText(statement.mName),
           FromText(statement.mValue),
           FromRoute(aMessage.mRoute),
           FromChoice(aMessage.mAccess),
           FromChoice(aMessage.mMode),
           FromTime(aMessage.mArrivedAgo),
           FromTime(aMessage.mAskedAgo),
           values,
           FromPosition(aMessage.mOwnWrite),
           shape };
}

bool
Read(ArrayReader& aFrom, ForwardStatement& aMessage)
{
  auto& statement = aMessage.mStatement;
  aMessage.mCall = aFrom.Number();
  aMessage.mTransaction = aFrom.Number();
  statement.mId = aFrom.Text();
  statement.mForm = aFrom.Choice(StatementForm::ClosePrepared);
  statement.mText = aFrom.Text();
  statement.mName = aFrom.Text();
  statement.mValue = aFrom.Text();
  aMessage.mRoute = ReadRoute(aFrom.Array(), aFrom);
  aMessage.mAccess = aFrom.Choice(Access::Write);
  aMessage.mMode = aFrom.Choice(TransactionMode::ReadWrite);
  aMessage.mArrivedAgo = aFrom.Time();
  aMessage.mAskedAgo = aFrom.Time();
  const auto values = aFrom.Object();
  for (auto it = values.begin(); it != values.end(); ++it) {
    aMessage.mValues[it.key().toLatin1().toStdString()] =
      ArrayReader::ToText(it.value());
  }
  aMessage.mOwnWrite = ReadPosition(aFrom);
  aMessage.mShape = aFrom.Optional([](ArrayReader& it) {
    const auto access = it.Choice(Access::Write);
    return PreparedShape{ access, it.Text() };
  });
  return aFrom.IsValid();
}

QJsonArray
ToArray(const ForwardAnswer& aMessage)
{
  const auto& answer = aMessage.mAnswer;
  QJsonArray rows;
  std::ranges::for_each(answer.mRows,
                        [&](const auto& it) { rows.append(FromText(it)); });
  const auto error =
    answer.mError ? QJsonValue(QJsonArray{ FromChoice(answer.mError->mKind),
                                           FromText(answer.mError->mMessage) })
                  : QJsonValue();
  return { FromNumber(aMessage.mCall),        aMessage.mIsDeclined,
           FromNumber(aMessage.mTransaction), rows,
           FromText(answer.mSignature),       error,
           FromChoice(answer.mState),         FromPosition(answer.mPosition) };
}

bool
Read(ArrayReader& aFrom, ForwardAnswer& aMessage)
{
  auto& answer = aMessage.mAnswer;
  aMessage.mCall = aFrom.Number();
  aMessage.mIsDeclined = aFrom.Flag();
  aMessage.mTransaction = aFrom.Number();
  auto rows = aFrom.Array();
  rows.ForEachLeft([&] { answer.mRows.push_back(rows.Text()); });
  aFrom.Adopt(rows);
  answer.mSignature = aFrom.Text();
  answer.mError = aFrom.Optional([](ArrayReader& it) {
    const auto kind = it.Choice(ErrorKind::Internal);
    return Error{ kind, it.Text() };
  });
  answer.mState = aFrom.Choice(TransactionState::Failed);
  answer.mPosition = ReadPosition(aFrom);
  return aFrom.IsValid();
}

QJsonArray
ToArray(const CancelStatement& aMessage)
{
  return { FromNumber(aMessage.mCall) };
}

bool
Read(ArrayReader& aFrom, CancelStatement& aMessage)
{
  aMessage.mCall = aFrom.Number();
  return aFrom.IsValid();
}

QJsonArray
ToArray(const AbandonTransaction& aMessage)
{
  return { FromNumber(aMessage.mTransaction) };
}

bool
Read(ArrayReader& aFrom, AbandonTransaction& aMessage)
{
  aMessage.mTransaction = aFrom.Number();
  return aFrom.IsValid();
}

QJsonArray
ToArray(const WatchObjects& aMessage)
{
  return { FromNumber(aMessage.mCall),
           FromText(aMessage.mKind),
           static_cast<qint64>(aMessage.mAfter),
           FromTime(aMessage.mWait),
           FromTime(aMessage.mMaxAge) };
}

bool
Read(ArrayReader& aFrom, WatchObjects& aMessage)
{
  aMessage.mCall = aFrom.Number();
  aMessage.mKind = aFrom.Text();
  aMessage.mAfter = static_cast<int64_t>(aFrom.Number());
  aMessage.mWait = aFrom.Time();
  aMessage.mMaxAge = aFrom.Time();
  return aFrom.IsValid();
}

QJsonArray
ToArray(const ObjectsAnswer& aMessage)
{
  QJsonArray objects;
  for (const auto& it : aMessage.mBatch.mObjects) {
    objects.append(QJsonArray{ it.mName,
                               static_cast<qint64>(it.mRevision),
                               it.mIsDeleted,
                               it.mContent });
  }
  return { FromNumber(aMessage.mCall),
           aMessage.mIsUnknown,
           static_cast<qint64>(aMessage.mBatch.mStoreRevision),
           objects };
}

bool
Read(ArrayReader& aFrom, ObjectsAnswer& aMessage)
{
  aMessage.mCall = aFrom.Number();
  aMessage.mIsUnknown = aFrom.Flag();
  aMessage.mBatch.mStoreRevision = static_cast<int64_t>(aFrom.Number());
  auto objects = aFrom.Array();
  objects.ForEachLeft([&] {
    auto fields = objects.Array();
    StoredObject object;
    object.mName = fields.Any().toString();
    object.mRevision = static_cast<int64_t>(fields.Number());
    object.mIsDeleted = fields.Flag();
    object.mContent = fields.Any();
    objects.Adopt(fields);
    aMessage.mBatch.mObjects.push_back(object);
  });
  aFrom.Adopt(objects);
  return aFrom.IsValid();
}

/// Messages that say all by their name.
template<typename Message>
requires std::is_empty_v<Message> QJsonArray
ToArray(const Message&)
{
  return {};
}

template<typename Message>
requires std::is_empty_v<Message>
bool
Read(ArrayReader&, Message&)
{
  return true;
}

/// In the order of PeerMessage.
constexpr std::array kNames = {
  "hello", "run",  "ran",     "cancel", "abandon",
  "ping",  "pong", "leaving", "watch",  "objects"
};
static_assert(kNames.size() == std::variant_size_v<PeerMessage>);

template<size_t Index = 0>
Result<PeerMessage>
ReadNamed(const QString& aName, ArrayReader& aFrom)
{
  if constexpr (Index == kNames.size()) {
    return Error{ ErrorKind::ProtocolViolation, "unknown message" };
  } else {
    if (aName != QLatin1String(kNames[Index])) {
      return ReadNamed<Index + 1>(aName, aFrom);
    }
    std::variant_alternative_t<Index, PeerMessage> message;
    if (!Read(aFrom, message)) {
      return Error{ ErrorKind::ProtocolViolation,
                    std::string("malformed message: ") + kNames[Index] };
    }
    return PeerMessage(std::move(message));
  }
}

}

QByteArray
EncodePeerMessage(const PeerMessage& aMessage)
{
  auto array = std::visit([](const auto& it) { return ToArray(it); }, aMessage);
  array.prepend(QLatin1String(kNames[aMessage.index()]));
  return QJsonDocument(array).toJson(QJsonDocument::Compact);
}

Result<PeerMessage>
DecodePeerMessage(const QByteArray& aBytes)
{
  const auto document = QJsonDocument::fromJson(aBytes);
  if (!document.isArray() || document.array().isEmpty()) {
    return Error{ ErrorKind::ProtocolViolation, "no JSON array" };
  }
  auto array = document.array();
  const auto name = array.takeAt(0).toString();
  ArrayReader reader(array);
  return ReadNamed(name, reader);
}

QByteArray
FramePeerMessage(const QByteArray& aMessage)
{
  QByteArray frame(sizeof(quint32), Qt::Uninitialized);
  qToBigEndian(static_cast<quint32>(aMessage.size()), frame.data());
  return frame + aMessage;
}

Result<std::optional<QByteArray>>
PeerFrames::Next()
{
  constexpr qsizetype kPrefix = sizeof(quint32);
  if (mBuffer.size() < kPrefix) {
    return std::optional<QByteArray>();
  }
  const auto size =
    static_cast<qsizetype>(qFromBigEndian<quint32>(mBuffer.constData()));
  if (size > kMaxBytes) {
    return Error{ ErrorKind::MessageTooLarge, "message of a peer" };
  }
  if (mBuffer.size() < kPrefix + size) {
    return std::optional<QByteArray>();
  }
  const auto message = mBuffer.mid(kPrefix, size);
  mBuffer.remove(0, kPrefix + size);
  return std::optional(message);
}

}
