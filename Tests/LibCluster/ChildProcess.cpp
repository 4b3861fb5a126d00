#include "ChildProcess.h"

#include <csignal>

namespace papayaline {

namespace {

constexpr int kStartTimeoutMs = 10'000;

}

ChildProcess::ChildProcess(const QString& aBinary,
                           const QStringList& aArguments,
                           const QString& aLogFile,
                           const QString& aOutputFile)
  : mProcess(std::make_unique<QProcess>())
{
  if (aLogFile.isEmpty()) {
    mProcess->setStandardErrorFile(QProcess::nullDevice());
  } else {
    mProcess->setStandardErrorFile(aLogFile, QIODevice::Append);
  }
  if (!aOutputFile.isEmpty()) {
    mProcess->setStandardOutputFile(aOutputFile, QIODevice::Append);
  }
  mProcess->start(QString(PAPAYALINE_BINARY_DIR) + "/" + aBinary, aArguments);
  mProcess->waitForStarted(kStartTimeoutMs);
}

ChildProcess::~ChildProcess()
{
  Kill();
}

quint16
ChildProcess::WaitForPort()
{
  while (!mProcess->canReadLine()) {
    if (!mProcess->waitForReadyRead(kStartTimeoutMs)) {
      return 0;
    }
  }
  return mProcess->readLine().trimmed().split(' ').last().toUShort();
}

bool
ChildProcess::IsRunning() const
{
  return mProcess->state() != QProcess::NotRunning;
}

void
ChildProcess::SendSignal(int aSignal)
{
  if (IsRunning()) {
    ::kill(static_cast<pid_t>(mProcess->processId()), aSignal);
  }
}

void
ChildProcess::Kill()
{
  if (IsRunning()) {
    mProcess->kill();
    mProcess->waitForFinished(kStartTimeoutMs);
  }
}

void
ChildProcess::Freeze()
{
  SendSignal(SIGSTOP);
}

void
ChildProcess::Thaw()
{
  SendSignal(SIGCONT);
}

void
ChildProcess::Terminate()
{
  SendSignal(SIGTERM);
}

int
ChildProcess::WaitForExit(int aTimeoutMs)
{
  const bool hasEnded = !IsRunning() || mProcess->waitForFinished(aTimeoutMs);
  const bool isNormal =
    hasEnded && mProcess->exitStatus() == QProcess::NormalExit;
  return isNormal ? mProcess->exitCode() : -1;
}

}
