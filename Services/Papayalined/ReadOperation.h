#pragma once

#include "LibDecision/ReadPolicy.h"
#include "Metrics.h"
#include "Operation.h"
#include "UpstreamPool.h"

namespace papayaline {

/// One read outside a transaction: chooses an upstream by evidence, runs, and
/// shows the answer once it may be shown.
class ReadOperation : public Operation
{
public:
  using Operation::Operation;

  StartResult TryStart(Instant aNow) override;
  void OnEvidence(Instant aNow) override;
  void OnDeadline() override;
  bool AwaitsEvidence() const override;

private:
  enum class Phase
  {
    Queued,
    Running,
    /// The primary answered; a majority must hold what it showed.
    Confirming,
  };

  ReadNeed Need() const;
  void RunAtReplica(std::optional<Instant> aFreshAt);
  void RunAtPrimary();
  void OnReplicaAnswer(const BatchResult& aBatch,
                       std::optional<Instant> aFreshAt);
  void OnPrimaryAnswer(const BatchResult& aBatch);
  void TryAgain();
  void BecomeWrite();
  void Count(Counter aFresh, Counter aAged) const;

  Phase mPhase = Phase::Queued;
  PooledConnection mConnection;
  UpstreamReport mChosen;
  Instant mStartedAt;
  Answer mAnswer;
  LogPosition mSeen;
};

}
