#pragma once

#include "LibDecision/CrossRegionWindow.h"
#include "LibDecision/RemoteShare.h"
#include "LibRelay/Statement.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace papayaline {

/// Statements of a group that wait for the same databases, and whose answer
/// times are learned together.
enum class HomeTraffic
{
  NeedsPrimary,
  Read,
};

/// The nearest home of a group for an instance, and the next one, which is in
/// another failure domain.
struct HomePair
{
  std::string mNear;
  std::string mFar;
  Distance mNearDistance = Distance::SameDomain;
  Distance mFarDistance = Distance::SameRegion;

  bool operator==(const HomePair&) const = default;
};

/// Decides which statements of one group leave the nearest home, from the
/// answer times of the homes. It learns from the answers that this instance
/// gets, so no further messages are needed; what it learned ages. Thread
/// safety: one thread.
class HomeExchange
{
public:
  using LogSink = std::function<void(
    const std::string& aEvent,
    const std::vector<std::pair<std::string, std::string>>&)>;

  HomeExchange(std::string aGroup,
               const std::string& aInstance,
               LogSink aLog,
               RemoteShareSettings aSettings = {});

  struct Choice
  {
    std::string mHome;
    /// The statement leaves its region, though its nearest home is in it.
    bool mLeavesRegion = false;
  };

  /// Returns the home for a statement; OnEnded follows.
  Choice Choose(HomeTraffic aTraffic,
                const HomePair& aHomes,
                Duration aTarget,
                Instant aNow);
  /// Call when there is no other home. The share that leaves falls.
  void OnNoAlternative(HomeTraffic aTraffic, Instant aNow);

  /// How a statement at a home ended, as far as its answer time tells.
  enum class Ending
  {
    Answered,
    /// Refused for lack of room or time, or not answered.
    Overloaded,
    /// Cancelled, or ended for a reason of its own.
    Other,
  };
  static Ending EndingOf(const StatementAnswer& aAnswer);

  /// Handles the end of a statement that a home was chosen for.
  void OnEnded(HomeTraffic aTraffic,
               const Choice& aChoice,
               Ending aEnding,
               Duration aElapsed,
               Duration aTarget,
               Instant aNow);

  /// The largest share of any kind of statements that leaves.
  double Share() const;

private:
  struct AnswerTime
  {
    Duration mSmoothed{};
    Instant mObservedAt;
  };
  struct Traffic
  {
    RemoteShare mShare;
    std::map<std::string, AnswerTime> mAnswerTimes;
    Instant mNextRoundAt;
    bool mHasNews = false;
    /// Of the statements since the last round.
    Duration mShortestTarget = Duration::max();
    /// Whether the log says that statements leave, and since when.
    bool mIsLoggedAsLeaving = false;
    Instant mLoggedAt;
  };

  Traffic& At(HomeTraffic aTraffic)
  {
    return mTraffic[static_cast<size_t>(aTraffic)];
  }
  static std::optional<Duration> AnswerTimeOf(const Traffic& aTraffic,
                                              const std::string& aHome,
                                              Instant aNow);
  void EndRound(HomeTraffic aTraffic, const HomePair& aHomes, Instant aNow);
  void LogChange(HomeTraffic aTraffic, Instant aNow);

  std::string mGroup;
  LogSink mLog;
  RemoteShareSettings mSettings;
  std::array<Traffic, 2> mTraffic;
  CrossRegionWindow mWindow;
};

}
