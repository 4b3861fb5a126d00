#pragma once

#include "LibPeer/HomeDirectory.h"
#include "LibPeer/PeerPool.h"

#include <list>

namespace papayaline {

struct ForwardCounts
{
  uint64_t mForwarded = 0;
  /// Passed to another instance after one did not take it.
  uint64_t mRerouted = 0;
  /// Given to another instance because this one is cut off from the group.
  uint64_t mDetours = 0;
};

/// Runs the statements of this instance's callers on one group: here where this
/// instance is home to it, else at one that is.
///
/// A statement is given to another instance only while it can't have run at the
/// one before: that one was never reached, said that it did not run, or the
/// statement changes nothing. A write or commit whose instance was lost is in
/// doubt. An instance that was given a statement runs or refuses it and never
/// passes it on, so it takes one hop at most. Thread safety: one thread.
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
  void Continue(const std::shared_ptr<TransactionHold>& aHold,
                RelayRequest aRequest,
                OutcomeHandler aHandler) override;
  void Cancel(const SessionState& aSession) override;
  void Abandon(const std::shared_ptr<TransactionHold>& aHold) override;

private:
  /// A statement from its arrival to its answer, over all instances.
  struct Trip
  {
    RelayRequest mRequest;
    OutcomeHandler mHandler;
    std::set<std::string> mTried;
    /// The call under way; 0 while there is none.
    uint64_t mCall = 0;
    bool mWasRefusedHere = false;
    /// Belongs to a transaction that another instance holds.
    bool mIsContinued = false;
  };
  using TripPointer = std::shared_ptr<Trip>;

  void Route(const TripPointer& aTrip);
  std::optional<std::string> ChooseInstance(const Trip& aTrip) const;
  void RunHere(const TripPointer& aTrip);
  void Forward(const TripPointer& aTrip,
               const std::string& aPeer,
               uint64_t aTransaction);
  void OnOutcome(const TripPointer& aTrip,
                 const std::string& aPeer,
                 const ForwardOutcome& aOutcome);
  void OnNotRun(const TripPointer& aTrip, const std::string& aPeer);
  void OnLost(const TripPointer& aTrip, const std::string& aPeer);
  bool MayTryElsewhere(const Trip& aTrip, const Error& aError) const;
  void Finish(const TripPointer& aTrip, const RelayOutcome& aOutcome);
  void Refuse(const TripPointer& aTrip,
              const std::string& aPeer,
              const Error& aError);

  std::shared_ptr<RelayGroup> mGroup;
  HomeDirectory& mHomes;
  PeerPool& mPeers;
  PeerPool::Clock mClock;
  PeerPool::LogSink mLog;
  ForwardCounts& mCounts;
  std::list<TripPointer> mTrips;
};

}
