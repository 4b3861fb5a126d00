#pragma once

#include "Databases.h"

#include <QProcess>
#include <QTemporaryDir>

namespace review {

/// The project's instances, as separate processes.
class Instances
{
public:
  Instances(Databases& aDatabases, Platform& aPlatform, Record& aRecord);
  ~Instances();

  /// Starts an instance. Call after all databases were added.
  void Start(const std::string& aName, const std::string& aZone);
  bool AwaitReady(double aTimeoutMs);
  quint16 CallerPort(const std::string& aName) const;
  void Signal(const std::string& aName, int aSignal);
  bool IsRunning(const std::string& aName) const;
  /// What an instance logged.
  QByteArray LogOf(const std::string& aName) const;

private:
  struct Instance
  {
    std::unique_ptr<QProcess> mProcess;
    quint16 mCallerPort = 0;
    quint16 mReadyPort = 0;
  };

  quint16 FreePort();

  Databases& mDatabases;
  Platform& mPlatform;
  Record& mRecord;
  QTemporaryDir mDirectory;
  std::set<quint16> mUsedPorts;
  std::map<std::string, Instance> mInstances;
};

/// A client's session. Waits for each answer.
class Client
{
public:
  struct Answer
  {
    double mSentAt = 0;
    double mAt = 0;
    std::string mId;
    QByteArray mText;
    /// Whether it is a success with a signature of a database.
    bool mIsSuccess = false;
    QByteArray mRow;
    QByteArray mError;
  };

  Client(Record& aRecord, std::string aName);

  /// Opens a session; returns whether it is READY.
  bool Open(quint16 aPort, const QByteArray& aDatabase);
  void Close();
  bool IsOpen() const;
  Answer Query(const QByteArray& aText, double aTimeoutMs = 3000);
  /// Sends without waiting.
  std::string Send(const QByteArray& aText);
  std::optional<Answer> TakeAnswer();

private:
  Record& mRecord;
  std::string mName;
  QTcpSocket mSocket;
  QByteArray mBuffer;
  size_t mRequests = 0;
  Answer mPending;
};

}
