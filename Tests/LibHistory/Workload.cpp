#include "Workload.h"

#include <chrono>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr int64_t kGalleryMaxStalenessUs = 2'000'000;
constexpr int kMaxBookingAttempts = 12;
constexpr auto kPause = 3ms;
constexpr auto kRetryPause = 100ms;

int64_t
NowUs()
{
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch())
    .count();
}

/// Whether the error message guarantees that the request was not run.
bool
IsNotRun(const CallerResult& aResult)
{
  return !aResult.mIsLost &&
         aResult.mMessage.find("was not run") != std::string::npos;
}

}

Workload::Workload(const Cluster& aCluster, int aInstances, uint64_t aSeed)
  : mCluster(aCluster)
  , mInstances(aInstances)
  , mSeed(aSeed)
{
}

Caller&
Workload::Connections::ForInstance(int aInstance)
{
  const auto it = mCallers.find(aInstance);
  if (it != mCallers.end() && it->second.IsConnected()) {
    return it->second;
  }
  mCallers.erase(aInstance);
  return mCallers
    .emplace(aInstance, mCluster.Connect(aInstance, "bookings", {}, mUser))
    .first->second;
}

bool
Workload::Prepare()
{
  auto caller = mCluster.Connect(0);
  return caller.Run("CREATE TABLE visits (id INTEGER, worker INTEGER)").mIsOk &&
         caller.Run("CREATE TABLE ticks (n INTEGER)").mIsOk &&
         caller.Run("INSERT INTO ticks VALUES (0)").mIsOk;
}

void
Workload::Start(int aWorkers)
{
  mIsStopping = false;
  for (int it = 0; it < aWorkers; ++it) {
    mThreads.emplace_back(
      [this, it] { RunWorker(it, mSeed + static_cast<uint64_t>(it)); });
  }
  mThreads.emplace_back([this] { RunTicker(mSeed + 1000); });
}

void
Workload::Stop()
{
  mIsStopping = true;
  for (auto& it : mThreads) {
    it.join();
  }
  mThreads.clear();
}

int
Workload::PickInstance(Random& aRandom) const
{
  return std::uniform_int_distribution<int>(0, mInstances - 1)(aRandom);
}

void
Workload::RunWorker(int aWorker, uint64_t aSeed)
{
  Random random(aSeed);
  Connections agents(mCluster, "agents");
  Connections gallery(mCluster, "gallery");
  while (!mIsStopping) {
    WriteBooking(aWorker, agents, random);
    ReadOwn(aWorker, agents, random);
    ReadWithBoundedStaleness(gallery, random);
    std::this_thread::sleep_for(kPause);
  }
}

CallerResult
Workload::SendBooking(Caller& aCaller,
                      const Booking& aBooking,
                      bool aIsTransaction)
{
  const auto id = std::to_string(aBooking.mId);
  const auto insert = "INSERT INTO visits VALUES (" + id + ", " +
                      std::to_string(aBooking.mWorker) + ")";
  auto set = aCaller.Run("SET papayaline.request_id = 'booking-" + id + "'");
  if (!set.mIsOk || !aIsTransaction) {
    return set.mIsOk ? aCaller.Run(insert) : set;
  }
  aCaller.Run("BEGIN");
  const auto inserted = aCaller.Run(insert);
  if (!inserted.mIsOk) {
    aCaller.Run("ROLLBACK");
    return inserted;
  }
  return aCaller.Run("COMMIT");
}

