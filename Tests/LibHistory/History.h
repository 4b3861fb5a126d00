#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayaline {

/// What a caller knows of a booking when it stops asking.
enum class BookingOutcome
{
  Acknowledged,
  NotRun,
  Unknown,
};

/// One booking with its own request id. Times are microseconds of the test's
/// monotonic clock.
struct Booking
{
  int64_t mId = 0;
  int mWorker = 0;
  BookingOutcome mOutcome = BookingOutcome::Unknown;
  int64_t mStartedUs = 0;
  int64_t mEndedUs = 0;

  bool operator==(const Booking&) const = default;
};

/// A worker's read of its own bookings.
struct OwnRead
{
  int mWorker = 0;
  int64_t mStartedUs = 0;
  std::vector<int64_t> mSeen;

  bool operator==(const OwnRead&) const = default;
};

/// A read of the newest tick under an allowed age.
struct AgedRead
{
  int64_t mStartedUs = 0;
  int64_t mMaxAgeUs = 0;
  int64_t mSeenTick = 0;

  bool operator==(const AgedRead&) const = default;
};

/// A numbered write whose acknowledgement time is known.
struct TickRecord
{
  int64_t mNumber = 0;
  int64_t mAcknowledgedUs = 0;

  bool operator==(const TickRecord&) const = default;
};

/// What callers saw, and what the databases held in the end.
struct History
{
  std::vector<Booking> mBookings;
  std::vector<OwnRead> mOwnReads;
  std::vector<AgedRead> mAgedReads;
  std::vector<TickRecord> mTicks;
  /// Answers that belonged to another request.
  std::vector<std::string> mWrongAnswers;
  /// How often each booking is in the newest primary at the end.
  std::map<int64_t, int> mFinal;
};

}
