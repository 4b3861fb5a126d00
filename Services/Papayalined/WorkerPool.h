#pragma once

#include "GroupEngine.h"

#include <QThread>
#include <memory>
#include <unordered_map>

namespace papayaline {

class CallerSession;

/// One event loop of the request path with the engines of its groups and the
/// callers that use them.
class Worker : public QObject
{
  Q_OBJECT

public:
  explicit Worker(Blackboard& aBlackboard);

  /// The methods below run on the worker's thread.
  GroupEngine* FindEngine(const std::string& aGroup);
  void Configure(const std::vector<GroupConfiguration>& aGroups,
                 unsigned aQueueLimit,
                 unsigned aLiveInstances);
  void Stop();
  void Add(CallerSession* aSession) { mSessions.insert(aSession); }
  void Forget(CallerSession* aSession) { mSessions.erase(aSession); }
  void ForEachSession(const std::function<void(CallerSession&)>& aUse);
  /// Lets idle callers go; returns how many are left.
  size_t ReleaseIdleCallers();

Q_SIGNALS:
  void EngineCreated(GroupEngine* aEngine);

private:
  void DropSessions(const std::string& aGroup);

  Blackboard& mBlackboard;
  std::map<std::string, std::unique_ptr<GroupEngine>> mEngines;
  std::set<CallerSession*> mSessions;
};

/// The workers of the request path. A group belongs to one worker, so that its
/// connections and evidence need no lock. Thread safety: the control thread,
/// but WorkerOf may be called from any.
class WorkerPool : public QObject
{
  Q_OBJECT

public:
  WorkerPool(Blackboard& aBlackboard, unsigned aWorkers);
  ~WorkerPool() override;

  Worker& WorkerOf(const std::string& aGroup) const;
  Worker& NextWorker();
  /// Calls aUse on each worker's thread and waits for it.
  void ForEachWorker(const std::function<void(Worker&)>& aUse);

  /// Calls aUse on each worker's thread without waiting.
  void PostToAll(const std::function<void(Worker&)>& aUse);

private:
  void Configure();

  struct Thread
  {
    std::unique_ptr<QThread> mThread;
    std::unique_ptr<Worker> mWorker;
  };

  Blackboard& mBlackboard;
  std::vector<Thread> mThreads;
  size_t mNext = 0;
};

}
