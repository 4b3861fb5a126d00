#pragma once

#include "SoakDeployment.h"

#include <QTimer>
#include <random>

namespace papayaline {

enum class FaultMix
{
  /// Restarts, reloads and configurations: nobody's request may be cut off.
  Planned,
  Everything,
};

/// Injects faults from outside the processes, in series and overlapping, in an
/// order that follows from the seed. Lives in the event loop of the soak.
class FaultSchedule : public QObject
{
public:
  FaultSchedule(SoakDeployment& aDeployment, uint64_t aSeed, FaultMix aMix);

  void Start() { Next(); }
  /// Ends all faults; nothing is injected any more.
  void Heal();

  const std::vector<std::string>& Injected() const { return mInjected; }

private:
  using Injector = void (FaultSchedule::*)();

  void Next();
  void TerminateInstance();
  void ReloadInstance();
  void ChangeConfiguration();
  void KillInstance();
  void FreezeInstance();
  void FailLink();
  void KillDatabase();
  void IsolateDatabase();
  void SilenceStore();
  void LoseStoreAnswers();

  void Note(const std::string& aWhat, int aForMs);
  int Pick(int aCount);
  int PickSpanMs();
  /// Runs aEnd after a span, or when all faults are healed.
  void EndAfter(int aSpanMs, std::function<void()> aEnd);

  SoakDeployment& mDeployment;
  FaultMix mMix;
  std::mt19937_64 mRandom;
  bool mIsHealed = false;
  std::vector<bool> mIsDown;
  std::map<int, std::function<void()>> mEnds;
  int mNextEnd = 0;
  std::vector<std::string> mInjected;
};

}
