#pragma once

#include "SoakDeployment.h"

#include <QTimer>
#include <algorithm>
#include <random>

namespace papayaline {

enum class FaultMix
{
  /// Restarts, reloads and configuration changes, during which no request may
  /// be lost.
  Planned,
  Everything,
};

/// Injects faults into processes, links and stand-ins at random times; faults
/// may overlap. The seed determines the sequence. Runs in the event loop of the
/// soak test.
class FaultSchedule : public QObject
{
public:
  FaultSchedule(SoakDeployment& aDeployment, uint64_t aSeed, FaultMix aMix);

  void Start();
  /// Ends all active faults and injects no further ones.
  void Heal();
  /// Whether no instance is down. After Heal(), an instance that was terminated
  /// is still given its grace period, and started again after it.
  bool AreInstancesUp() const
  {
    return std::ranges::find(mIsDown, true) == mIsDown.end();
  }

  /// One line for each injected fault, with its time in milliseconds since the
  /// epoch.
  const std::vector<std::string>& Injected() const { return mInjected; }

private:
  using Injector = void (FaultSchedule::*)();

  void ScheduleNext();
  void TerminateInstance();
  void ReloadInstance();
  void ChangeConfiguration();
  void KillInstance();
  void FreezeInstance();
  void FailLink();
  void KillDatabase();
  void IsolateDatabase();
  void FreezeStore();
  void LoseStoreAnswers();
  /// Restores the store from older copies of itself at random times. Draws from
  /// a generator of its own, so that the sequence of the other faults of a seed
  /// stays the same.
  void ScheduleRestore();
  /// Takes keys of callers away and gives them back, with a generator of its
  /// own too.
  void ScheduleKeyChange();

  void RecordFault(const std::string& aWhat, int aDurationMs);
  int Pick(int aCount);
  int PickDurationMs();
  /// Runs aEnd after aDurationMs milliseconds, or in Heal() if that comes
  /// first.
  void ScheduleEnd(int aDurationMs, std::function<void()> aEnd);

  SoakDeployment& mDeployment;
  FaultMix mMix;
  std::mt19937_64 mRandom;
  std::mt19937_64 mStoreRandom;
  std::mt19937_64 mKeyRandom;
  bool mIsStoreRestored;
  std::vector<LineStore::Copy> mStoreCopies;
  bool mIsHealed = false;
  std::vector<bool> mIsDown;
  std::map<int, std::function<void()>> mPendingEnds;
  int mNextEndId = 0;
  std::vector<std::string> mInjected;
};

}
