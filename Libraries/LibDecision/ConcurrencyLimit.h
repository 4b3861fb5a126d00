#pragma once

#include "LibDecision/Instant.h"

#include <optional>

namespace papayaline {

/// Limits the statements that one instance has running at one database at the
/// same time. More than the database's slots only wait there, in the order of
/// their arrival and behind statements of other instances; statements that wait
/// at the instance are sent in the order of their priority and can be refused
/// before they run.
///
/// The limit follows the answer time. While it is several times the shortest
/// smoothed answer time seen, statements wait at the database and the limit
/// falls; while it is short, the limit rises by one for each round of answers.
/// No information about other instances is needed. Thread safety: one thread.
class ConcurrencyLimit
{
public:
  /// Records the answer time of a statement. aRunning is the number of
  /// statements that were running, this one included.
  void OnAnswered(Duration aAnswerTime, unsigned aRunning);

  /// The number of statements that may run at the same time; at least 1.
  unsigned Limit() const { return mLimit; }
  /// The smoothed answer time.
  Duration AnswerTime() const { return mAnswerTime; }

private:
  void Adapt(unsigned aRunning);

  static constexpr unsigned kInitialLimit = 4;
  static constexpr unsigned kMaxLimit = 64;
  static constexpr Duration kUsualAnswerTime = std::chrono::milliseconds(10);

  unsigned mLimit = kInitialLimit;
  /// Starts at a usual value, so that a slow first answer, as after a restart,
  /// does not stand for all.
  Duration mAnswerTime = kUsualAnswerTime;
  /// The shortest smoothed answer time; empty before the first answer. It rises
  /// slowly towards the present one while only one statement may run, since no
  /// other statement of this instance then delays the answers.
  std::optional<Duration> mShortestAnswerTime;
  /// Answers since the limit was last adapted.
  unsigned mAnswers = 0;
};

}
