#pragma once

#include "LibDecision/Instant.h"

#include <optional>

namespace papayaline {

/// Bounds the statements that an instance sends to another region by choice and
/// that are not answered yet.
///
/// All traffic between two regions shares one link, whose bandwidth no instance
/// knows. The shortest answer time of several answers in a row contains little
/// waiting at databases; when it rises well above the shortest one known,
/// packets wait at the link. The window is then halved; otherwise it grows by
/// one for each round of answers while it is in use. Thread safety: one thread.
class CrossRegionWindow
{
public:
  /// Whether another statement may be sent; OnSent and OnAnswered or OnLost
  /// follow.
  bool HasRoom() const { return mInFlight < mWindow; }
  void OnSent();
  void OnAnswered(Duration aAnswerTime);
  /// No answer came, or the statement was cancelled.
  void OnLost();

  unsigned Window() const { return mWindow; }

private:
  void EndRound();

  static constexpr unsigned kInitialWindow = 1;
  /// Statements of one instance; above what its processor share can have in
  /// flight.
  static constexpr unsigned kMaxWindow = 256;

  unsigned mWindow = kInitialWindow;
  unsigned mInFlight = 0;
  /// Whether the window was full in this round.
  bool mWasFull = false;
  unsigned mAnswers = 0;
  std::optional<Duration> mShortestOfRound;
  /// Rises slowly, since the way may become longer.
  std::optional<Duration> mShortest;
};

}
