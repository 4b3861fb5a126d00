#pragma once

#include "ControlState.h"
#include "LibDecision/AdmissionQueue.h"
#include "LibDecision/ReadPolicy.h"
#include "LibDecision/RetryBudget.h"
#include "Operation.h"
#include "UpstreamPool.h"
#include "UpstreamProber.h"

#include <QTimer>
#include <map>

namespace papayaline {

/// Serves the requests for one group on one instance: pools the connections to
/// the group's databases, collects evidence from their status reports, and
/// queues and dispatches requests. Thread safety: the thread of its worker;
/// other threads post to it.
class GroupEngine : public QObject
{
  Q_OBJECT

public:
  GroupEngine(ControlState& aControlState, GroupConfiguration aGroup);
  ~GroupEngine() override;

  /// Applies a new configuration of the group, queue limit or number of live
  /// instances. Connections to unchanged addresses stay open.
  void Configure(const GroupConfiguration& aGroup,
                 unsigned aQueueLimit,
                 unsigned aLiveInstances);
  void SetProbeRate(ProbeRate aProbeRate);

  /// Queues a read and returns the operation's id for CancelQueuedRead.
  uint64_t SubmitRead(Request aRequest, ResponseHandler aHandler);
  void SubmitWrite(Request aRequest, ResponseHandler aHandler);
  void Submit(const std::shared_ptr<Operation>& aOperation);
  /// Adds an operation that already holds its connection and so bypasses the
  /// queue.
  void Track(const std::shared_ptr<Operation>& aOperation);

  /// Ends a queued operation with ErrorKind::Cancelled. An operation that has
  /// been dispatched is not affected.
  void CancelQueuedRead(uint64_t aOperationId);

  /// Sends a failover command to an upstream; its result is emitted as
  /// CommandCompleted. Ignored when the group has no such upstream.
  void SendCommand(const SendCommand& aCommand);

  /// The methods below are for operations.
  uint64_t NextOperationId() { return ++mLastOperationId; }
  void Requeue(Operation& aOperation);
  void Remove(Operation& aOperation);
  /// Requests a new status report from each upstream.
  void RequestEvidence();
  void RequestDispatch();
  const GroupConfiguration& Group() const { return mGroup; }
  size_t GroupSize() const { return mGroup.mUpstreams.size(); }
  const std::vector<UpstreamReport>& Reports() const { return mReports; }
  const FrontierHistory& Frontiers() const { return mFrontiers; }
  RetryBudget& GetRetryBudget() { return mRetryBudget; }
  ControlState& GetControlState() { return mControlState; }
  /// What a candidate for a read must have to be marked as usable.
  enum class UsableWhen
  {
    Reachable,
    /// Reachable, with a free slot and a connection that is idle or may be
    /// opened.
    ConnectionFree,
  };
  /// Returns a candidate for each entry of Reports, in the same order.
  std::vector<ReadCandidate> Candidates(UsableWhen aUsableWhen) const;
  PooledConnection TryAcquire(const std::string& aUpstream,
                              ConnectionUse aUse = ConnectionUse::Statement);
  struct PrimaryConnection
  {
    PooledConnection mConnection;
    std::string mUpstream;
  };
  /// Acquires a connection to the primary. Returns nothing while no primary
  /// accepts writes or no connection is free.
  std::optional<PrimaryConnection> TryAcquirePrimary(Instant aNow);
  /// Returns the primary if it accepts writes: it has a recent report, has not
  /// left the group and is not quiesced for a switchover.
  std::optional<std::string> WritablePrimary(Instant aNow) const;
  void ObserveServiceTime(Duration aServiceTime)
  {
    mQueue.ObserveServiceTime(aServiceTime);
  }
  QByteArray NextRequestId();
  size_t ActiveOperationCount() const { return mActiveOperations.size(); }

Q_SIGNALS:
  void ReportReceived(const QString& aGroup, const UpstreamReport& aReport);
  void UpstreamUnreachable(const QString& aGroup, const QString& aUpstream);
  void CommandCompleted(const QString& aGroup, const CommandAnswered& aAnswer);

private:
  struct Upstream
  {
    UpstreamConfiguration mConfiguration;
    std::unique_ptr<UpstreamProber> mProber;
    std::unique_ptr<UpstreamPool> mPool;
    Instant mLastReportAt;
    std::optional<Instant> mLeavingSince;
    std::optional<UpstreamReport> mLastForwardedReport;
    Instant mLastForwardedAt;
  };

  void AddUpstream(const UpstreamConfiguration& aUpstream);
  void OnReport(const UpstreamReport& aReport);
  void ForwardReport(const UpstreamReport& aReport, Instant aNow);
  void RecordFrontiers();
  void UpdatePrimary();
  void Dispatch();
  void OnTick();
  void ExpireLedger();
  void FinishAllWithError(const std::vector<uint64_t>& aIds,
                          const Error& aError);
  bool MayReceiveWork(const Upstream& aUpstream, Instant aNow) const;
  unsigned ConnectionLimit(const UpstreamConfiguration& aUpstream) const;

  ControlState& mControlState;
  GroupConfiguration mGroup;
  unsigned mLiveInstances = 1;
  ProbeRate mProbeRate = ProbeRate::Slow;
  std::map<std::string, Upstream> mUpstreams;
  std::vector<UpstreamReport> mReports;
  FrontierHistory mFrontiers;
  AdmissionQueue mQueue;
  RetryBudget mRetryBudget;
  std::map<uint64_t, std::shared_ptr<Operation>> mActiveOperations;
  uint64_t mLastOperationId = 0;
  uint64_t mLastRequestId = 0;
  std::string mPrimary;
  uint64_t mPrimaryTerm = 0;
  bool mIsDispatchPosted = false;
  QTimer mTickTimer;
  QTimer mLedgerExpiryTimer;
};

}
