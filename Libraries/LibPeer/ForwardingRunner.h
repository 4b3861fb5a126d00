#pragma once

#include "LibPeer/HomeDirectory.h"
#include "LibPeer/HomeExchange.h"
#include "LibPeer/PeerPool.h"

#include <list>

namespace papayaline {

struct ForwardCounts
{
  uint64_t mForwarded = 0;
  /// Forwarded again, to a further instance, after an earlier attempt failed.
  uint64_t mRerouted = 0;
  /// Forwarded because this instance is partitioned from the group.
  uint64_t mDetours = 0;
  /// Forwarded to another home than the preferred one, which would not have
  /// served them in time.
  uint64_t mMovedForWait = 0;
  /// Refused here, since no home would have served them in time.
  uint64_t mRefusedForWait = 0;
  /// Sent to another home than the nearest one, because leaving pays.
  uint64_t mLeft = 0;
  /// Statements forwarded, and the size of the texts and rows of those
  /// answered, in bytes, by Distance.
  std::array<uint64_t, 3> mByDistance{};
  std::array<uint64_t, 3> mBytesByDistance{};
  /// The share that leaves the nearest home, by group; only those above 0.
  std::map<std::string, double> mLeavingShares;
};

/// Runs the statements of this instance's callers on one group: locally when
/// ChooseHome prefers this instance, otherwise by forwarding them to a home of
/// the group.
///
/// A statement is retried at another instance only if it can't have run at the
/// previous one, which was unreachable or answered that it did not run it, or
/// if the statement changes nothing. The outcome of a write or commit is
/// unknown if the connection to its instance is lost. An instance runs or
/// rejects a forwarded statement and never forwards it again, so a statement
/// takes one hop at most. Thread safety: one thread.
class ForwardingRunner : public StatementRunner
{
public:
  ForwardingRunner(std::shared_ptr<RelayGroup> aGroup,
                   HomeDirectory& aHomes,
                   PeerPool& aPeers,
                   PeerPool::Clock aClock,
                   PeerPool::LogSink aLog,
                   ForwardCounts& aCounts);

  void Submit(RelayRequest aRequest, OutcomeHandler aHandler) override;
  void Continue(const std::shared_ptr<OpenTransaction>& aTransaction,
                RelayRequest aRequest,
                OutcomeHandler aHandler) override;
  bool Cancel(const SessionState& aSession) override;
  void RollBack(const std::shared_ptr<OpenTransaction>& aTransaction) override;

private:
  /// A statement from its arrival to its answer, over all attempts.
  struct PendingRequest
  {
    RelayRequest mRequest;
    OutcomeHandler mHandler;
    std::set<std::string> mTriedPeers;
    /// The call in flight; 0 while there is none.
    uint64_t mCallId = 0;
    bool mWasRefusedLocally = false;
    /// The statement belongs to a transaction that is open at another instance.
    bool mIsInOpenTransaction = false;
    /// The home that HomeExchange chose, until the statement ends there.
    std::optional<HomeExchange::Choice> mExchanged;
    Instant mSentAt;
  };
  using PendingRequestPointer = std::shared_ptr<PendingRequest>;

  void Reroute(const PendingRequestPointer& aPending, const std::string& aPeer);
  std::optional<std::string> ChooseInstance(
    const PendingRequest& aPending) const;
  std::vector<HomeCandidate> Candidates(const PendingRequest& aPending) const;
  HomeRequirements RequirementsOf(const PendingRequest& aPending) const;
  /// Chooses the instance for a statement that none was tried for; empty when
  /// it runs here. Errors: QueueFull when no home can serve it in time.
  Result<std::optional<std::string>> ChooseFirst(
    const PendingRequestPointer& aPending);
  /// Lets a share of the statements go to a home in another failure domain than
  /// the nearest one's while that pays. Returns the index of a candidate.
  size_t ChooseDomain(const PendingRequestPointer& aPending,
                      std::span<const HomeCandidate> aCandidates,
                      size_t aNearest);
  /// Changes the choice of a home by the expected waits. Errors: QueueFull when
  /// no home can serve the statement in time.
  Result<size_t> ChooseForWait(const PendingRequest& aPending,
                               std::span<const HomeCandidate> aCandidates,
                               size_t aPreferred);
  std::optional<Duration> WaitAt(const std::string& aHome,
                                 const RelayRequest& aRequest) const;
  void RefuseForWait(const PendingRequestPointer& aPending,
                     const Error& aError);
  void Send(const PendingRequestPointer& aPending,
            const std::optional<std::string>& aInstance);
  void EndExchange(PendingRequest& aPending, HomeExchange::Ending aEnding);
  void RunLocally(const PendingRequestPointer& aPending);
  void Forward(const PendingRequestPointer& aPending,
               const std::string& aPeer,
               uint64_t aTransaction);
  void OnOutcome(const PendingRequestPointer& aPending,
                 const std::string& aPeer,
                 const ForwardOutcome& aOutcome);
  void OnNotRun(const PendingRequestPointer& aPending,
                const std::string& aPeer);
  void OnUnknownOutcome(const PendingRequestPointer& aPending,
                        const std::string& aPeer);
  bool MayReroute(const PendingRequest& aPending, const Error& aError) const;
  void Finish(const PendingRequestPointer& aPending,
              const RelayOutcome& aOutcome);
  void FinishWithError(const PendingRequestPointer& aPending,
                       const std::string& aPeer,
                       const Error& aError);

  std::shared_ptr<RelayGroup> mGroup;
  HomeDirectory& mHomes;
  PeerPool& mPeers;
  PeerPool::Clock mClock;
  PeerPool::LogSink mLog;
  ForwardCounts& mCounts;
  HomeExchange mExchange;
  std::list<PendingRequestPointer> mPendingRequests;
  LoadNews mNews;
};

}
