#include "LibRelay/PendingRequest.h"
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
    case Freshness::ReadYourWrites:
      return RelayLatency::OwnRead;
    case Freshness::BoundedStaleness:
      return RelayLatency::AgedRead;
    default:
      return RelayLatency::LatestRead;
  }
}

}

void
RelayGroup::Finish(const PendingRequestPointer& aPending,
                   const StatementAnswer& aAnswer,
                   const std::shared_ptr<OpenTransaction>& aTransaction)
{
  if (aPending->mIsFinished) {
    return;
  }
  aPending->mIsFinished = true;
  std::erase(mPendingRequests, aPending);
  if (mEnvironment.mObserveLatency) {
    const auto& request = aPending->mRequest;
    mEnvironment.mObserveLatency(
      LatencyOf(request, aAnswer, aPending->IsCommit()),
      mEnvironment.mNow() - request.mReceivedAt);
  }
  const auto handler = std::exchange(aPending->mHandler, nullptr);
  handler({ aAnswer, aTransaction });
}

void
RelayGroup::Refuse(const PendingRequestPointer& aPending, const Error& aError)
{
  ++(AnswerFor(aError.mKind).mOutcome == Outcome::Unknown
       ? mCounts.mOutcomesUnknown
       : mCounts.mRefused);
  LogRefusal(*aPending, aError);
  ReturnAdmission(*aPending);
  StatementAnswer answer;
  answer.mError = aError;
  Finish(aPending, answer);
}

/// Logs the state that led to the refusal, with ages, so that an operator finds
/// the cause by the request id.
void
RelayGroup::LogRefusal(const PendingRequest& aPending,
                       const Error& aError) const
{
  const auto& request = aPending.mRequest;
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
      { { "request", aPending.Id() },
        { "database", request.mRoute.mDatabase },
        { "statement", text.substr(0, text.find(' ')) },
        { "error", std::string(AnswerFor(aError.mKind).mName) },
        { "reason", aError.mMessage },
        { "attempts", std::to_string(aPending.mAttemptCount) },
        { "waitedMs", age(request.mReceivedAt) },
        { "primary", primary ? primary->mName : "unknown" },
        { "term", std::to_string(mView.HighestTerm()) },
        { "primaryOwesMs",
          primary ? age(mView.UnansweredSince(primary->mName)) : "-" },
        { "evidenceMissingMs", age(mEvidenceMissingSince) },
        { "queued", std::to_string(mPendingRequests.size()) } });
}

void
RelayGroup::EndLostAttempts()
{
  const auto attempts = mAttempts;
  for (const auto& it : attempts) {
    if (!it->mHasEnded && !it->mLink->IsReady()) {
      OnConnectionLost(it);
    }
  }
}

/// Closes the connection of an attempt that is not answered within the timeout
/// of the route; the database then rolls back the open transaction, if any.
void
RelayGroup::ExpireAttempts(Instant aNow)
{
  const auto attempts = mAttempts;
  for (const auto& it : attempts) {
    const auto& pending = it->mPending;
    if (it->mHasEnded ||
        aNow - it->mStartedAt < pending->mRequest.mRoute.mTimeout) {
      continue;
    }
    Log(
      "request.unanswered",
      { { "request", pending->Id() }, { "upstream", it->mLink->Upstream() } });
    const bool isRead = !pending->MayHaveEffect() && !it->mTransaction &&
                        !pending->mIsFinished && !pending->mAwaitsConfirmation;
    if (isRead && pending->mInFlight == 1) {
      DiscardLink(it);
      RemoveAttempt(it);
      Refuse(pending, { ErrorKind::StatementTimeout, "no answer in time" });
    } else {
      OnConnectionLost(it);
    }
  }
}

bool
RelayGroup::MayHedge(const PendingRequest& aPending, Instant aNow) const
{
  if (aPending.mIsFinished || aPending.mAwaitsConfirmation ||
      aPending.mInFlight != 1 || aPending.mTransaction ||
      aPending.mRequest.mAccess != Access::Read ||
      aPending.mRequest.mMode != TransactionMode::None) {
    return false;
  }
  const auto it = std::ranges::find_if(mAttempts, [&](const auto& aAttempt) {
    return aAttempt->mPending.get() == &aPending;
  });
  if (it == mAttempts.end()) {
    return false;
  }
  const auto member = mMembers.find((*it)->mLink->Upstream());
  const auto usual =
    member != mMembers.end()
      ? member->second.mConcurrency.AnswerTime() * mSettings.mHedgeFactor
      : Duration{};
  return aNow - aPending.mLastSentAt >=
         std::max<Duration>(usual, mSettings.mMinHedgeDelay);
}

/// Sends a read whose answer may be lost once more. The retry budget limits
/// such reads, since more load would slow down databases that are slow already.
void
RelayGroup::HedgeReads(Instant aNow)
{
  const auto requests = mPendingRequests;
  for (const auto& it : requests) {
    if (!MayHedge(*it, aNow) || !mRetries.TrySpend()) {
      continue;
    }
    // Restarts the delay even without a free connection, so that the next
    // attempt waits as long again.
    it->mLastSentAt = aNow;
    if (TryStart(it)) {
      ++mCounts.mHedgedReads;
    }
  }
}

}
