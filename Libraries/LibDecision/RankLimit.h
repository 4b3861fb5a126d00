#pragma once

#include "LibDecision/ConcurrencyLimit.h"

#include <map>

namespace papayaline {

/// How much of an instance's concurrency at one database statements of a lower
/// rank may use, so that those of the ranks above find a slot there. Instances
/// know only their own queue, and at the database a statement of the first rank
/// waits behind whatever the others have sent.
///
/// While statements wait at the database for longer than those of the ranks
/// above tolerate, the part of the lower rank falls; it rises again while they
/// don't. A database at which statements wait has no idle slot, so what is held
/// back leaves none unused. No statement of the ranks above need arrive here.
/// Thread safety: one thread.
class RankLimit
{
public:
  /// Records an answer of the database. aTolerances holds, by rank, how long
  /// statements of that rank may make those of the ranks above wait at the
  /// database; ranks that are absent are not limited.
  void OnAnswered(const ConcurrencyLimit& aConcurrency,
                  const std::map<unsigned, Duration>& aTolerances,
                  Instant aNow);

  /// Records that a statement of the rank was sent to the database.
  void OnStarted(unsigned aRank, Instant aNow);

  /// Whether one more statement of the rank may be sent, while aRunning of this
  /// rank and lower ones run at the database.
  bool MayStart(const ConcurrencyLimit& aConcurrency,
                unsigned aRank,
                unsigned aRunning,
                Instant aNow) const;

  /// The part of the concurrency that the rank may use, above 0 and at most 1.
  double PartOf(unsigned aRank) const;

private:
  struct Share
  {
    double mPart = 1;
    Instant mAdaptedAt;
    Instant mStartedAt;
  };

  std::map<unsigned, Share> mShares;
};

}
