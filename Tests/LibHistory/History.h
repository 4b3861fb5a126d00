#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayaline {

/// The outcome of a booking as known to its caller after the last retry.
enum class BookingOutcome
{
  Acknowledged,
  NotRun,
  Unknown,
};

/// One booking with its own request id. Times are in microseconds of the
/// monotonic clock of the test process.
struct Booking
{
  int64_t mId = 0;
  int mWorker = 0;
  BookingOutcome mOutcome = BookingOutcome::Unknown;
  int64_t mStartedUs = 0;
  int64_t mEndedUs = 0;

  bool operator==(const Booking&) const = default;
};

/// A read-your-writes read of a worker's own bookings.
struct OwnRead
{
  int mWorker = 0;
  int64_t mStartedUs = 0;
  std::vector<int64_t> mSeen;

  bool operator==(const OwnRead&) const = default;
};

/// A read of the highest tick with bounded staleness.
struct BoundedStalenessRead
{
  int64_t mStartedUs = 0;
  int64_t mMaxAgeUs = 0;
  int64_t mSeenTick = 0;

  bool operator==(const BoundedStalenessRead&) const = default;
};

/// A numbered write and the time of its acknowledgement.
struct TickRecord
{
  int64_t mNumber = 0;
  int64_t mAcknowledgedUs = 0;

  bool operator==(const TickRecord&) const = default;
};

/// The observations of all callers and the final state of the database.
struct History
{
  std::vector<Booking> mBookings;
  std::vector<OwnRead> mOwnReads;
  std::vector<BoundedStalenessRead> mBoundedStalenessReads;
  std::vector<TickRecord> mTicks;
  /// Responses that belong to another request, and failures to read the final
  /// state.
  std::vector<std::string> mWrongAnswers;
  /// The number of rows of each booking at the last primary.
  std::map<int64_t, int> mFinalCounts;
};

}
