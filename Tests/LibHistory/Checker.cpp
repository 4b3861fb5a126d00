#include "Checker.h"

#include <algorithm>

namespace papayaline {

namespace {

using Violations = std::vector<std::string>;

int
CountOf(const History& aHistory, int64_t aBooking)
{
  const auto it = aHistory.mFinalCounts.find(aBooking);
  return it != aHistory.mFinalCounts.end() ? it->second : 0;
}

void
CheckBookings(const History& aHistory, Violations& aViolations)
{
  for (const auto& it : aHistory.mBookings) {
    const int n = CountOf(aHistory, it.mId);
    const auto name = "booking " + std::to_string(it.mId);
    if (it.mOutcome == BookingOutcome::Acknowledged && n == 0) {
      aViolations.push_back(name + " was acknowledged but is lost");
    }
    if (it.mOutcome == BookingOutcome::NotRun && n > 0) {
      aViolations.push_back(name + " was refused as not run but took effect");
    }
    if (n > 1) {
      aViolations.push_back(name + " ran " + std::to_string(n) + " times");
    }
  }
}

void
CheckOwnReads(const History& aHistory, Violations& aViolations)
{
  for (const auto& read : aHistory.mOwnReads) {
    for (const auto& it : aHistory.mBookings) {
      const bool mustBeSeen = it.mWorker == read.mWorker &&
                              it.mOutcome == BookingOutcome::Acknowledged &&
                              it.mEndedUs <= read.mStartedUs;
      if (mustBeSeen &&
          std::ranges::find(read.mSeen, it.mId) == read.mSeen.end()) {
        aViolations.push_back("worker " + std::to_string(read.mWorker) +
                              " does not read its own booking " +
                              std::to_string(it.mId));
      }
    }
    for (const auto it : read.mSeen) {
      if (CountOf(aHistory, it) == 0) {
        aViolations.push_back("booking " + std::to_string(it) +
                              " was read but is missing at the end");
      }
    }
  }
}

void
CheckStaleness(const History& aHistory, Violations& aViolations)
{
  for (const auto& read : aHistory.mBoundedStalenessReads) {
    const auto oldest = read.mStartedUs - read.mMaxAgeUs;
    for (const auto& it : aHistory.mTicks) {
      if (it.mAcknowledgedUs <= oldest && it.mNumber > read.mSeenTick) {
        aViolations.push_back("a read returned tick " +
                              std::to_string(read.mSeenTick) + " when tick " +
                              std::to_string(it.mNumber) +
                              " was older than the allowed age");
        break;
      }
    }
  }
}

}

Violations
CheckHistory(const History& aHistory)
{
  Violations violations;
  CheckBookings(aHistory, violations);
  CheckOwnReads(aHistory, violations);
  CheckStaleness(aHistory, violations);
  for (const auto& it : aHistory.mWrongAnswers) {
    violations.push_back("wrong answer: " + it);
  }
  return violations;
}

}
