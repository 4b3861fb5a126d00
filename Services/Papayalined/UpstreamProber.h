#pragma once

#include "LibUpstream/UpstreamConnection.h"
#include "LibUpstream/UpstreamDialect.h"

#include <QTimer>
#include <deque>

namespace papayaline {

/// How often a database is asked for its status while nobody waits for it.
enum class ProbeRate
{
  /// For instances that may replace the primary.
  Fast,
  Slow,
};

/// Keeps one control connection to a database: status requests, paced by
/// demand, and commands of the failover. Thread safety: one thread.
class UpstreamProber : public QObject
{
public:
  using ReportHandler = std::function<void(const UpstreamReport&)>;
  using FailureHandler = std::function<void()>;
  using CommandHandler = std::function<void(const CommandAnswered&)>;

  UpstreamProber(const GroupConfiguration& aGroup,
                 const UpstreamConfiguration& aUpstream,
                 QObject* aParent,
                 ReportHandler aOnReport,
                 FailureHandler aOnFailure);

  void SetProbeRate(ProbeRate aProbeRate);

  /// Asks for one report that is requested from now on, at a pace that keeps
  /// repeated demands cheap.
  void RequestReport();

  /// Sends a command; the handler is not called when the connection breaks.
  void Send(const SendCommand& aCommand,
            const Address& aTarget,
            CommandHandler aHandler);

private:
  struct PendingCommand
  {
    SendCommand mCommand;
    Address mTarget;
    CommandHandler mHandler;
  };

  void Connect();
  void OnClosed();
  void OnTimer();
  void Next();
  void RequestStatus();
  void RunCommand();
  void OnStatus(const BatchResult& aBatch, Instant aRequestedAt);

  GroupConfiguration mGroup;
  UpstreamConfiguration mUpstream;
  ReportHandler mOnReport;
  FailureHandler mOnFailure;
  std::unique_ptr<UpstreamConnection> mConnection;
  QTimer mTimer;
  std::deque<PendingCommand> mCommands;
  Duration mInterval;
  Instant mLastAsked;
  Instant mLastHeard;
  QTimer mPause;
  bool mIsDemanded = false;
  bool mIsReporting = false;
  bool mWasReady = false;
};

}
