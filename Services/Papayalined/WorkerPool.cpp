#include "WorkerPool.h"

#include "CallerSession.h"

#include <algorithm>

namespace papayaline {

namespace {

/// A thread that reads RCU-published values.
class WorkerThread : public QThread
{
protected:
  void run() override
  {
    const RcuReader reader;
    exec();
  }
};

}

Worker::Worker(Blackboard& aBlackboard)
  : mBlackboard(aBlackboard)
{
}

GroupEngine*
Worker::FindEngine(const std::string& aGroup)
{
  const auto it = mEngines.find(aGroup);
  return it != mEngines.end() ? it->second.get() : nullptr;
}

void
Worker::Configure(const std::vector<GroupConfiguration>& aGroups,
                  unsigned aQueueLimit,
                  unsigned aLiveInstances)
{
  std::erase_if(mEngines, [&](const auto& it) {
    const bool isRemoved =
      std::ranges::find(aGroups, it.first, &GroupConfiguration::mName) ==
      aGroups.end();
    if (isRemoved) {
      DropSessions(it.first);
    }
    return isRemoved;
  });
  for (const auto& it : aGroups) {
    auto& engine = mEngines[it.mName];
    if (!engine) {
      engine = std::make_unique<GroupEngine>(mBlackboard, it);
      Q_EMIT EngineCreated(engine.get());
    }
    engine->Configure(it, aQueueLimit, aLiveInstances);
  }
}

/// A transaction refers to its engine, so sessions end before the engine does.
void
Worker::DropSessions(const std::string& aGroup)
{
  const auto sessions = mSessions;
  for (auto* it : sessions) {
    if (it->Group().toStdString() == aGroup) {
      delete it;
    }
  }
}

void
Worker::Stop()
{
  const auto sessions = mSessions;
  for (auto* it : sessions) {
    delete it;
  }
  mEngines.clear();
}

void
Worker::ForEachSession(const std::function<void(CallerSession&)>& aUse)
{
  const auto sessions = mSessions;
  std::ranges::for_each(sessions, [&](auto* it) { aUse(*it); });
}

size_t
Worker::ReleaseIdleCallers()
{
  ForEachSession([](CallerSession& it) { it.ReleaseIfIdle(); });
  size_t active = 0;
  std::ranges::for_each(
    mEngines, [&](const auto& it) { active += it.second->ActiveCount(); });
  return mSessions.size() + active;
}

WorkerPool::WorkerPool(Blackboard& aBlackboard, unsigned aWorkers)
  : mBlackboard(aBlackboard)
  , mThreads(aWorkers)
{
  for (auto& it : mThreads) {
    it.mThread = std::make_unique<WorkerThread>();
    it.mWorker = std::make_unique<Worker>(aBlackboard);
    it.mWorker->moveToThread(it.mThread.get());
    it.mThread->start();
  }
  connect(&mBlackboard, &Blackboard::ConfigurationChanged, this, [this] {
    Configure();
  });
  connect(&mBlackboard, &Blackboard::MembershipChanged, this, [this] {
    Configure();
  });
}

WorkerPool::~WorkerPool()
{
  ForEachWorker([](Worker& aWorker) { aWorker.Stop(); });
  for (auto& it : mThreads) {
    it.mThread->quit();
    it.mThread->wait();
  }
}

Worker&
WorkerPool::WorkerOf(const std::string& aGroup) const
{
  const auto hash = qHash(QByteArrayView(aGroup.data(), aGroup.size()));
  return *mThreads[hash % mThreads.size()].mWorker;
}

Worker&
WorkerPool::NextWorker()
{
  return *mThreads[mNext++ % mThreads.size()].mWorker;
}

void
WorkerPool::ForEachWorker(const std::function<void(Worker&)>& aUse)
{
  for (auto& it : mThreads) {
    QMetaObject::invokeMethod(
      it.mWorker.get(),
      [&] { aUse(*it.mWorker); },
      Qt::BlockingQueuedConnection);
  }
}

void
WorkerPool::PostToAll(const std::function<void(Worker&)>& aUse)
{
  for (auto& it : mThreads) {
    auto* worker = it.mWorker.get();
    QMetaObject::invokeMethod(worker, [worker, aUse] { aUse(*worker); });
  }
}

void
WorkerPool::Configure()
{
  const auto configuration = mBlackboard.GetConfiguration();
  const auto membership = mBlackboard.GetMembership();
  const auto live = std::ranges::count_if(
    membership.mInstances, [](const auto& it) { return !it.mIsLeaving; });
  for (auto& thread : mThreads) {
    std::vector<GroupConfiguration> groups;
    std::ranges::copy_if(
      configuration->mGroups, std::back_inserter(groups), [&](const auto& it) {
        return &WorkerOf(it.mName) == thread.mWorker.get();
      });
    auto* worker = thread.mWorker.get();
    const auto instances = static_cast<unsigned>(std::max<ptrdiff_t>(live, 1));
    QMetaObject::invokeMethod(worker, [=, limit = configuration->mQueueLimit] {
      worker->Configure(groups, limit, instances);
    });
  }
}

}
