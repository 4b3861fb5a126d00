#pragma once

#include "LibDecision/ReadPolicy.h"
#include "Metrics.h"
#include "Operation.h"
#include "UpstreamPool.h"

namespace papayaline {

/// A read outside a transaction. Runs on an upstream that the evidence proves
/// to be recent enough, and returns the result once it is confirmed.
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
    /// The primary returned a result; a majority must hold the position that
    /// it reflects.
    Confirming,
  };

  ReadRequirements Requirements() const;
  void RunAtReplica(std::optional<Instant> aFreshAt);
  void RunAtPrimary();
  void OnReplicaResult(const BatchResult& aBatch,
                       std::optional<Instant> aFreshAt);
  void OnPrimaryResult(const BatchResult& aBatch);
  void Retry();
  void ResubmitAsWrite();
  void CountRead(Counter aFreshCounter, Counter aAgedCounter) const;

  Phase mPhase = Phase::Queued;
  PooledConnection mConnection;
  /// The report of the chosen upstream, as of the choice.
  UpstreamReport mChosenReport;
  Instant mStartedAt;
  Response mResponse;
  /// The log position that the result from the primary reflects.
  LogPosition mReadPosition;
};

}
