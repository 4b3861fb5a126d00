#pragma once

#include "LibDecision/Instant.h"

namespace papayaline {

/// The phases of an instance's shutdown, in order. Each keeps the limits of the
/// ones before.
enum class DrainPhase
{
  /// The load balancer may not have noticed yet. Everything is accepted.
  Announced,
  /// Idle connections are closed, and no transaction is begun.
  ClosingIdle,
  /// Open transactions are rolled back.
  RollingBack,
  /// Statements and sessions are refused, since they might not end in time.
  /// Those in progress go on.
  Refusing,
  /// What is still in progress is answered, and all connections are closed.
  Ending,
  /// The process exits, whatever is left.
  Over,
};

/// When an instance that was told to stop enters each phase, so that all that
/// it has accepted is answered within the grace time. Pure; any thread.
class DrainPlan
{
public:
  /// aGracePeriod is the time until the process is killed.
  explicit DrainPlan(Duration aGracePeriod)
    : mGracePeriod(aGracePeriod)
  {
  }

  /// The phase at aElapsed after the signal.
  DrainPhase PhaseAt(Duration aElapsed) const;

private:
  Duration mGracePeriod;
};

}
