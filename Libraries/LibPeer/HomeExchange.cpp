#include "LibPeer/HomeExchange.h"

#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

/// A new answer time counts for 1 / kSmoothing of the smoothed one.
constexpr int kSmoothing = 4;
/// A home that has not answered for longer is unknown: several times the
/// longest usual timeout of a route.
constexpr Duration kMaxAge = 8s;
/// Between two entries of the log for the same statements.
constexpr Duration kLogInterval = 10s;

/// The start of the sequence of RemoteShare::TakeNext, so that instances with
/// the same share don't all send the same one of their statements away.
double
PhaseOf(const std::string& aInstance, const std::string& aGroup)
{
  constexpr size_t kPhases = 1024;
  const auto hash = std::hash<std::string>()(aInstance + '\n' + aGroup);
  return static_cast<double>(hash % kPhases) / kPhases;
}

}

HomeExchange::HomeExchange(std::string aGroup,
                           const std::string& aInstance,
                           LogSink aLog,
                           RemoteShareSettings aSettings)
  : mGroup(std::move(aGroup))
  , mLog(std::move(aLog))
  , mSettings(aSettings)
{
  for (auto& it : mTraffic) {
    it.mShare = RemoteShare(aSettings, PhaseOf(aInstance, mGroup));
  }
}

HomeExchange::Choice
HomeExchange::Choose(HomeTraffic aTraffic,
                     const HomePair& aHomes,
                     Duration aTarget,
                     Instant aNow)
{
  auto& traffic = At(aTraffic);
  traffic.mShortestTarget = std::min(traffic.mShortestTarget, aTarget);
  EndRound(aTraffic, aHomes, aNow);
  const auto near = AnswerTimeOf(traffic, aHomes.mNear, aNow);
  const bool isInTime = !near || *near <= aTarget * mSettings.mTargetPart;
  const bool isFarther = aHomes.mNearDistance != Distance::OtherRegion &&
                         aHomes.mFarDistance == Distance::OtherRegion;
  if (isInTime || (isFarther && !mWindow.HasRoom()) ||
      !traffic.mShare.TakeNext()) {
    return { aHomes.mNear };
  }
  if (isFarther) {
    mWindow.OnSent();
  }
  return { aHomes.mFar, isFarther };
}

void
HomeExchange::OnNoAlternative(HomeTraffic aTraffic, Instant aNow)
{
  EndRound(aTraffic, {}, aNow);
}

HomeExchange::Ending
HomeExchange::EndingOf(const StatementAnswer& aAnswer)
{
  if (!aAnswer.mError) {
    return Ending::Answered;
  }
  switch (aAnswer.mError->mKind) {
    case ErrorKind::StatementFailed:
      return Ending::Answered;
    case ErrorKind::QueueFull:
    case ErrorKind::DeadlinePassed:
    case ErrorKind::ConnectionLimit:
    case ErrorKind::StatementTimeout:
      return Ending::Overloaded;
    default:
      return Ending::Other;
  }
}

void
HomeExchange::OnEnded(HomeTraffic aTraffic,
                      const Choice& aChoice,
                      Ending aEnding,
                      Duration aElapsed,
                      Duration aTarget,
                      Instant aNow)
{
  if (aChoice.mLeavesRegion && aEnding == Ending::Answered) {
    mWindow.OnAnswered(aElapsed);
  } else if (aChoice.mLeavesRegion) {
    mWindow.OnLost();
  }
  if (aEnding == Ending::Other) {
    return;
  }
  // A refusal comes early, but its caller is served no sooner than by an answer
  // after the target.
  const auto time =
    aEnding == Ending::Overloaded ? std::max(aElapsed, aTarget) : aElapsed;
  auto& traffic = At(aTraffic);
  const auto [it, isNew] = traffic.mAnswerTimes.try_emplace(aChoice.mHome);
  auto& known = it->second;
  known.mSmoothed = isNew || aNow - known.mObservedAt > kMaxAge
                      ? time
                      : known.mSmoothed + (time - known.mSmoothed) / kSmoothing;
  known.mObservedAt = aNow;
  traffic.mHasNews = true;
}

double
HomeExchange::Share() const
{
  double share = 0;
  for (const auto& it : mTraffic) {
    share = std::max(share, it.mShare.Share());
  }
  return share;
}

std::optional<Duration>
HomeExchange::AnswerTimeOf(const Traffic& aTraffic,
                           const std::string& aHome,
                           Instant aNow)
{
  const auto it = aTraffic.mAnswerTimes.find(aHome);
  const bool isKnown = it != aTraffic.mAnswerTimes.end() &&
                       aNow - it->second.mObservedAt <= kMaxAge;
  return isKnown ? std::optional(it->second.mSmoothed) : std::nullopt;
}

/// Rounds end with a statement. A round in which nothing new was learned goes
/// on, unless the near home has become unknown.
void
HomeExchange::EndRound(HomeTraffic aTraffic,
                       const HomePair& aHomes,
                       Instant aNow)
{
  auto& traffic = At(aTraffic);
  const auto near = AnswerTimeOf(traffic, aHomes.mNear, aNow);
  if (aNow < traffic.mNextRoundAt || (near && !traffic.mHasNews)) {
    return;
  }
  traffic.mNextRoundAt = aNow + mSettings.mRound;
  traffic.mHasNews = false;
  if (near) {
    auto price =
      PriceBeyond(aHomes.mNearDistance, aHomes.mFarDistance, mSettings);
    if (aTraffic == HomeTraffic::NeedsPrimary) {
      // The evidence that the primary leads is then collected at two homes.
      price = std::max(price, mSettings.mDomainPrice);
    }
    traffic.mShare.Update({ *near,
                            AnswerTimeOf(traffic, aHomes.mFar, aNow),
                            price,
                            traffic.mShortestTarget });
  } else {
    traffic.mShare.Retreat();
  }
  traffic.mShortestTarget = Duration::max();
  std::erase_if(traffic.mAnswerTimes, [&](const auto& it) {
    return aNow - it.second.mObservedAt > kMaxAge;
  });
  LogChange(aTraffic, aNow);
}

void
HomeExchange::LogChange(HomeTraffic aTraffic, Instant aNow)
{
  auto& traffic = At(aTraffic);
  const bool isLeaving = traffic.mShare.Share() > 0;
  if (isLeaving == traffic.mIsLoggedAsLeaving ||
      aNow - traffic.mLoggedAt < kLogInterval) {
    return;
  }
  traffic.mIsLoggedAsLeaving = isLeaving;
  traffic.mLoggedAt = aNow;
  std::vector<std::pair<std::string, std::string>> fields{
    { "group", mGroup },
    { "traffic", aTraffic == HomeTraffic::Read ? "reads" : "primary" }
  };
  for (const auto& [home, it] : traffic.mAnswerTimes) {
    const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(it.mSmoothed);
    fields.emplace_back(home, std::to_string(ms.count()) + "ms");
  }
  mLog(isLeaving ? "domain.leaving" : "domain.returned", fields);
}

}
