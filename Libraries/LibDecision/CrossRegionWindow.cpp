#include "LibDecision/CrossRegionWindow.h"

#include <algorithm>

namespace papayaline {

namespace {

/// Answers in a round; at least as many as the window.
constexpr unsigned kMinRound = 8;
/// Waiting at the link beyond this shows that it is full: a quarter of the
/// shortest usual target latency.
constexpr Duration kMaxLinkWait = std::chrono::milliseconds(50);
/// The part of the difference by which the shortest answer time rises with each
/// round.
constexpr int kShortestRise = 64;

}

void
CrossRegionWindow::OnSent()
{
  ++mInFlight;
  mWasFull |= !HasRoom();
}

void
CrossRegionWindow::OnAnswered(Duration aAnswerTime)
{
  mInFlight -= std::min(mInFlight, 1U);
  mShortestOfRound =
    std::min(mShortestOfRound.value_or(aAnswerTime), aAnswerTime);
  if (++mAnswers >= std::max(kMinRound, mWindow)) {
    EndRound();
  }
}

void
CrossRegionWindow::OnLost()
{
  mInFlight -= std::min(mInFlight, 1U);
}

void
CrossRegionWindow::EndRound()
{
  const auto ofRound = *mShortestOfRound;
  auto& shortest = mShortest;
  shortest = std::min(shortest.value_or(ofRound), ofRound);
  if (ofRound > *shortest + kMaxLinkWait) {
    mWindow = std::max(mWindow / 2, 1U);
  } else if (mWasFull) {
    mWindow = std::min(mWindow + 1, kMaxWindow);
  }
  *shortest += (ofRound - *shortest) / kShortestRise;
  mAnswers = 0;
  mShortestOfRound.reset();
  mWasFull = false;
}

}
