#include "FaultSchedule.h"

#include <QDateTime>
#include <array>
#include <csignal>

namespace papayaline {

namespace {

constexpr int kMaxGapMs = 900;
constexpr int kMinSpanMs = 100;
constexpr int kMaxSpanMs = 3500;
/// The grace time of the settings, and what a loaded machine adds.
constexpr int kGraceMs = 9000;
constexpr int kRestartMs = 300;

}

FaultSchedule::FaultSchedule(SoakDeployment& aDeployment,
                             uint64_t aSeed,
                             FaultMix aMix)
  : mDeployment(aDeployment)
  , mMix(aMix)
  , mRandom(aSeed)
  , mIsDown(static_cast<size_t>(aDeployment.InstanceCount()), false)
{
}

int
FaultSchedule::Pick(int aCount)
{
  return static_cast<int>(mRandom() % static_cast<uint64_t>(aCount));
}

int
FaultSchedule::PickSpanMs()
{
  return kMinSpanMs + Pick(kMaxSpanMs - kMinSpanMs);
}

void
FaultSchedule::Note(const std::string& aWhat, int aForMs)
{
  mInjected.push_back(std::to_string(QDateTime::currentMSecsSinceEpoch()) +
                      " " + aWhat + " for " + std::to_string(aForMs) + " ms");
}

void
FaultSchedule::EndAfter(int aSpanMs, std::function<void()> aEnd)
{
  const auto n = mNextEnd++;
  mEnds[n] = std::move(aEnd);
  QTimer::singleShot(aSpanMs, this, [this, n] {
    if (const auto it = mEnds.extract(n)) {
      it.mapped()();
    }
  });
}

void
FaultSchedule::Heal()
{
  mIsHealed = true;
  const auto ends = std::exchange(mEnds, {});
  for (const auto& [n, end] : ends) {
    end();
  }
}

void
FaultSchedule::Next()
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
    &FaultSchedule::SilenceStore,
    &FaultSchedule::LoseStoreAnswers,
  };
  QTimer::singleShot(Pick(kMaxGapMs), this, [this] {
    if (mIsHealed) {
      return;
    }
    const auto inject = mMix == FaultMix::Planned
                          ? kPlanned[Pick(kPlanned.size())]
                          : kEverything[Pick(kEverything.size())];
    (this->*inject)();
    Next();
  });
}

/// One at a time, so that callers find an instance.
void
FaultSchedule::TerminateInstance()
{
  const auto n = Pick(mDeployment.InstanceCount());
  if (std::ranges::find(mIsDown, true) != mIsDown.end()) {
    return;
  }
  mIsDown[n] = true;
  Note("terminate instance " + std::to_string(n), 0);
  mDeployment.Process(n).Terminate();
  EndAfter(kGraceMs, [this, n] {
    mDeployment.Start(n);
    mIsDown[n] = false;
  });
}

void
FaultSchedule::ReloadInstance()
{
  const auto n = Pick(mDeployment.InstanceCount());
  if (!mIsDown[n] && mDeployment.Process(n).IsRunning()) {
    Note("reload instance " + std::to_string(n), 0);
    ::kill(static_cast<pid_t>(mDeployment.Process(n).Pid()), SIGHUP);
  }
}

void
FaultSchedule::ChangeConfiguration()
{
  Note("change the configuration", 0);
  mDeployment.Configure();
}

void
FaultSchedule::KillInstance()
{
  const auto n = Pick(mDeployment.InstanceCount());
  if (mIsDown[n]) {
    return;
  }
  mIsDown[n] = true;
  Note("kill instance " + std::to_string(n), kRestartMs);
  mDeployment.Process(n).Kill();
  EndAfter(kRestartMs, [this, n] {
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
  const auto span = PickSpanMs();
  Note("freeze instance " + std::to_string(n), span);
  mDeployment.Process(n).Freeze();
  EndAfter(span, [this, n] {
    mDeployment.Process(n).Thaw();
    mIsDown[n] = false;
  });
}

/// Delays, resets, silences or cuts one way a link to a database, to the store
/// or between callers and an instance.
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
  const Fault fault{ kModes[mode], PickSpanMs() / 10 };
  const auto ways = 1 + Pick(3);
  const auto span = PickSpanMs();
  Note(std::string(kModeNames[mode]) + " link " + name + " ways " +
         std::to_string(ways),
       span);
  mDeployment.Link(name).SetFaults((ways & 1) != 0 ? fault : Fault(),
                                   (ways & 2) != 0 ? fault : Fault());
  EndAfter(span, [this, name] { mDeployment.Link(name).SetFaults({}, {}); });
}

void
FaultSchedule::KillDatabase()
{
  auto& databases = mDeployment.Databases();
  const auto name = databases.All()[Pick(3)]->mName;
  if (!databases.At(name).mIsAlive) {
    return;
  }
  const auto span = PickSpanMs();
  Note("kill database " + name, span);
  databases.Kill(name);
  EndAfter(span, [this, name] {
    mDeployment.Databases().Revive(name);
    mDeployment.List();
  });
}

void
FaultSchedule::IsolateDatabase()
{
  const auto name = mDeployment.Databases().All()[Pick(3)]->mName;
  const auto span = PickSpanMs();
  Note("isolate database " + name, span);
  mDeployment.Databases().SetIsolated(name, true);
  EndAfter(span,
           [this, name] { mDeployment.Databases().SetIsolated(name, false); });
}

void
FaultSchedule::SilenceStore()
{
  const auto span = PickSpanMs();
  Note("silence the store", span);
  mDeployment.Store().SetSilent(true);
  EndAfter(span, [this] { mDeployment.Store().SetSilent(false); });
}

void
FaultSchedule::LoseStoreAnswers()
{
  const auto span = PickSpanMs();
  Note("lose answers of the store", span);
  mDeployment.Store().SetLosingAnswers(true);
  EndAfter(span, [this] { mDeployment.Store().SetLosingAnswers(false); });
}

}
