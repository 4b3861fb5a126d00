#include "LibPeer/PeerMessages.h"

#include "LibDecision/Overloaded.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QtEndian>
#include <algorithm>
#include <array>
#include <cmath>

namespace papayaline {

namespace {

constexpr int64_t kMaxRank = 1'000'000;
constexpr double kTokenParts = 1'000'000;
/// In millionths: the largest quota of a configuration.
constexpr int64_t kMaxTokens = 1'000'000'000'000'000;

/// Reads the items of a JSON array in order. IsValid tells whether all items
/// that were read exist and have the expected type.
class ArrayReader
{
public:
  explicit ArrayReader(QJsonArray aArray)
    : mArray(std::move(aArray))
  {
  }

  bool IsValid() const { return mIsValid; }

  int64_t Integer(int64_t aMin, int64_t aMax)
  {
    const auto value = Next(QJsonValue::Double).toInteger(aMin - 1);
    mIsValid &= value >= aMin && value <= aMax;
    return value;
  }
  uint64_t Number()
  {
    return static_cast<uint64_t>(
      Integer(0, std::numeric_limits<int64_t>::max()));
  }
  Milliseconds Time()
  {
    constexpr int64_t kMaxMs = 24LL * 60 * 60 * 1000;
    return Milliseconds(Integer(0, kMaxMs));
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
    MergeValidity(items);
    return value;
  }
  template<typename Read>
  void ForEachRemaining(Read aRead)
  {
    while (mIsValid && mNext < mArray.size()) {
      aRead();
    }
  }
  bool IsAtEnd() const { return mNext >= mArray.size(); }
  void MergeValidity(const ArrayReader& aInner) { mIsValid &= aInner.mIsValid; }
  void Reject() { mIsValid = false; }

