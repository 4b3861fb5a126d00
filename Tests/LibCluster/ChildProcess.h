#pragma once

#include <QProcess>
#include <QStringList>
#include <memory>

namespace papayaline {

/// A process of a test; it is killed with the object.
class ChildProcess
{
public:
  /// Starts a binary of the build by its path below the build folder. Standard
  /// error and output are appended to the files, if given; without aOutputFile
  /// the output can be waited for.
  ChildProcess(const QString& aBinary,
               const QStringList& aArguments,
               const QString& aLogFile = {},
               const QString& aOutputFile = {});
  ~ChildProcess();

  /// Waits for "listening on PORT" on standard output.
  quint16 WaitForPort();

  void Kill();
  void Freeze();
  void Thaw();
  void Terminate();
  /// Waits for the end; returns the exit code, or -1 when it goes on or was
  /// killed.
  int WaitForExit(int aTimeoutMs);
  bool IsRunning() const;
  qint64 Pid() const { return mProcess->processId(); }

private:
  void Signal(int aSignal);

  std::unique_ptr<QProcess> mProcess;
};

}
