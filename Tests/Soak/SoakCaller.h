#pragma once

#include "SoakDeployment.h"

#include <QElapsedTimer>
#include <random>

namespace papayaline {

/// The outcome of one write as reported to its caller.
enum class ReportedOutcome
{
  /// No response arrived, or it said that the outcome is unknown.
  Unknown,
  Acknowledged,
  /// The write has no effect: a response says so, or COMMIT was not sent.
  NotRun,
};

/// The outcomes reported to all callers, and the violations they detected.
struct SoakHistory
{
  std::map<std::string, ReportedOutcome> mWrites;
  size_t mReads = 0;
  std::vector<std::string> mViolations;
};

/// A caller that writes increasing values to its own item and reads them back.
/// It uses one connection at a time and reconnects to a random instance when
/// the connection ends. Runs in the event loop of the soak test.
class SoakCaller : public QObject
{
public:
  SoakCaller(SoakDeployment& aDeployment,
             SoakHistory& aHistory,
             int aNumber,
             uint64_t aSeed);

  /// While set, a request lost with its connection is a violation. Used when
  /// only planned work takes place.
  void ForbidLostRequests(bool aIsForbidden)
  {
    mForbidsLostRequests = aIsForbidden;
  }
  /// Whether a write was acknowledged after aAtMs, a time of NowMs().
  bool HasWrittenSince(qint64 aAtMs) const { return mLastAckMs > aAtMs; }
  qint64 NowMs() const { return mClock.elapsed(); }

private:
  enum class Step
  {
    Connecting,
    Idle,
    Writing,
    Reading,
    Beginning,
    WritingInTransaction,
    Committing,
    RollingBack,
  };
  struct Response
  {
    QByteArray mRow;
    QByteArray mError;
    /// The database that signed the response; empty without a signature.
    std::string mSigner;
  };
  struct Acknowledged
  {
    int mNumber = 0;
    qint64 mAtMs = 0;
  };

  void Connect();
  void OnBytes();
  void OnDisconnected();
  void SendNextRequest();
  void Send(Step aStep, const QByteArray& aText);
  void OnResponse(const Response& aResponse);
  void OnWritten(const Response& aResponse);
  void OnRead(const Response& aResponse);
  void RecordOutcome(ReportedOutcome aOutcome);
  void RecordViolation(const std::string& aWhat);
  int OldestAllowedWrite() const;
  size_t LogPositionOf(const std::string& aValue) const;
  std::string ValueOf(int aWrite) const;
  QByteArray Item() const;
  QByteArray NewValue();

  SoakDeployment& mDeployment;
  SoakHistory& mHistory;
  int mNumber;
  int mInstance = 0;
  bool mIsLatest;
  bool mForbidsLostRequests = false;
  std::mt19937_64 mRandom;
  QElapsedTimer mClock;
  QTcpSocket* mSocket = nullptr;
  QByteArray mBuffer;
  Response mResponse;
  Step mStep = Step::Connecting;
  int mRequests = 0;
  int mWrites = 0;
  std::string mValue;
  qint64 mSentAtMs = 0;
  qint64 mLastAckMs = -1;
  std::vector<Acknowledged> mAcknowledged;
  /// The last write acknowledged on this connection.
  int mLastOwnWrite = 0;
};

}