  /// Bytes are encoded as the code points 0 to 255.
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

/// An optional time is an array of one number, or null.
QJsonValue
FromOptionalTime(const std::optional<Milliseconds>& aTime)
{
  return aTime ? QJsonValue(QJsonArray{ FromTime(*aTime) }) : QJsonValue();
}

std::optional<Milliseconds>
ReadOptionalTime(ArrayReader& aReader)
{
  return aReader.Optional([](ArrayReader& it) { return it.Time(); });
}

/// An optional instant is an array of the milliseconds of its clock, or null.
/// Rounded down: all that is sent counts as older than it is.
QJsonValue
FromOptionalInstant(const std::optional<Instant>& aInstant)
{
  return aInstant
           ? QJsonValue(QJsonArray{ FromTime(std::chrono::floor<Milliseconds>(
               aInstant->time_since_epoch())) })
           : QJsonValue();
}

/// A time that may be negative.
Milliseconds
ReadSignedTime(ArrayReader& aReader)
{
  // About thirty years, so that sums stay in the range of an instant.
  constexpr int64_t kMaxMs = 1'000'000'000'000;
  return Milliseconds(aReader.Integer(-kMaxMs, kMaxMs));
}

std::optional<Instant>
ReadOptionalInstant(ArrayReader& aReader)
{
  return aReader.Optional(
    [](ArrayReader& it) { return Instant(ReadSignedTime(it)); });
}

/// Reads an instant at the end of a message. Instances of an older version send
/// none.
std::optional<Instant>
ReadLastInstant(ArrayReader& aReader)
{
  return aReader.IsAtEnd() ? std::nullopt : ReadOptionalInstant(aReader);
}

QJsonValue
FromPosition(const std::optional<LogPosition>& aPosition)
{
  return aPosition ? QJsonValue(QJsonArray{ FromNumber(aPosition->mTerm),
                                            FromNumber(aPosition->mOffset) })
                   : QJsonValue();
}

std::optional<LogPosition>
ReadPosition(ArrayReader& aReader)
{
  return aReader.Optional([](ArrayReader& it) {
    const auto term = it.Number();
    return LogPosition{ term, it.Number() };
  });
}

QJsonValue
FromLoad(const std::optional<GroupLoad>& aLoad)
{
  if (!aLoad) {
    return {};
  }
  QJsonArray waits;
  std::ranges::for_each(aLoad->mWaitByRank, [&](Duration it) {
    waits.append(FromTime(std::chrono::ceil<Milliseconds>(it)));
  });
  return waits;
}

std::optional<GroupLoad>
ReadLoad(ArrayReader& aReader)
{
  return aReader.Optional([](ArrayReader& aWaits) {
    GroupLoad load;
    aWaits.ForEachRemaining([&] { load.mWaitByRank.push_back(aWaits.Time()); });
    return load;
  });
}

QJsonArray
FromRoute(const RelayRoute& aRoute)
{
  return { FromText(aRoute.mDatabase),     FromText(aRoute.mGroup),
           FromChoice(aRoute.mFreshness),  FromTime(aRoute.mMaxAge),
           FromTime(aRoute.mTimeout),      FromTime(aRoute.mTargetLatency),
           static_cast<int>(aRoute.mRank), aRoute.mIsPublic };
}

RelayRoute
ReadRoute(ArrayReader aReader, ArrayReader& aOuter)
{
  RelayRoute route;
  route.mDatabase = aReader.Text();
  route.mGroup = aReader.Text();
  route.mFreshness = aReader.Choice(Freshness::ReadYourWrites);
  route.mMaxAge = aReader.Time();
  route.mTimeout = aReader.Time();
  route.mTargetLatency = aReader.Time();
  route.mRank = static_cast<unsigned>(aReader.Integer(0, kMaxRank));
  route.mIsPublic = !aReader.IsAtEnd() && aReader.Flag();
  aOuter.MergeValidity(aReader);
  return route;
}

QJsonArray
ToArray(const PeerHello& aMessage)
{
  return { aMessage.mVersion,
           FromText(aMessage.mInstance),
           aMessage.mFeatureLevel,
           FromOptionalInstant(aMessage.mClock) };
}

bool
Read(ArrayReader& aReader, PeerHello& aMessage)
{
  aMessage.mVersion = static_cast<int>(aReader.Integer(1, 1'000'000));
  aMessage.mInstance = aReader.Text();
  // Instances of an older version send no feature level.
  aMessage.mFeatureLevel =
    aReader.IsAtEnd() ? 0 : static_cast<int>(aReader.Integer(0, 1'000'000));
  aMessage.mClock = ReadLastInstant(aReader);
  return aReader.IsValid();
}

QJsonArray
ToArray(const ForwardStatement& aMessage)
{
  const auto& statement = aMessage.mStatement;
  QJsonObject values;
  for (const auto& [name, value] : aMessage.mValues) {
    values[FromText(name).toString()] = FromText(value);
  }
  const auto query =
    aMessage.mPreparedQuery
      ? QJsonValue(QJsonArray{ FromChoice(aMessage.mPreparedQuery->mAccess),
                               FromText(aMessage.mPreparedQuery->mText) })
      : QJsonValue();
  return { FromNumber(aMessage.mCall),
           FromNumber(aMessage.mTransaction),
           FromText(statement.mId),
           FromChoice(statement.mType),
           FromText(statement.mText),
           FromText(statement.mName),
           FromText(statement.mValue),
           FromRoute(aMessage.mRoute),
           FromChoice(aMessage.mAccess),
           FromChoice(aMessage.mMode),
           FromTime(aMessage.mStartedAgo),
           FromTime(aMessage.mReceivedAgo),
           values,
           FromPosition(aMessage.mLastWritePosition),
           query,
           FromText(aMessage.mAccount),
           static_cast<int>(aMessage.mAccountRank),
           FromOptionalInstant(aMessage.mConfirmedAt) };
}

bool
Read(ArrayReader& aReader, ForwardStatement& aMessage)
{
  auto& statement = aMessage.mStatement;
  aMessage.mCall = aReader.Number();
  aMessage.mTransaction = aReader.Number();
  statement.mId = aReader.Text();
  statement.mType = aReader.Choice(StatementType::ClosePrepared);
  statement.mText = aReader.Text();
  statement.mName = aReader.Text();
  statement.mValue = aReader.Text();
  aMessage.mRoute = ReadRoute(aReader.Array(), aReader);
  aMessage.mAccess = aReader.Choice(Access::Write);
  aMessage.mMode = aReader.Choice(TransactionMode::ReadWrite);
  aMessage.mStartedAgo = aReader.Time();
  aMessage.mReceivedAgo = aReader.Time();
  const auto values = aReader.Object();
  for (auto it = values.begin(); it != values.end(); ++it) {
    aMessage.mValues[it.key().toLatin1().toStdString()] =
      ArrayReader::ToText(it.value());
  }
  aMessage.mLastWritePosition = ReadPosition(aReader);
  aMessage.mPreparedQuery = aReader.Optional([](ArrayReader& it) {
    const auto access = it.Choice(Access::Write);
    return PreparedQuery{ access, it.Text() };
  });
  // Instances of an older version send no account.
  if (!aReader.IsAtEnd()) {
    aMessage.mAccount = aReader.Text();
    aMessage.mAccountRank = static_cast<unsigned>(aReader.Integer(0, kMaxRank));
    aMessage.mConfirmedAt = ReadOptionalInstant(aReader);
  }
  return aReader.IsValid();
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
  return { FromNumber(aMessage.mCall),
           aMessage.mIsDeclined,
           FromNumber(aMessage.mTransaction),
           rows,
           FromText(answer.mSignature),
           error,
           FromChoice(answer.mTransactionState),
           FromPosition(answer.mPosition),
           FromLoad(aMessage.mLoad),
           FromOptionalInstant(aMessage.mClock) };
}

bool
Read(ArrayReader& aReader, ForwardAnswer& aMessage)
{
  auto& answer = aMessage.mAnswer;
  aMessage.mCall = aReader.Number();
  aMessage.mIsDeclined = aReader.Flag();
  aMessage.mTransaction = aReader.Number();
  auto rows = aReader.Array();
  rows.ForEachRemaining([&] { answer.mRows.push_back(rows.Text()); });
  aReader.MergeValidity(rows);
  answer.mSignature = aReader.Text();
  answer.mError = aReader.Optional([](ArrayReader& it) {
    const auto kind = it.Choice(kLastErrorKind);
    return Error{ kind, it.Text() };
  });
  answer.mTransactionState = aReader.Choice(TransactionState::Failed);
  answer.mPosition = ReadPosition(aReader);
  // Instances of an older version send no load.
  if (!aReader.IsAtEnd()) {
    aMessage.mLoad = ReadLoad(aReader);
  }
  aMessage.mClock = ReadLastInstant(aReader);
  return aReader.IsValid();
}

QJsonArray
ToArray(const PeerPong& aMessage)
{
  return { FromOptionalInstant(aMessage.mClock) };
}

bool
Read(ArrayReader& aReader, PeerPong& aMessage)
{
  aMessage.mClock = ReadLastInstant(aReader);
  return aReader.IsValid();
}

QJsonArray
ToArray(const CancelStatement& aMessage)
{
  return { FromNumber(aMessage.mCall) };
}

bool
Read(ArrayReader& aReader, CancelStatement& aMessage)
{
  aMessage.mCall = aReader.Number();
  return aReader.IsValid();
}

QJsonArray
ToArray(const RollBackTransaction& aMessage)
{
  return { FromNumber(aMessage.mTransaction) };
}

bool
Read(ArrayReader& aReader, RollBackTransaction& aMessage)
{
  aMessage.mTransaction = aReader.Number();
  return aReader.IsValid();
}

QJsonValue
FromRevisionNumber(const StoreRevision& aRevision)
{
  return static_cast<qint64>(aRevision.mNumber);
}

StoreRevision
ReadRevisionNumber(ArrayReader& aReader)
{
  return { 0, static_cast<int64_t>(aReader.Number()) };
}

/// Reads the era at the end of a message. Instances of an older version send
/// none.
uint64_t
ReadLastEra(ArrayReader& aReader)
{
  return aReader.IsAtEnd() ? 0 : aReader.Number();
}

QJsonArray
ToArray(const WatchObjects& aMessage)
{
  return { FromNumber(aMessage.mCall),
           FromText(aMessage.mKind),
           FromRevisionNumber(aMessage.mAfterRevision),
           FromTime(aMessage.mMaxWait),
           FromTime(aMessage.mMaxAge),
           FromNumber(aMessage.mAfterRevision.mEra),
           FromOptionalTime(aMessage.mKnownAge) };
}

bool
Read(ArrayReader& aReader, WatchObjects& aMessage)
{
  aMessage.mCall = aReader.Number();
  aMessage.mKind = aReader.Text();
  aMessage.mAfterRevision = ReadRevisionNumber(aReader);
  aMessage.mMaxWait = aReader.Time();
  aMessage.mMaxAge = aReader.Time();
  aMessage.mAfterRevision.mEra = ReadLastEra(aReader);
  if (!aReader.IsAtEnd()) {
    aMessage.mKnownAge = ReadOptionalTime(aReader);
  }
  return aReader.IsValid();
}

QJsonArray
ToArray(const ObjectsAnswer& aMessage)
{
  QJsonArray objects;
  for (const auto& it : aMessage.mBatch.mObjects) {
    objects.append(QJsonArray{
      it.mName, FromRevisionNumber(it.mRevision), it.mIsDeleted, it.mContent });
  }
  return { FromNumber(aMessage.mCall),
           aMessage.mIsUnavailable,
           FromRevisionNumber(aMessage.mBatch.mStoreRevision),
           objects,
           FromNumber(aMessage.mBatch.mStoreRevision.mEra),
           FromOptionalTime(aMessage.mConfirmedAfter) };
}

bool
Read(ArrayReader& aReader, ObjectsAnswer& aMessage)
{
  aMessage.mCall = aReader.Number();
  aMessage.mIsUnavailable = aReader.Flag();
  auto& batch = aMessage.mBatch;
  batch.mStoreRevision = ReadRevisionNumber(aReader);
  auto objects = aReader.Array();
  objects.ForEachRemaining([&] {
    auto fields = objects.Array();
    StoredObject object;
    object.mName = fields.Any().toString();
    object.mRevision = ReadRevisionNumber(fields);
    object.mIsDeleted = fields.Flag();
    object.mContent = fields.Any();
    objects.MergeValidity(fields);
    batch.mObjects.push_back(object);
  });
  aReader.MergeValidity(objects);
  batch.mStoreRevision.mEra = ReadLastEra(aReader);
  if (!aReader.IsAtEnd()) {
    aMessage.mConfirmedAfter = aReader.Optional(ReadSignedTime);
  }
  std::ranges::for_each(batch.mObjects, [&](auto& it) {
    it.mRevision.mEra = batch.mStoreRevision.mEra;
  });
  return aReader.IsValid();
}

/// Rounded down, so that no tokens are made.
QJsonValue
FromTokens(double aTokens)
{
  return static_cast<qint64>(aTokens * kTokenParts);
}

double
ReadTokens(ArrayReader& aReader)
{
  return static_cast<double>(aReader.Integer(0, kMaxTokens)) / kTokenParts;
}

QJsonArray
ToArray(const QuotaRequest& aMessage)
{
  QJsonArray demands;
  for (const auto& it : aMessage.mDemands) {
    demands.append(FromText(it.mAccount));
    demands.append(FromTokens(it.mWanted));
    // Rounded up, so that what is paid suffices.
    demands.append(
      FromTokens(std::ceil(it.mNeeded * kTokenParts) / kTokenParts));
  }
  return { FromNumber(aMessage.mCall),
           FromChoice(aMessage.mPurpose),
           FromNumber(aMessage.mInstances),
           demands };
}

bool
Read(ArrayReader& aReader, QuotaRequest& aMessage)
{
  aMessage.mCall = aReader.Number();
  aMessage.mPurpose = aReader.Choice(QuotaPurpose::Collect);
  aMessage.mInstances = aReader.Number();
  auto demands = aReader.Array();
  demands.ForEachRemaining([&] {
    QuotaDemand demand;
    demand.mAccount = demands.Text();
    demand.mWanted = ReadTokens(demands);
    demand.mNeeded = ReadTokens(demands);
    aMessage.mDemands.push_back(std::move(demand));
  });
  aReader.MergeValidity(demands);
  return aReader.IsValid();
}

QJsonArray
ToArray(const QuotaAnswer& aMessage)
{
  QJsonArray payouts;
  for (const auto& it : aMessage.mPayouts) {
    payouts.append(FromText(it.mAccount));
    payouts.append(FromTokens(it.mTokens));
    payouts.append(FromTime(it.mRetryAfter));
  }
  return { FromNumber(aMessage.mCall),
           FromNumber(aMessage.mInstances),
           payouts };
}

bool
Read(ArrayReader& aReader, QuotaAnswer& aMessage)
{
  aMessage.mCall = aReader.Number();
  aMessage.mInstances = aReader.Number();
  auto payouts = aReader.Array();
  payouts.ForEachRemaining([&] {
    QuotaPayout payout;
    payout.mAccount = payouts.Text();
    payout.mTokens = ReadTokens(payouts);
    payout.mRetryAfter = payouts.Time();
    aMessage.mPayouts.push_back(std::move(payout));
  });
  aReader.MergeValidity(payouts);
  return aReader.IsValid();
}

/// Messages without fields.
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

/// The names on the wire, in the order of PeerMessage.
constexpr std::array kMessageNames = { "hello",   "run",     "ran",  "cancel",
                                       "abandon", "ping",    "pong", "leaving",
                                       "watch",   "objects", "need", "tokens" };
static_assert(kMessageNames.size() == std::variant_size_v<PeerMessage>);

template<size_t Index = 0>
Result<PeerMessage>
ReadNamed(const QString& aName, ArrayReader& aReader)
{
  if constexpr (Index == kMessageNames.size()) {
    return Error{ ErrorKind::ProtocolViolation,
                  "unknown type of peer message" };
  } else {
    if (aName != QLatin1String(kMessageNames[Index])) {
      return ReadNamed<Index + 1>(aName, aReader);
    }
    std::variant_alternative_t<Index, PeerMessage> message;
    if (!Read(aReader, message)) {
      return Error{ ErrorKind::ProtocolViolation,
                    std::string("malformed peer message: ") +
                      kMessageNames[Index] };
    }
    return PeerMessage(std::move(message));
  }
}

}

QByteArray
EncodePeerMessage(const PeerMessage& aMessage)
{
  auto array = std::visit([](const auto& it) { return ToArray(it); }, aMessage);
  array.prepend(QLatin1String(kMessageNames[aMessage.index()]));
  return QJsonDocument(array).toJson(QJsonDocument::Compact);
}

Result<PeerMessage>
DecodePeerMessage(const QByteArray& aBytes)
{
  const auto document = QJsonDocument::fromJson(aBytes);
  if (!document.isArray() || document.array().isEmpty()) {
    return Error{ ErrorKind::ProtocolViolation,
                  "peer message is not a non-empty JSON array" };
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
PeerFrameReader::Next()
{
  constexpr qsizetype kPrefixBytes = sizeof(quint32);
  if (mBuffer.size() < kPrefixBytes) {
    return std::optional<QByteArray>();
  }
  const auto size =
    static_cast<qsizetype>(qFromBigEndian<quint32>(mBuffer.constData()));
  if (size > kMaxMessageBytes) {
    return Error{ ErrorKind::MessageTooLarge,
                  "peer message exceeds the size limit" };
  }
  if (mBuffer.size() < kPrefixBytes + size) {
    return std::optional<QByteArray>();
  }
  const auto message = mBuffer.mid(kPrefixBytes, size);
  mBuffer.remove(0, kPrefixBytes + size);
  return std::optional(message);
}

}
