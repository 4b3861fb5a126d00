#include "WorkerPool.h"

#include "CallerSession.h"

#include <algorithm>

namespace papayaline {

namespace {

/// A worker's thread, registered as an RCU reader.
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

Worker::Worker(ControlState& aControlState)
  : mControlState(aControlState)
{
}

GroupEngine*
Worker::FindEngine(const std::string& aGroup)
{
  const auto it = mEngines.find(aGroup);
  return it != mEngines.end() ? it->second.get() : nullptr;
}

void
Worker::ConfigureEngines(const std::vector<GroupConfiguration>& aGroups,
                         unsigned aQueueLimit,
                         unsigned aLiveInstances)
{
  std::erase_if(mEngines, [&](const auto& it) {
    const bool isRemoved =
      std::ranges::find(aGroups, it.first, &GroupConfiguration::mName) ==
      aGroups.end();
    if (isRemoved) {
      CloseSessions(it.first);
    }
    return isRemoved;
  });
  for (const auto& it : aGroups) {
    auto& engine = mEngines[it.mName];
    if (!engine) {
      engine = std::make_unique<GroupEngine>(mControlState, it);
      Q_EMIT EngineCreated(engine.get());
    }
    engine->Configure(it, aQueueLimit, aLiveInstances);
  }
}

/// Deletes the sessions of a group. Their transactions refer to its engine, so
/// this must happen before the engine is destroyed.
void
Worker::CloseSessions(const std::string& aGroup)
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
Worker::ForEachSession(const std::function<void(CallerSession&)>& aFunction)
{
  const auto sessions = mSessions;
  std::ranges::for_each(sessions, [&](auto* it) { aFunction(*it); });
}

size_t
Worker::CloseIdleSessions()
{
  ForEachSession([](CallerSession& it) { it.CloseIfIdle(); });
  size_t active = 0;
  std::ranges::for_each(mEngines, [&](const auto& it) {
    active += it.second->ActiveOperationCount();
  });
  return mSessions.size() + active;
}

WorkerPool::WorkerPool(ControlState& aControlState, unsigned aWorkers)
  : mControlState(aControlState)
  , mThreads(aWorkers)
{
  for (auto& it : mThreads) {
    it.mThread = std::make_unique<WorkerThread>();
    it.mWorker = std::make_unique<Worker>(aControlState);
    it.mWorker->moveToThread(it.mThread.get());
    it.mThread->start();
  }
  connect(&mControlState, &ControlState::ConfigurationChanged, this, [this] {
    ConfigureWorkers();
  });
  connect(&mControlState, &ControlState::MembershipChanged, this, [this] {
    ConfigureWorkers();
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
  return *mThreads[mNextWorker++ % mThreads.size()].mWorker;
}

void
WorkerPool::ForEachWorker(const std::function<void(Worker&)>& aFunction)
{
  for (auto& it : mThreads) {
    QMetaObject::invokeMethod(
      it.mWorker.get(),
      [&] { aFunction(*it.mWorker); },
      Qt::BlockingQueuedConnection);
  }
}

void
WorkerPool::PostToEachWorker(const std::function<void(Worker&)>& aFunction)
{
  for (auto& it : mThreads) {
    auto* worker = it.mWorker.get();
    QMetaObject::invokeMethod(worker,
                              [worker, aFunction] { aFunction(*worker); });
  }
}

void
WorkerPool::ConfigureWorkers()
{
  const auto configuration = mControlState.GetConfiguration();
  const auto membership = mControlState.GetMembership();
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
      worker->ConfigureEngines(groups, limit, instances);
    });
  }
}

}
