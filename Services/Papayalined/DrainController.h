#pragma once

#include "CallerListener.h"
#include "ConfigurationDistributor.h"

#include <QSocketNotifier>
#include <QTimer>

namespace papayaline {

/// Shuts the instance down without interrupting a request. Announces the
/// shutdown, accepts connections until the load balancer has noticed, then
/// closes caller connections at request boundaries, and exits when none is
/// open or the drain timeout has passed. Thread safety: control thread.
class DrainController : public QObject
{
public:
  DrainController(ControlState& aControlState,
                  ConfigurationDistributor& aDistributor,
                  WorkerPool& aWorkers,
                  CallerListener& aListener);
  ~DrainController() override;

  /// Makes SIGTERM and SIGINT start the drain. Errors: Internal if the signal
  /// pipe can't be created.
  Result<Done> WatchSignals();

  /// Starts the drain. Repeated calls have no effect.
  void Drain();

private:
  void CloseIdleSessions();

  ControlState& mControlState;
  ConfigurationDistributor& mDistributor;
  WorkerPool& mWorkers;
  CallerListener& mListener;
  std::unique_ptr<QSocketNotifier> mSignalNotifier;
  QTimer mTimer;
  Instant mDeadline;
};

}
