#pragma once

#include <QProcess>
#include <QStringList>
#include <memory>

namespace papayaline {

/// A child process of a test. The destructor kills it.
class ChildProcess
{
public:
  /// Starts a binary, given by its path relative to the build directory.
  /// Standard error is appended to aLogFile or discarded without one. Standard
  /// output is appended to aOutputFile if given; WaitForPort() works only
  /// without it.
  ChildProcess(const QString& aBinary,
               const QStringList& aArguments,
               const QString& aLogFile = {},
               const QString& aOutputFile = {});
  ~ChildProcess();

  /// Waits for the line "listening on PORT" on standard output; returns the
  /// port, or 0 after a timeout.
  quint16 WaitForPort();

  void Kill();
  void Freeze();
  void Thaw();
  void Terminate();
  /// Waits until the process exits; returns its exit code, or -1 if it is still
  /// running after aTimeoutMs or was terminated by a signal.
  int WaitForExit(int aTimeoutMs);
  bool IsRunning() const;
  qint64 Pid() const { return mProcess->processId(); }

private:
  void SendSignal(int aSignal);

  std::unique_ptr<QProcess> mProcess;
};

}
