#include "LibRelay/Journey.h"
#include "LibRelay/RelayGroup.h"

#include <algorithm>

namespace papayaline {

namespace {

RelayLatency
LatencyOf(const RelayRequest& aRequest,
          const StatementAnswer& aAnswer,
          bool aIsCommit)
{
  if (aAnswer.mError) {
    return RelayLatency::Refusal;
  }
  if (aIsCommit || aRequest.mAccess == Access::Write) {
    return RelayLatency::Write;
  }
  switch (aRequest.mRoute.mFreshness) {
    case Freshness::OwnWrites:
      return RelayLatency::OwnRead;
    case Freshness::BoundedAge:
      return RelayLatency::AgedRead;
    default:
      return RelayLatency::LatestRead;
  }
}

}

void
RelayGroup::Finish(const JourneyPointer& aJourney,
                   const StatementAnswer& aAnswer,
                   const std::shared_ptr<TransactionHold>& aHold)
{
  if (aJourney->mIsFinished) {
    return;
  }
  aJourney->mIsFinished = true;
  std::erase(mJourneys, aJourney);
  if (mEnvironment.mObserveLatency) {
    const auto& request = aJourney->mRequest;
    mEnvironment.mObserveLatency(
      LatencyOf(request, aAnswer, aJourney->IsCommit()),
      mEnvironment.mNow() - request.mAskedAt);
  }
  const auto handler = std::exchange(aJourney->mHandler, nullptr);
  handler({ aAnswer, aHold });
}

void
RelayGroup::Refuse(const JourneyPointer& aJourney, const Error& aError)
{
  ++(AnswerFor(aError.mKind).mOutcome == Outcome::Unknown ? mCounts.mUnknown
                                                          : mCounts.mRefused);
  LogRefusal(*aJourney, aError);
  StatementAnswer answer;
  answer.mError = aError;
  Finish(aJourney, answer);
}

/// What decided, with its age: enough to find the cause from the request's id.
void
RelayGroup::LogRefusal(const Journey& aJourney, const Error& aError) const
{
  const auto& request = aJourney.mRequest;
  const auto now = mEnvironment.mNow();
  const auto age = [now](std::optional<Instant> aSince) {
    return aSince ? std::to_string(
                      std::chrono::duration_cast<Milliseconds>(now - *aSince)
                        .count())
                  : std::string("-");
  };
  const auto primary = mView.Primary();
  const auto& text = request.mStatement.mText;
  Log("request.refused",
      { { "request", aJourney.Id() },
        { "database", request.mRoute.mDatabase },
        { "statement", text.substr(0, text.find(' ')) },
        { "error", std::string(AnswerFor(aError.mKind).mName) },
        { "reason", aError.mMessage },
        { "attempts", std::to_string(aJourney.mAttempts) },
        { "waitedMs", age(request.mAskedAt) },
        { "primary", primary ? primary->mName : "unknown" },
        { "term", std::to_string(mView.HighestTerm()) },
        { "primaryOwesMs",
          primary ? age(mView.UnansweredSince(primary->mName)) : "-" },
        { "evidenceMissingMs", age(mEvidenceMissingSince) },
        { "queued", std::to_string(mJourneys.size()) } });
}

/// Whether the evidence that a statement waits for is refused for lack of
/// slots.
bool
RelayGroup::IsWithoutSlots(const Journey& aJourney) const
{
  return aJourney.mWaitsFor == RelayVerdict::WaitForEvidence &&
         mEvidencePace.IsCongested();
}

Instant
RelayGroup::GiveUpAt(const Journey& aJourney) const
{
  const auto& request = aJourney.mRequest;
  const auto need = NeedOf(request);
  const bool waitsForReplica =
    aJourney.mWaitsFor == RelayVerdict::WaitForConnection &&
    !need.mNeedsPrimary && need.mMaxAge;
  if (IsCutOff() && !waitsForReplica) {
    return request.mAskedAt;
  }
  const auto primary = mView.Primary();
  // Behind a primary that may be dead a statement waits for the next one.
  const bool isOverloaded =
    (aJourney.mWaitsFor == RelayVerdict::WaitForConnection ||
     IsWithoutSlots(aJourney)) &&
    !(primary && IsDoubtful(*primary));
  const auto wait =
    isOverloaded ? std::min(request.mRoute.mTarget, request.mRoute.mTimeout)
                 : request.mRoute.mTimeout;
  return request.mAskedAt + wait;
}

Error
RelayGroup::GiveUpReason(const Journey& aJourney) const
{
  if (IsCutOff()) {
    return { aJourney.mRequest.mAccess == Access::Read ? ErrorKind::TooStale
                                                       : ErrorKind::NoUpstream,
             "this instance is cut off from the group's majority" };
  }
  if (IsWithoutSlots(aJourney)) {
    return { ErrorKind::QueueFull, "databases have no slot for evidence" };
  }
  switch (aJourney.mWaitsFor) {
    case RelayVerdict::WaitForEvidence:
      return { ErrorKind::TooStale, "no proof of the data's age came in time" };
    case RelayVerdict::WaitForPrimary:
      return { ErrorKind::NoUpstream, "no primary was known in time" };
    default:
      return { ErrorKind::QueueFull, "no connection was free in time" };
  }
}

void
RelayGroup::ExpireJourneys(Instant aNow)
{
  const auto journeys = mJourneys;
  for (const auto& it : journeys) {
    if (!it->IsWaiting() || aNow < GiveUpAt(*it)) {
      continue;
    }
    Refuse(it, GiveUpReason(*it));
  }
}

/// A database that does not answer within the route's time: its connection is
/// closed, which rolls back whatever is open on it.
void
RelayGroup::ExpireExchanges(Instant aNow)
{
  const auto exchanges = mExchanges;
  for (const auto& it : exchanges) {
    const auto& journey = it->mJourney;
    if (aNow - it->mBegan < journey->mRequest.mRoute.mTimeout) {
      continue;
    }
    Log(
      "request.unanswered",
      { { "request", journey->Id() }, { "upstream", it->mLink->Upstream() } });
    const bool isRead = !journey->MayHaveEffect() && !it->mHold &&
                        !journey->mIsFinished && !journey->mIsConfirming;
    if (isRead && journey->mInFlight == 1) {
      DropLink(it);
      RemoveExchange(it);
      Refuse(journey, { ErrorKind::StatementTimeout, "no answer in time" });
    } else {
      OnLost(it);
    }
  }
}

bool
RelayGroup::MayHedge(const Journey& aJourney, Instant aNow) const
{
  if (aJourney.mIsFinished || aJourney.mIsConfirming ||
      aJourney.mInFlight != 1 || aJourney.mHold ||
      aJourney.mRequest.mAccess != Access::Read ||
      aJourney.mRequest.mMode != TransactionMode::None) {
    return false;
  }
  const auto it = std::ranges::find_if(mExchanges, [&](const auto& aExchange) {
    return aExchange->mJourney.get() == &aJourney;
  });
  if (it == mExchanges.end()) {
    return false;
  }
  const auto member = mMembers.find((*it)->mLink->Upstream());
  const auto usual = member != mMembers.end()
                       ? member->second.mServiceTime * mSettings.mHedgeFactor
                       : Duration{};
  return aNow - aJourney.mLastSentAt >=
         std::max<Duration>(usual, mSettings.mMinHedgeDelay);
}

/// A read whose answer may have been lost is sent once more, as long as such
/// reads are few: when databases are slow to answer, more load does not help.
void
RelayGroup::HedgeReads(Instant aNow)
{
  const auto journeys = mJourneys;
  for (const auto& it : journeys) {
    if (!MayHedge(*it, aNow) || !mRetries.TrySpend()) {
      continue;
    }
    // Once is enough: the next try waits as long again.
    it->mLastSentAt = aNow;
    if (TryStart(it)) {
      ++mCounts.mHedges;
    }
  }
}

}
