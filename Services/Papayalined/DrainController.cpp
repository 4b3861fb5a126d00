#include "DrainController.h"

#include "Clock.h"
#include "LibCore/EventRing.h"
#include "Log.h"

#include <QCoreApplication>
#include <csignal>
#include <unistd.h>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr auto kCloseInterval = 20ms;
int sSignalPipe[2] = { -1, -1 };

void
OnSignal(int)
{
  const char byte = 0;
  [[maybe_unused]] const auto n = write(sSignalPipe[1], &byte, 1);
}

}

DrainController::DrainController(ControlState& aControlState,
                                 ConfigurationDistributor& aDistributor,
                                 WorkerPool& aWorkers,
                                 CallerListener& aListener)
  : mControlState(aControlState)
  , mDistributor(aDistributor)
  , mWorkers(aWorkers)
  , mListener(aListener)
{
  connect(&mTimer, &QTimer::timeout, this, [this] { CloseIdleSessions(); });
}

DrainController::~DrainController() = default;

Result<Done>
DrainController::WatchSignals()
{
  if (pipe(sSignalPipe) != 0) {
    return Error{ ErrorKind::Internal, "can't create the signal pipe" };
  }
  mSignalNotifier =
    std::make_unique<QSocketNotifier>(sSignalPipe[0], QSocketNotifier::Read);
  connect(mSignalNotifier.get(), &QSocketNotifier::activated, this, [this] {
    char byte = 0;
    [[maybe_unused]] const auto n = read(sSignalPipe[0], &byte, 1);
    Drain();
  });
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  return Done{};
}

void
DrainController::Drain()
{
  if (mControlState.GetDrainState() != DrainState::Serving) {
    return;
  }
  const auto& settings = mControlState.GetSettings();
  LoggerFor("drain")->info(
    "shutdown announced; closing callers' connections in {} ms",
    settings.mDrainNotice.count());
  EventRing::Instance().Record("drain", "announced");
  mControlState.SetDrainState(DrainState::ShutdownAnnounced);
  mDistributor.AnnounceShutdown();
  mDeadline = Now() + settings.mDrainNotice + settings.mDrainTimeout;
  QTimer::singleShot(settings.mDrainNotice, this, [this] {
    mControlState.SetDrainState(DrainState::Draining);
    mListener.close();
    mTimer.start(kCloseInterval);
  });
}

void
DrainController::CloseIdleSessions()
{
  size_t remaining = 0;
  mWorkers.ForEachWorker([&remaining](Worker& aWorker) {
    remaining += aWorker.CloseIdleSessions();
  });
  if (remaining == 0 || Now() >= mDeadline) {
    LoggerFor("drain")->info("exiting with {} callers left", remaining);
    QCoreApplication::exit(0);
  }
}

}
