#include "LibDecision/ConcurrencyLimit.h"

#include <algorithm>

namespace papayaline {

namespace {

/// A new answer time counts for 1 / kSmoothing of the smoothed one.
constexpr int kSmoothing = 8;
/// The part of the difference by which the shortest answer time rises with each
/// answer.
constexpr int kShortestRise = 64;
/// An answer time of more than this many times the shortest one shows that
/// statements wait at the database.
constexpr int kQueueingFactor = 2;
/// With an answer time of less than two thirds of that, more statements may
/// run.
constexpr auto kIdlePart = std::ratio<2, 3>();
/// The part of the limit that is taken away while statements wait.
constexpr unsigned kDecreaseDivisor = 4;

}

void
ConcurrencyLimit::OnAnswered(Duration aAnswerTime, unsigned aRunning)
{
  mAnswerTime += (aAnswerTime - mAnswerTime) / kSmoothing;
  auto& shortest = mShortestAnswerTime;
  shortest = std::min(shortest.value_or(mAnswerTime), mAnswerTime);
  if (mLimit == 1) {
    *shortest += (mAnswerTime - *shortest) / kShortestRise;
  }
  if (++mAnswers >= mLimit) {
    mAnswers = 0;
    Adapt(aRunning);
  }
}

void
ConcurrencyLimit::Adapt(unsigned aRunning)
{
  const auto queueing = *mShortestAnswerTime * kQueueingFactor;
  if (mAnswerTime > queueing) {
    mLimit -= std::min(mLimit - 1, std::max(mLimit / kDecreaseDivisor, 1U));
  } else if (aRunning >= mLimit &&
             mAnswerTime * kIdlePart.den < queueing * kIdlePart.num) {
    mLimit = std::min(mLimit + 1, kMaxLimit);
  }
}

}
