#pragma once

#include "LibUpstream/UpstreamConnection.h"
#include "LibUpstream/UpstreamDialect.h"

#include <QTimer>
#include <deque>

namespace papayaline {

/// How often the status of a database is requested while no operation awaits a
/// report.
enum class ProbeRate
{
  /// For the failover coordinators of the group.
  Fast,
  Slow,
};

/// Maintains the control connection to a database. It carries status requests,
/// at a regular interval and on demand, and failover commands.
/// Thread safety: one thread.
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

  /// Requests one status report; the status request is sent after this call.
  /// Calls before it is sent share it, and requests have a minimum interval.
  void RequestReport();

  /// Queues a failover command; it replaces an equal command that is still
  /// queued. The handler is not called if the connection is lost.
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
  void RunNext();
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
  Duration mProbeInterval;
  Instant mLastRequestAt;
  /// The start of the current wait for the database: its last answer, the last
  /// attempt to connect, or the first request after an idle period.
  Instant mLastActivityAt;
  QTimer mRequestTimer;
  bool mIsReportRequested = false;
  bool mIsInReportHandler = false;
  bool mHasBeenReady = false;
};

}
