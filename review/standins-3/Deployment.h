#pragma once

#include "Databases.h"
#include "Link.h"
#include "Platform.h"

#include <QElapsedTimer>
#include <QFile>
#include <QProcess>
#include <QTemporaryDir>
#include <memory>

namespace review {

/// Writes lines with the time since the start to record.txt.
class Record
{
public:
  explicit Record(const QString& aPath);
  void operator()(const QString& aLine);
  qint64 NowMs() const { return mClock.elapsed(); }

private:
  QFile mFile;
  QElapsedTimer mClock;
};

/// A caller with one session that sends one statement after the other to one
/// instance, and connects again when its session has ended.
class Caller : public QObject
{
public:
  Caller(quint16 aPort, QByteArray aDatabase, int aNumber, Record& aRecord);

  struct Counts
  {
    size_t mSent = 0;
    size_t mSucceeded = 0;
    std::map<QByteArray, size_t> mErrors;
  };
  const Counts& GetCounts() const { return mCounts; }
  void Stop() { mIsStopped = true; }

private:
  void Open();
  void Send();
  void OnLine(const QByteArray& aLine);

  quint16 mPort;
  QByteArray mDatabase;
  int mNumber;
  Record& mRecord;
  std::unique_ptr<QTcpSocket> mSocket;
  QByteArray mBuffer;
  QByteArray mText;
  bool mIsOpen = false;
  bool mIsWaiting = false;
  bool mIsStopped = false;
  size_t mNext = 0;
  Counts mCounts;
};

/// A small deployment: three instances of the program, each with network paths
/// of its own to the store and to the promotion duty, one service with three
/// databases, and callers of a "primary" route.
class Deployment : public QObject
{
public:
  static constexpr int kInstances = 3;

  Deployment(const QString& aProgram, Record& aRecord);
  ~Deployment() override;

  /// Whether every instance answers "ready".
  bool AreAllReady();
  void StartCallers();
  void StopCallers();
  Databases& Service() { return mDatabases; }
  /// Writes the entries of the databases to the store. The databases named
  /// are draining.
  void SetDraining(const QString& aDatabase);
  /// Partitions an instance from the platform: the store and the duty.
  void SetPartitioned(const QString& aInstance, bool aIsPartitioned);
  /// Receives each order as it arrives.
  std::function<void(const PromotionOrder&)> mOnOrder;
  void WriteSummary();
  bool HasExited() const;

private:
  struct Ports
  {
    quint16 mCallers = 0;
    quint16 mReady = 0;
    quint16 mMetrics = 0;
    quint16 mPeers = 0;
  };

  void PublishDatabases();
  void PublishConfiguration();
  void StartInstance(int aNumber, const QString& aProgram);
  static quint16 FreePort();

  Record& mRecord;
  QTemporaryDir mDirectory;
  Store mStore;
  Databases mDatabases;
  PromotionDuty mDuty;
  std::vector<QString> mDraining;
  std::map<QString, qint64> mSequences;
  std::vector<Ports> mPorts;
  std::vector<std::unique_ptr<Link>> mLinks;
  std::vector<std::unique_ptr<QProcess>> mInstances;
  std::vector<std::unique_ptr<Caller>> mCallers;
};

}
