#include "FaultSchedule.h"

#include <QDateTime>
#include <array>
#include <csignal>

namespace papayaline {

namespace {

constexpr int kMaxFaultIntervalMs = 900;
constexpr int kMinFaultMs = 100;
constexpr int kMaxFaultMs = 3500;
/// The grace period in the instances' settings (6 s) plus a margin for a loaded
/// machine.
constexpr int kGraceMs = 9000;
constexpr int kRestartMs = 300;
constexpr int kMaxKeyChangeIntervalMs = 3000;
/// Longer than the authority timeout, so that statements are sent after it.
constexpr int kMaxKeyTakenMs = 9000;
constexpr int kCopyIntervalMs = 500;
/// Copies of the store between two restores at most.
constexpr int kMaxCopies = 40;
/// The store is restored with every third seed. After a restore no primary is
/// replaced for the lease timeout, and the other seeds need promotions.
constexpr uint64_t kRestoredEvery = 3;

}

FaultSchedule::FaultSchedule(SoakDeployment& aDeployment,
                             uint64_t aSeed,
                             FaultMix aMix)
  : mDeployment(aDeployment)
  , mMix(aMix)
  , mRandom(aSeed)
  , mStoreRandom(aSeed)
  , mKeyRandom(aSeed)
  , mIsStoreRestored(aMix == FaultMix::Everything &&
                     aSeed % kRestoredEvery == 0)
  , mIsDown(static_cast<size_t>(aDeployment.InstanceCount()), false)
{
}

void
FaultSchedule::Start()
{
  ScheduleNext();
  if (mIsStoreRestored) {
    ScheduleRestore();
  }
  if (mDeployment.Accounts().HasAccounts()) {
    ScheduleKeyChange();
  }
}

void
FaultSchedule::ScheduleKeyChange()
{
  const auto wait = static_cast<int>(mKeyRandom() % kMaxKeyChangeIntervalMs);
  QTimer::singleShot(wait, this, [this] {
    if (mIsHealed) {
      return;
    }
    const auto caller = static_cast<int>(
      mKeyRandom() % static_cast<uint64_t>(mDeployment.CallerCount()));
    const auto duration = static_cast<int>(mKeyRandom() % kMaxKeyTakenMs);
    if (mDeployment.Accounts().IsKeyHeld(caller)) {
      RecordFault("take the key of caller " + std::to_string(caller), duration);
      mDeployment.SetKeyHeld(caller, false);
      ScheduleEnd(duration,
                  [this, caller] { mDeployment.SetKeyHeld(caller, true); });
    }
    ScheduleKeyChange();
  });
}

void
FaultSchedule::ScheduleRestore()
{
  QTimer::singleShot(kCopyIntervalMs, this, [this] {
    if (mIsHealed) {
      return;
    }
    mStoreCopies.push_back(mDeployment.Store().MakeCopy());
    if (mStoreRandom() % kMaxCopies < mStoreCopies.size()) {
      const auto n = mStoreRandom() % mStoreCopies.size();
      RecordFault("restore copy " + std::to_string(n) + " of the store", 0);
      mDeployment.RestoreStore(mStoreCopies[n]);
      mStoreCopies.clear();
    }
    ScheduleRestore();
  });
}

int
FaultSchedule::Pick(int aCount)
{
  return static_cast<int>(mRandom() % static_cast<uint64_t>(aCount));
}

int
FaultSchedule::PickDurationMs()
{
  return kMinFaultMs + Pick(kMaxFaultMs - kMinFaultMs);
}

void
FaultSchedule::RecordFault(const std::string& aWhat, int aDurationMs)
{
  mInjected.push_back(std::to_string(QDateTime::currentMSecsSinceEpoch()) +
                      " " + aWhat + " for " + std::to_string(aDurationMs) +
                      " ms");
}

void
FaultSchedule::ScheduleEnd(int aDurationMs, std::function<void()> aEnd)
{
  const auto n = mNextEndId++;
  mPendingEnds[n] = std::move(aEnd);
  QTimer::singleShot(aDurationMs, this, [this, n] {
    if (const auto it = mPendingEnds.extract(n)) {
      it.mapped()();
    }
  });
}

void
FaultSchedule::Heal()
{
  mIsHealed = true;
  const auto ends = std::exchange(mPendingEnds, {});
  for (const auto& [n, end] : ends) {
    end();
  }
}

void
FaultSchedule::ScheduleNext()
{
  static constexpr std::array<Injector, 3> kPlanned = {
    &FaultSchedule::TerminateInstance,
    &FaultSchedule::ReloadInstance,
    &FaultSchedule::ChangeConfiguration,
  };
  static constexpr std::array<Injector, 11> kEverything = {
    &FaultSchedule::TerminateInstance,
    &FaultSchedule::ReloadInstance,
    &FaultSchedule::ChangeConfiguration,
    &FaultSchedule::KillInstance,
    &FaultSchedule::FreezeInstance,
    &FaultSchedule::FailLink,
    &FaultSchedule::FailLink,
    &FaultSchedule::KillDatabase,
    &FaultSchedule::IsolateDatabase,
    &FaultSchedule::FreezeStore,
    &FaultSchedule::LoseStoreAnswers,
  };
  QTimer::singleShot(Pick(kMaxFaultIntervalMs), this, [this] {
    if (mIsHealed) {
      return;
    }
    const auto inject = mMix == FaultMix::Planned
                          ? kPlanned[Pick(kPlanned.size())]
                          : kEverything[Pick(kEverything.size())];
    (this->*inject)();
    ScheduleNext();
  });
}

/// Skipped while another instance is down, so that callers can always reach an
/// instance.
void
FaultSchedule::TerminateInstance()
{
  const auto n = Pick(mDeployment.InstanceCount());
  if (!AreInstancesUp()) {
    return;
  }
  mIsDown[n] = true;
  RecordFault("terminate instance " + std::to_string(n), 0);
  mDeployment.Process(n).Terminate();
  // Heal() does not shorten the grace period: the instance may still answer
  // what it has accepted.
  QTimer::singleShot(kGraceMs, this, [this, n] {
    mDeployment.Start(n);
    mIsDown[n] = false;
  });
}

void
FaultSchedule::ReloadInstance()
{
  const auto n = Pick(mDeployment.InstanceCount());
  if (!mIsDown[n] && mDeployment.Process(n).IsRunning()) {
    RecordFault("reload instance " + std::to_string(n), 0);
    ::kill(static_cast<pid_t>(mDeployment.Process(n).Pid()), SIGHUP);
  }
}

void
FaultSchedule::ChangeConfiguration()
{
  RecordFault("change the configuration", 0);
  mDeployment.PublishConfiguration();
}

void
FaultSchedule::KillInstance()
{
  const auto n = Pick(mDeployment.InstanceCount());
  if (mIsDown[n]) {
    return;
  }
  mIsDown[n] = true;
  RecordFault("kill instance " + std::to_string(n), kRestartMs);
  mDeployment.Process(n).Kill();
  ScheduleEnd(kRestartMs, [this, n] {
    mDeployment.Start(n);
    mIsDown[n] = false;
  });
}

void
FaultSchedule::FreezeInstance()
{
  const auto n = Pick(mDeployment.InstanceCount());
  if (mIsDown[n]) {
    return;
  }
  mIsDown[n] = true;
  const auto duration = PickDurationMs();
  RecordFault("freeze instance " + std::to_string(n), duration);
  mDeployment.Process(n).Freeze();
  ScheduleEnd(duration, [this, n] {
    mDeployment.Process(n).Thaw();
    mIsDown[n] = false;
  });
}

/// Cuts, freezes or delays a link to a database, to the store or between
/// callers and an instance, or drops its data; in one direction or in both.
void
FaultSchedule::FailLink()
{
  constexpr std::array kModes = {
    FaultMode::Cut, FaultMode::Drop, FaultMode::Freeze, FaultMode::Delay
  };
  constexpr std::array kModeNames = { "cut", "drop", "freeze", "delay" };
  const auto names = mDeployment.LinkNames();
  const auto name = names[Pick(static_cast<int>(names.size()))];
  const auto mode = Pick(static_cast<int>(kModes.size()));
  const Fault fault{ kModes[mode], PickDurationMs() / 10 };
  const auto directions = 1 + Pick(3);
  const auto duration = PickDurationMs();
  RecordFault(std::string(kModeNames[mode]) + " link " + name + " directions " +
                std::to_string(directions),
              duration);
  mDeployment.Link(name).SetFaults((directions & 1) != 0 ? fault : Fault(),
                                   (directions & 2) != 0 ? fault : Fault());
  ScheduleEnd(duration,
              [this, name] { mDeployment.Link(name).SetFaults({}, {}); });
}

void
FaultSchedule::KillDatabase()
{
  auto& databases = mDeployment.Databases();
  const auto name = databases.All()[Pick(3)]->mName;
  if (!databases.At(name).mIsAlive) {
    return;
  }
  const auto duration = PickDurationMs();
  RecordFault("kill database " + name, duration);
  databases.Kill(name);
  ScheduleEnd(duration, [this, name] {
    mDeployment.Databases().Restart(name);
    mDeployment.PublishDatabases();
  });
}

void
FaultSchedule::IsolateDatabase()
{
  const auto name = mDeployment.Databases().All()[Pick(3)]->mName;
  const auto duration = PickDurationMs();
  RecordFault("isolate database " + name, duration);
  mDeployment.Databases().SetIsolated(name, true);
  ScheduleEnd(duration, [this, name] {
    mDeployment.Databases().SetIsolated(name, false);
  });
}

void
FaultSchedule::FreezeStore()
{
  const auto duration = PickDurationMs();
  RecordFault("make the store unresponsive", duration);
  mDeployment.Store().SetUnresponsive(true);
  ScheduleEnd(duration, [this] { mDeployment.Store().SetUnresponsive(false); });
}

void
FaultSchedule::LoseStoreAnswers()
{
  const auto duration = PickDurationMs();
  RecordFault("drop answers of the store", duration);
  mDeployment.Store().SetDroppingAnswers(true);
  ScheduleEnd(duration,
              [this] { mDeployment.Store().SetDroppingAnswers(false); });
}

}
