#include "SoakCaller.h"

#include <QDateTime>
#include <QHostAddress>
#include <QTimer>

namespace papayaline {

namespace {

constexpr int kReconnectMs = 50;
/// Exceeds the timeouts of all routes; the caller closes a connection that
/// takes longer.
constexpr int kRequestTimeoutMs = 5000;
/// A request sent while the instance closes an idle connection is never read by
/// the instance. The platform does not count such a request as lost within this
/// time.
constexpr int kCloseRaceMs = 200;

bool
IsNotRunError(const QByteArray& aError)
{
  static const std::vector<QByteArray> sNotRunErrors = {
    "BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "CONNLIMIT", "DENIED"
  };
  return std::ranges::find(sNotRunErrors, aError) != sNotRunErrors.end();
}

/// Returns the name of the stand-in database that made the signature.
std::string
SignerOf(const QByteArray& aSignature)
{
  const QByteArray prefix = "signed-by-";
  return aSignature.startsWith(prefix)
           ? aSignature.mid(prefix.size()).toStdString()
           : std::string();
}

}

SoakCaller::SoakCaller(SoakDeployment& aDeployment,
                       SoakHistory& aHistory,
                       int aNumber,
                       uint64_t aSeed)
  : mDeployment(aDeployment)
  , mHistory(aHistory)
  , mNumber(aNumber)
  , mIsLatest(aNumber % 2 == 0)
  , mRandom(aSeed)
{
  mClock.start();
  Connect();
}

QByteArray
SoakCaller::Item() const
{
  return "item-" + QByteArray::number(mNumber);
}

QByteArray
SoakCaller::NewValue()
{
  mValue = ValueOf(++mWrites);
  mHistory.mWrites[mValue] = ReportedOutcome::Unknown;
  return QByteArray::fromStdString(mValue);
}

void
SoakCaller::Connect()
{
  mStep = Step::Connecting;
  mLastOwnWrite = 0;
  mBuffer.clear();
  mResponse = {};
  mSocket = new QTcpSocket(this);
  connect(mSocket, &QTcpSocket::readyRead, this, [this] { OnBytes(); });
  connect(
    mSocket, &QTcpSocket::disconnected, this, [this] { OnDisconnected(); });
  connect(
    mSocket, &QTcpSocket::errorOccurred, this, [this] { OnDisconnected(); });
  mInstance = static_cast<int>(mRandom() % mDeployment.InstanceCount());
  mSocket->connectToHost(QHostAddress::LocalHost,
                         mDeployment.CallerPort(mInstance));
  mSocket->write("STARTUP " +
                 QByteArray(mIsLatest ? SoakDeployment::kLatestRoute
                                      : SoakDeployment::kOwnWritesRoute) +
                 " " + AccountCheck::KeyOf(mNumber) + "\r\n");
  QTimer::singleShot(kRequestTimeoutMs, mSocket, [this, socket = mSocket] {
    if (mSocket == socket && mStep == Step::Connecting) {
      OnDisconnected();
    }
  });
}

void
SoakCaller::OnDisconnected()
{
  if (!mSocket) {
    return;
  }
  mSocket->disconnect(this);
  mSocket->abort();
  mSocket->deleteLater();
  mSocket = nullptr;
  const bool isCut = mStep != Step::Connecting && mStep != Step::Idle;
  const bool isLate = mClock.elapsed() - mSentAtMs > kCloseRaceMs;
  if (isCut && mForbidsLostRequests && isLate) {
    RecordViolation("a request was cut off by planned work");
  }
  // COMMIT was not sent, so the transaction has no effect.
  if (mStep == Step::Beginning || mStep == Step::WritingInTransaction ||
      mStep == Step::RollingBack) {
    RecordOutcome(ReportedOutcome::NotRun);
  }
  mStep = Step::Connecting;
  QTimer::singleShot(kReconnectMs, this, [this] { Connect(); });
}

void
SoakCaller::OnBytes()
{
  mBuffer += mSocket->readAll();
  qsizetype end = 0;
  while (mSocket && (end = mBuffer.indexOf("\r\n")) >= 0) {
    const auto line = mBuffer.left(end);
    mBuffer.remove(0, end + 2);
    const auto words = line.split(' ');
    if (words[0] == "ROW") {
      mResponse.mRow = line.mid(4);
    } else if (words[0] == "ERROR") {
      mResponse.mError = words.value(1);
    } else if (words[0] == "COMPLETE") {
      mResponse.mSigner = SignerOf(words.value(1));
    } else if (words[0] == "READY") {
      OnResponse(std::exchange(mResponse, {}));
    }
  }
}

void
SoakCaller::Send(Step aStep, const QByteArray& aText)
{
  mStep = aStep;
  mSentAtMs = mClock.elapsed();
  const auto id =
    "r" + QByteArray::number(mNumber) + "-" + QByteArray::number(++mRequests);
  mDeployment.Accounts().OnSent(id.toStdString(), mNumber);
  mSocket->write("QUERY " + id + " " + aText + "\r\n");
  QTimer::singleShot(
    kRequestTimeoutMs, mSocket, [this, socket = mSocket, n = mRequests] {
      if (mSocket == socket && mRequests == n && mStep != Step::Idle) {
        OnDisconnected();
      }
    });
}

void
SoakCaller::SendNextRequest()
{
  if (!mSocket || mStep != Step::Idle) {
    return;
  }
  constexpr int kKinds = 10;
  const auto kind = mRandom() % kKinds;
  if (kind < 4) {
    Send(Step::Writing, "WRITE " + Item() + " " + NewValue());
  } else if (kind < 8) {
    Send(Step::Reading, "READ " + Item());
  } else {
    NewValue();
    Send(Step::Beginning, "BEGIN");
  }
}

void
SoakCaller::OnResponse(const Response& aResponse)
{
  const bool isFailed = !aResponse.mError.isEmpty();
  switch (mStep) {
    case Step::Writing:
    case Step::Committing:
      OnWritten(aResponse);
      break;
    case Step::Reading:
      OnRead(aResponse);
      break;
    case Step::Beginning:
    case Step::WritingInTransaction:
      if (isFailed) {
        Send(Step::RollingBack, "ROLLBACK");
      } else if (mStep == Step::Beginning) {
        Send(Step::WritingInTransaction,
             "WRITE " + Item() + " " + QByteArray::fromStdString(mValue));
      } else {
        Send(Step::Committing, "COMMIT");
      }
      return;
    case Step::RollingBack:
      RecordOutcome(ReportedOutcome::NotRun);
      break;
    default:
      break;
  }
  mStep = Step::Idle;
  constexpr int kMaxPauseMs = 30;
  QTimer::singleShot(static_cast<int>(mRandom() % kMaxPauseMs),
                     mSocket,
                     [this] { SendNextRequest(); });
}

void
SoakCaller::OnWritten(const Response& aResponse)
{
  if (IsNotRunError(aResponse.mError)) {
    RecordOutcome(ReportedOutcome::NotRun);
    return;
  }
  if (!aResponse.mError.isEmpty()) {
    return;
  }
  if (aResponse.mSigner.empty()) {
    RecordViolation("a write was acknowledged without a signature");
  }
  if (LogPositionOf(mValue) == 0) {
    RecordViolation(
      "an acknowledged write is missing in the log of the current primary");
  }
  RecordOutcome(ReportedOutcome::Acknowledged);
  mLastAckMs = mClock.elapsed();
  mLastOwnWrite = mWrites;
  mAcknowledged.push_back({ mWrites, mLastAckMs });
}

/// Returns the number of the oldest write that a read may return; 0 if there is
/// no constraint.
int
SoakCaller::OldestAllowedWrite() const
{
  const auto limit =
    mIsLatest ? mSentAtMs : mSentAtMs - SoakDeployment::kMaxAgeMs;
  auto oldest = mIsLatest ? 0 : mLastOwnWrite;
  for (const auto& it : mAcknowledged) {
    oldest = it.mAtMs < limit ? std::max(oldest, it.mNumber) : oldest;
  }
  return oldest;
}

void
SoakCaller::OnRead(const Response& aResponse)
{
  if (!aResponse.mError.isEmpty()) {
    return;
  }
  ++mHistory.mReads;
  if (aResponse.mSigner.empty()) {
    RecordViolation("a read returned without a signature");
  }
  const auto seen = aResponse.mRow.toStdString();
  const auto oldest = OldestAllowedWrite();
  if (oldest > 0 && !aResponse.mSigner.empty()) {
    // A write without a response may take effect after later writes, or be read
    // at a replaced primary and be rolled back afterwards. The check therefore
    // uses the log of the database that served the read, which must contain the
    // oldest write that the read may return.
    const auto& read = mDeployment.Databases().At(aResponse.mSigner).mLog;
    const auto must = ValueOf(oldest);
    const bool isBefore =
      LogPositionOf(seen) > 0 && LogPositionOf(seen) < LogPositionOf(must);
    if (isBefore || std::ranges::find(read, must) == read.end()) {
      RecordViolation("a read at " + aResponse.mSigner + " returned " + seen +
                      " without " + must);
    }
  }
  if (!seen.empty() && mHistory.mWrites[seen] == ReportedOutcome::NotRun) {
    RecordViolation("a read returned a write that was reported as not run");
  }
}

/// Returns the position of a value in the log of the current primary, counted
/// from 1; 0 if the log does not contain it.
size_t
SoakCaller::LogPositionOf(const std::string& aValue) const
{
  const auto& log = mDeployment.Databases().Primary().mLog;
  const auto it = std::ranges::find(log, aValue);
  return it != log.end() ? static_cast<size_t>(it - log.begin()) + 1 : 0;
}

std::string
SoakCaller::ValueOf(int aWrite) const
{
  return std::to_string(aWrite) + "-of-" + std::to_string(mNumber);
}

void
SoakCaller::RecordOutcome(ReportedOutcome aOutcome)
{
  mHistory.mWrites[mValue] = aOutcome;
}

void
SoakCaller::RecordViolation(const std::string& aWhat)
{
  mHistory.mViolations.push_back(
    std::to_string(QDateTime::currentMSecsSinceEpoch()) + " caller " +
    std::to_string(mNumber) + " at instance " + std::to_string(mInstance) +
    " (request " + std::to_string(mRequests) + ", " +
    (mIsLatest ? SoakDeployment::kLatestRoute
               : SoakDeployment::kOwnWritesRoute) +
    "), write " + mValue + ": " + aWhat);
}

}