/// Retries with the same request id until the outcome is known, at most
/// kMaxBookingAttempts times in all. If the first attempt fails as not run, the
/// booking ends as not run without a retry.
void
Workload::WriteBooking(int aWorker, Connections& aConnections, Random& aRandom)
{
  Booking booking;
  booking.mId = mNextId++;
  booking.mWorker = aWorker;
  booking.mStartedUs = NowUs();
  const bool isTransaction = aRandom() % 3 == 0;
  for (int it = 0; it < kMaxBookingAttempts; ++it) {
    auto& caller = aConnections.ForInstance(PickInstance(aRandom));
    const auto result = SendBooking(caller, booking, isTransaction);
    const bool ranBefore =
      result.mSqlState == "23505" &&
      result.mMessage.find("request-id-reused") != std::string::npos;
    if (result.mIsOk || ranBefore) {
      booking.mOutcome = BookingOutcome::Acknowledged;
      break;
    }
    if (IsNotRun(result) && it == 0) {
      booking.mOutcome = BookingOutcome::NotRun;
      break;
    }
    // An earlier attempt may have run, so from here on only a success
    // determines the outcome.
    booking.mOutcome = BookingOutcome::Unknown;
    if (mIsStopping) {
      break;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  booking.mEndedUs = NowUs();
  RecordBooking(booking);
}

void
Workload::RecordBooking(const Booking& aBooking)
{
  if (aBooking.mOutcome == BookingOutcome::Acknowledged) {
    ++mAcknowledged;
    const auto last = mLastAcknowledgedUs.exchange(aBooking.mEndedUs);
    const auto gap = last == 0 ? 0 : aBooking.mEndedUs - last;
    if (gap > mLongestGapUs) {
      mLongestGapUs = gap;
    }
  } else {
    ++(aBooking.mOutcome == BookingOutcome::NotRun ? mNotRun : mUnknown);
  }
  std::lock_guard lock(mMutex);
  mHistory.mBookings.push_back(aBooking);
}

void
Workload::ResetGap()
{
  mLongestGapUs = 0;
}

void
Workload::ReadOwn(int aWorker, Connections& aConnections, Random& aRandom)
{
  OwnRead read;
  read.mWorker = aWorker;
  auto& caller = aConnections.ForInstance(PickInstance(aRandom));
  read.mStartedUs = NowUs();
  const auto marker = std::to_string(aRandom() % 1'000'000);
  const auto result =
    caller.Run("SELECT id, '" + marker +
               "' FROM visits WHERE worker = " + std::to_string(aWorker));
  if (!result.mIsOk) {
    return;
  }
  std::vector<std::string> wrong;
  for (const auto& it : result.mRows) {
    if (it.size() != 2 || it[1] != marker) {
      wrong.push_back("expected marker " + marker);
      continue;
    }
    read.mSeen.push_back(std::stoll(it[0]));
  }
  std::lock_guard lock(mMutex);
  mHistory.mOwnReads.push_back(read);
  mHistory.mWrongAnswers.insert(
    mHistory.mWrongAnswers.end(), wrong.begin(), wrong.end());
}

void
Workload::ReadWithBoundedStaleness(Connections& aConnections, Random& aRandom)
{
  BoundedStalenessRead read;
  read.mMaxAgeUs = kGalleryMaxStalenessUs;
  auto& caller = aConnections.ForInstance(PickInstance(aRandom));
  read.mStartedUs = NowUs();
  const auto result = caller.Run("SELECT max(n) FROM ticks");
  if (!result.mIsOk || result.Cell().empty()) {
    return;
  }
  read.mSeenTick = std::stoll(result.Cell());
  std::lock_guard lock(mMutex);
  mHistory.mBoundedStalenessReads.push_back(read);
}

void
Workload::RunTicker(uint64_t aSeed)
{
  Random random(aSeed);
  Connections connections(mCluster, "agents");
  for (int64_t n = 1; !mIsStopping; ++n) {
    auto& caller = connections.ForInstance(PickInstance(random));
    const auto result =
      caller.Run("INSERT INTO ticks VALUES (" + std::to_string(n) + ")");
    if (result.mIsOk) {
      std::lock_guard lock(mMutex);
      mHistory.mTicks.push_back({ n, NowUs() });
    }
    std::this_thread::sleep_for(20ms);
  }
}

History
Workload::Finish()
{
  Stop();
  std::string primary;
  Cluster::WaitFor([&] {
    for (int it = 0; it < mInstances && primary.empty(); ++it) {
      primary = mCluster.Primary("bookings", it);
    }
    return !primary.empty();
  });
  if (primary.empty()) {
    mHistory.mWrongAnswers.emplace_back("no primary at the end");
    return mHistory;
  }
  auto direct = mCluster.ConnectDirect(primary);
  const auto result = direct.Run("SELECT id, count(*) FROM visits GROUP BY id");
  if (!result.mIsOk) {
    mHistory.mWrongAnswers.push_back("the final state can't be read: " +
                                     direct.ErrorText());
    return mHistory;
  }
  for (const auto& it : result.mRows) {
    mHistory.mFinalCounts[std::stoll(it[0])] = std::stoi(it[1]);
  }
  return mHistory;
}

}
