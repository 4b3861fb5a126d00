#pragma once

#include "Blackboard.h"
#include "LibDecision/AdmissionQueue.h"
#include "LibDecision/ReadPolicy.h"
#include "LibDecision/RetryBudget.h"
#include "Operation.h"
#include "UpstreamPool.h"
#include "UpstreamProber.h"

#include <QTimer>
#include <map>

namespace papayaline {

/// Serves the requests for one group on one instance: connections, evidence,
/// admission and dispatch. Lives on one worker; other threads post to it.
class GroupEngine : public QObject
{
  Q_OBJECT

public:
  GroupEngine(Blackboard& aBlackboard, GroupConfiguration aGroup);
  ~GroupEngine() override;

  /// Takes a new configuration or number of live instances.
  void Configure(const GroupConfiguration& aGroup,
                 unsigned aQueueLimit,
                 unsigned aLiveInstances);
  void SetPace(ProbePace aPace);

  /// Returns the operation's id, with which it can be cancelled.
  uint64_t SubmitRead(Request aRequest, AnswerHandler aHandler);
  void SubmitWrite(Request aRequest, AnswerHandler aHandler);
  void Submit(const std::shared_ptr<Operation>& aOperation);
  /// Adds an operation that already has its connection.
  void Track(const std::shared_ptr<Operation>& aOperation);

  /// Ends a read that still waits for an upstream; others go on.
  void CancelQueuedRead(uint64_t aOperationId);

  /// Sends a failover command; answers arrive as the signal CommandAnswer.
  void SendCommand(const SendCommand& aCommand);

  /// What operations use.
  uint64_t NextOperationId() { return ++mLastOperationId; }
  void Requeue(Operation& aOperation);
  void Remove(Operation& aOperation);
  void RequestEvidence();
  void RequestDispatch();
  const GroupConfiguration& Group() const { return mGroup; }
  size_t GroupSize() const { return mGroup.mUpstreams.size(); }
  const std::vector<UpstreamReport>& Reports() const { return mReports; }
  const FrontierHistory& Frontiers() const { return mFrontiers; }
  RetryBudget& Retries() { return mRetries; }
  Blackboard& Board() { return mBlackboard; }
  /// Candidates in the order of Reports; only those with an idle connection are
  /// usable when aOnlyIdle is given.
  enum class Usable
  {
    Up,
    Idle,
  };
  std::vector<ReadCandidate> Candidates(Usable aUsable) const;
  PooledConnection TryAcquire(const std::string& aUpstream,
                              ConnectionUse aUse = ConnectionUse::Statement);
  /// A connection to the primary, when it may be given writes and one is free.
  struct PrimaryConnection
  {
    PooledConnection mConnection;
    std::string mUpstream;
  };
  std::optional<PrimaryConnection> TryAcquirePrimary(Instant aNow);
  /// The primary that may be given writes now, or nothing.
  std::optional<std::string> WritablePrimary(Instant aNow) const;
  void ObserveService(Duration aService) { mQueue.ObserveService(aService); }
  QByteArray NextRequestId();
  size_t ActiveCount() const { return mActive.size(); }

Q_SIGNALS:
  void Reported(const QString& aGroup, const UpstreamReport& aReport);
  void UpstreamFailing(const QString& aGroup, const QString& aUpstream);
  void CommandAnswer(const QString& aGroup, const CommandAnswered& aAnswer);

private:
  struct Upstream
  {
    UpstreamConfiguration mConfiguration;
    std::unique_ptr<UpstreamProber> mProber;
    std::unique_ptr<UpstreamPool> mPool;
    Instant mHeardAt;
    std::optional<Instant> mLeavingSince;
    std::optional<UpstreamReport> mForwarded;
    Instant mForwardedAt;
  };

  void AddUpstream(const UpstreamConfiguration& aUpstream);
  void OnReport(const UpstreamReport& aReport);
  void ForwardReport(const UpstreamReport& aReport, Instant aNow);
  void RecordFrontiers();
  void FollowPrimary();
  void Dispatch();
  void OnTick();
  void ExpireLedger();
  void RefuseAll(const std::vector<uint64_t>& aIds, const Error& aError);
  bool MayReceiveWork(const Upstream& aUpstream, Instant aNow) const;
  unsigned WorkLimit(const UpstreamConfiguration& aUpstream) const;

  Blackboard& mBlackboard;
  GroupConfiguration mGroup;
  unsigned mLiveInstances = 1;
  ProbePace mPace = ProbePace::Slow;
  std::map<std::string, Upstream> mUpstreams;
  std::vector<UpstreamReport> mReports;
  FrontierHistory mFrontiers;
  AdmissionQueue mQueue;
  RetryBudget mRetries;
  std::map<uint64_t, std::shared_ptr<Operation>> mActive;
  uint64_t mLastOperationId = 0;
  uint64_t mLastRequestId = 0;
  std::string mPrimary;
  uint64_t mPrimaryTerm = 0;
  bool mIsDispatchPosted = false;
  QTimer mTick;
  QTimer mExpiry;
};

}
