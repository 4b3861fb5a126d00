#include "LibCore/StructuredLog.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <array>
#include <chrono>
#include <fcntl.h>
#include <mutex>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

namespace papayaline {

namespace {

/// Capacity of the queue to the writer thread; when it is full, the oldest
/// lines are overwritten.
constexpr size_t kMaxQueuedLines = 1024;

/// A token bucket that limits the rate of one priority.
struct TokenBucket
{
  double mTokens = StructuredLog::kBurstLines;
  std::chrono::steady_clock::time_point mRefilledAt =
    std::chrono::steady_clock::now();
  uint64_t mDropped = 0;

  bool TryTakeToken()
  {
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> elapsed = now - mRefilledAt;
    mRefilledAt = now;
    mTokens =
      std::min(StructuredLog::kBurstLines,
               mTokens + elapsed.count() * StructuredLog::kLinesPerSecond);
    if (mTokens < 1) {
      ++mDropped;
      return false;
    }
    mTokens -= 1;
    return true;
  }
};

}

struct StructuredLog::State
{
  std::mutex mMutex;
  QString mInstance;
  std::array<TokenBucket, 2> mBuckets;
  std::shared_ptr<spdlog::details::thread_pool> mThreadPool =
    std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1);
  std::shared_ptr<spdlog::async_logger> mLogger =
    std::make_shared<spdlog::async_logger>(
      "decisions",
      std::make_shared<spdlog::sinks::stdout_sink_mt>(),
      mThreadPool,
      spdlog::async_overflow_policy::overrun_oldest);
};

StructuredLog&
StructuredLog::Instance()
{
  static StructuredLog sLog;
  return sLog;
}

StructuredLog::StructuredLog()
  : mState(new State)
{
  // Non-blocking, because the process joins the writer thread at exit: a reader
  // that does not read would block the writer thread, and so the exit.
  const auto flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags != -1) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
  mState->mLogger->set_pattern("%v");
  mState->mLogger->flush_on(spdlog::level::info);
}

StructuredLog::~StructuredLog()
{
  delete mState;
}

void
StructuredLog::SetInstanceName(const std::string& aName)
{
  const std::lock_guard lock(mState->mMutex);
  mState->mInstance = QString::fromStdString(aName);
}

void
StructuredLog::Write(LogPriority aPriority,
                     const std::string& aEvent,
                     const LogFields& aFields)
{
  QJsonObject line;
  {
    const std::lock_guard lock(mState->mMutex);
    auto& bucket = mState->mBuckets[static_cast<size_t>(aPriority)];
    if (!bucket.TryTakeToken()) {
      return;
    }
    line["instance"] = mState->mInstance;
    if (bucket.mDropped > 0) {
      line["droppedBefore"] =
        static_cast<qint64>(std::exchange(bucket.mDropped, 0));
    }
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  line["timeMs"] = static_cast<qint64>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  line["event"] = QString::fromStdString(aEvent);
  for (const auto& [name, value] : aFields) {
    line[QString::fromStdString(name)] = QString::fromStdString(value);
  }
  mState->mLogger->info(
    QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString());
}

}
