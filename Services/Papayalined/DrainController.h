#pragma once

#include "CallerListener.h"
#include "ConfigurationDistributor.h"

#include <QSocketNotifier>
#include <QTimer>

namespace papayaline {

/// Shuts the instance down without cutting off a request: announces, goes on
/// accepting until the balancer has noticed, lets callers go at a request
/// boundary, and exits once nothing is in flight. Thread safety: control
/// thread.
class DrainController : public QObject
{
public:
  DrainController(ControlState& aControlState,
                  ConfigurationDistributor& aDistributor,
                  WorkerPool& aWorkers,
                  CallerListener& aListener);
  ~DrainController() override;

  /// Starts to drain on SIGTERM and SIGINT. Errors: Internal.
  Result<Done> WatchSignals();

  /// Repeated calls change nothing.
  void Drain();

private:
  void ReleaseCallers();

  ControlState& mControlState;
  ConfigurationDistributor& mDistributor;
  WorkerPool& mWorkers;
  CallerListener& mListener;
  std::unique_ptr<QSocketNotifier> mSignalNotifier;
  QTimer mTimer;
  Instant mDeadline;
};

}
