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
  std::function<void(int aCaller, const QByteArray& aData)> mOnWritten;
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
  /// aDescriptors limits the open files of each instance; 0 for no limit of its
  /// own.
  Deployment(const QString& aProgram,
             Record& aRecord,
             int aInstances = 3,
             int aDescriptors = 0,
             int aSyncReplicas = 0);
  ~Deployment() override;

  /// Whether every instance answers "ready".
  bool AreAllReady() const;
  bool IsReady(int aNumber) const;
  quint16 CallerPort(int aNumber) const
  {
    return mPorts[size_t(aNumber)].mCallers;
  }
  const QProcess& Instance(int aNumber) const
  {
    return *mInstances[size_t(aNumber)];
  }
  /// Kills an instance, which does not come back.
  void Remove(int aNumber);
  /// How often the process of an instance ended by itself. It is started again
  /// after a second.
  int OwnEnds(int aNumber) const { return mOwnEnds[size_t(aNumber)]; }
  /// Cuts off the watches of the store that wait.
  void CutWatches();
  void StartCallers();
  void StopCallers();
  Databases& Service() { return mDatabases; }
  /// Writes the entries of all databases to the store.
  void PublishDatabases();
  /// Lets a database report that it drains.
  void SetDraining(const QString& aDatabase);
  /// Partitions an instance from the platform: the store and the duty.
  void SetPartitioned(const QString& aInstance, bool aIsPartitioned);
  /// Receives each order as it arrives.
  std::function<void(const PromotionOrder&)> mOnOrder;
  void WriteSummary();
  bool HasExited() const;

  /// Receives the data of each single write that was answered with success.
  std::function<void(int aCaller, const QByteArray& aData)> mOnWritten;

private:
  struct Ports
  {
    quint16 mCallers = 0;
    quint16 mReady = 0;
    quint16 mMetrics = 0;
    quint16 mPeers = 0;
  };

  void PublishConfiguration();
  void StartInstance(int aNumber);
  static quint16 FreePort();

  QString mProgram;
  Record& mRecord;
  int mDescriptors = 0;
  int mSyncReplicas = 0;
  QTemporaryDir mDirectory;
  Store mStore;
  Databases mDatabases;
  PromotionDuty mDuty;
  std::vector<QString> mDraining;
  std::map<QString, qint64> mSequences;
  std::vector<Ports> mPorts;
  std::vector<std::unique_ptr<Link>> mLinks;
  std::vector<std::unique_ptr<QProcess>> mInstances;
  std::vector<int> mOwnEnds;
  /// Keeps the processes that have ended until the deployment ends.
  std::vector<std::unique_ptr<QProcess>> mEnded;
  std::vector<std::unique_ptr<Caller>> mCallers;
};

}
