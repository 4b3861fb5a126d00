#include "LoadWorld.h"

#include <algorithm>

namespace papayaline {

LoadWorld::Database&
LoadWorld::Find(const std::string& aName)
{
  return *std::ranges::find(mDatabases, aName, &Database::mName);
}

bool
LoadWorld::Enqueue(Database& aDatabase, Job aJob)
{
  if (aDatabase.mRunning < mPattern.mSlots) {
    StartJob(aDatabase, std::move(aJob));
    return true;
  }
  if (aDatabase.mQueue.size() >= mPattern.mQueue) {
    return false;
  }
  aDatabase.mQueue.push_back(std::move(aJob));
  return true;
}

void
LoadWorld::StartJob(Database& aDatabase, Job aJob)
{
  ++aDatabase.mRunning;
  const auto time = aJob.mServiceTime;
  aDatabase.mBusyTime += IsFault(mNow) ? time : Duration{};
  Schedule(time, [this, &aDatabase, done = std::move(aJob.mOnDone)] {
    --aDatabase.mRunning;
    if (!aDatabase.mQueue.empty()) {
      auto next = std::move(aDatabase.mQueue.front());
      aDatabase.mQueue.pop_front();
      StartJob(aDatabase, std::move(next));
    }
    done();
  });
}

LogPosition
LoadWorld::PositionOf(const Database& aDatabase, size_t aSize)
{
  return { aDatabase.mTerm, aSize };
}

StatementAnswer
LoadWorld::Execute(Database& aDatabase, const UpstreamCommand& aCommand)
{
  StatementAnswer answer;
  answer.mSignature = "s";
  const bool isPrimary = aDatabase.mRole == Role::Primary;
  const bool isWrite = aCommand.mText.starts_with("WRITE");
  const bool isLagging =
    aCommand.mMinPosition &&
    PositionOf(aDatabase, aDatabase.mApplied) < *aCommand.mMinPosition;
  if (isWrite && !isPrimary) {
    answer.mError = Error{ ErrorKind::NotPrimary, "" };
  } else if (isLagging) {
    answer.mError = Error{ ErrorKind::TooStale, "" };
  } else if (isWrite) {
    aDatabase.mLog.push_back(mNow);
    aDatabase.mApplied = aDatabase.mLog.size();
  }
  const bool isFence = aCommand.mType == CommandType::Fence;
  if (isFence && !isPrimary && aCommand.mTerm > aDatabase.mTerm) {
    aDatabase.mFencedTerm = aCommand.mTerm;
  } else if (aCommand.mType == CommandType::Resume) {
    aDatabase.mFencedTerm = 0;
  }
  const auto received = PositionOf(aDatabase, aDatabase.mLog.size());
  answer.mRows = { std::string(isPrimary ? "primary" : "replica") + " " +
                   std::to_string(aDatabase.mTerm) + " " +
                   std::to_string(received.mTerm) + "." +
                   std::to_string(received.mOffset) + " " +
                   std::to_string(aDatabase.mFencedTerm) + " 0 " +
                   std::to_string(aDatabase.mRunning) + " " +
                   std::to_string(aDatabase.mConnections) };
  answer.mPosition = PositionOf(aDatabase, aDatabase.mApplied);
  return answer;
}

void
LoadWorld::Replicate()
{
  const auto& primary =
    *std::ranges::max_element(mDatabases, {}, [](const auto& it) {
      return std::pair(it.mRole == Role::Primary, it.mTerm);
    });
  const auto lag = IsFault(mNow) ? mPattern.mFaultLag : mPattern.mLag;
  for (auto& it : mDatabases) {
    if (&it == &primary || !primary.mIsAlive || !it.mIsAlive) {
      continue;
    }
    if (it.mIsReceiving && it.mFencedTerm == 0) {
      it.mRole = Role::Replica;
      it.mTerm = primary.mTerm;
      it.mLog = primary.mLog;
    }
    while (it.mApplied < it.mLog.size() && it.mLog[it.mApplied] + lag <= mNow) {
      ++it.mApplied;
    }
  }
}

void
LoadWorld::Promote(const std::string& aName)
{
  auto& database = Find(aName);
  if (!database.mIsAlive || database.mRole == Role::Primary) {
    return;
  }
  const auto terms = std::views::transform(mDatabases, &Database::mTerm);
  database.mTerm = *std::ranges::max_element(terms) + 1;
  database.mRole = Role::Primary;
  database.mFencedTerm = 0;
  database.mApplied = database.mLog.size();
}

}
