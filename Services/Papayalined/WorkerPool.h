#pragma once

#include "GroupEngine.h"

#include <QThread>
#include <memory>
#include <unordered_map>

namespace papayaline {

class CallerSession;

/// One event loop of the request path, with the engines of its groups and their
/// caller sessions.
class Worker : public QObject
{
  Q_OBJECT

public:
  explicit Worker(ControlState& aControlState);

  /// The methods below must be called on the worker's thread.
  GroupEngine* FindEngine(const std::string& aGroup);
  void ConfigureEngines(const std::vector<GroupConfiguration>& aGroups,
                        unsigned aQueueLimit,
                        unsigned aLiveInstances);
  void Stop();
  void AddSession(CallerSession* aSession) { mSessions.insert(aSession); }
  void RemoveSession(CallerSession* aSession) { mSessions.erase(aSession); }
  void ForEachSession(const std::function<void(CallerSession&)>& aFunction);
  /// Closes idle sessions. Returns the number of sessions that remain plus the
  /// number of active operations.
  size_t CloseIdleSessions();

Q_SIGNALS:
  void EngineCreated(GroupEngine* aEngine);

private:
  void CloseSessions(const std::string& aGroup);

  ControlState& mControlState;
  std::map<std::string, std::unique_ptr<GroupEngine>> mEngines;
  std::set<CallerSession*> mSessions;
};

/// The workers of the request path. Each group belongs to one worker, so that
/// its connections and evidence need no lock. Thread safety: the control
/// thread; WorkerOf may be called from any thread.
class WorkerPool : public QObject
{
  Q_OBJECT

public:
  WorkerPool(ControlState& aControlState, unsigned aWorkers);
  ~WorkerPool() override;

  Worker& WorkerOf(const std::string& aGroup) const;
  /// Returns the workers in turn, to distribute new connections.
  Worker& NextWorker();
  /// Calls aFunction on the thread of each worker in turn and waits for it.
  void ForEachWorker(const std::function<void(Worker&)>& aFunction);

  /// Posts aFunction to the thread of each worker without waiting.
  void PostToEachWorker(const std::function<void(Worker&)>& aFunction);

private:
  void ConfigureWorkers();

  struct Thread
  {
    std::unique_ptr<QThread> mThread;
    std::unique_ptr<Worker> mWorker;
  };

  ControlState& mControlState;
  std::vector<Thread> mThreads;
  size_t mNextWorker = 0;
};

}
