#include "LibRelay/Journey.h"
#include "LibRelay/RelayGroup.h"

#include <algorithm>

namespace papayaline {

namespace {

/// Weight of a new observation in the smoothed service time.
constexpr int kServiceWeight = 8;

}

RelayNeed
RelayGroup::NeedOf(const RelayRequest& aRequest) const
{
  RelayNeed need;
  need.mArrivedAt = aRequest.mArrivedAt;
  need.mNeedsPrimary = aRequest.mAccess == Access::Write ||
                       aRequest.mMode == TransactionMode::ReadWrite;
  if (aRequest.mRoute.mFreshness != Freshness::Latest) {
    need.mMaxAge = aRequest.mRoute.mMaxAge;
  }
  if (aRequest.mRoute.mFreshness == Freshness::OwnWrites) {
    need.mOwnWrite = aRequest.mSession->mOwnWrite;
  }
  return need;
}

std::vector<RelayCandidate>
RelayGroup::Candidates(const Journey& aJourney) const
{
  const auto now = mEnvironment.mNow();
  std::vector<RelayCandidate> candidates;
  for (const auto& it : mView.Members()) {
    const auto& member = mMembers.at(it.mName);
    RelayCandidate candidate;
    candidate.mName = it.mName;
    candidate.mIsAvailable =
      member.mPool->HasFree() && member.mBusyUntil <= now;
    candidate.mIsSameDomain = it.mFailureDomain == mEnvironment.mFailureDomain;
    candidate.mIsExcluded =
      aJourney.mExcluded.contains(it.mName) || !MayReceiveWork(it, now);
    candidate.mInFlight = member.mPool->InUse();
    candidate.mSlots = it.mSlots;
    candidate.mServiceTime = member.mServiceTime;
    candidates.push_back(candidate);
  }
  return candidates;
}

/// A leaving replica gets nothing new; a leaving primary serves until it is
/// replaced, but no longer than the limit.
bool
RelayGroup::MayReceiveWork(const GroupMember& aMember, Instant aNow) const
{
  const auto& since = mMembers.at(aMember.mName).mLeavingSince;
  const auto primary = mView.Primary();
  return !since || (primary && primary->mName == aMember.mName &&
                    aNow - *since < mSettings.mLeavingLimit);
}

void
RelayGroup::Dispatch()
{
  // Starting a journey may finish it and submit another.
  if (mIsDispatching) {
    mIsDispatchDue = true;
    return;
  }
  mIsDispatching = true;
  do {
    mIsDispatchDue = false;
    const auto waiting = mJourneys;
    for (const auto& it : waiting) {
      if (it->IsWaiting() && it->mNotBefore <= mEnvironment.mNow()) {
        TryStart(it);
      }
    }
  } while (mIsDispatchDue);
  mIsDispatching = false;
}

bool
RelayGroup::TryStart(const JourneyPointer& aJourney)
{
  const auto candidates = Candidates(*aJourney);
  const auto need = NeedOf(aJourney->mRequest);
  const auto choice = ChooseUpstream(need, candidates, mView);
  aJourney->mWaitsFor = choice.mVerdict;
  if (choice.mVerdict == RelayVerdict::WaitForEvidence) {
    AskEvidence(mEnvironment.mNow());
  }
  if (choice.mVerdict == RelayVerdict::WaitForConnection) {
    DemandConnection(candidates[choice.mIndex].mName, need);
  }
  if (choice.mVerdict != RelayVerdict::Run) {
    return false;
  }
  if (choice.mPrimary && !MayRunAt(*choice.mPrimary, aJourney->mRequest)) {
    aJourney->mWaitsFor = RelayVerdict::WaitForEvidence;
    AskEvidence(mEnvironment.mNow());
    return false;
  }
  auto& pool = *mMembers.at(candidates[choice.mIndex].mName).mPool;
  auto link = pool.Acquire(*aJourney->mRequest.mSession);
  if (!link) {
    return false;
  }
  Start(aJourney, choice, std::move(link));
  return true;
}

/// Opens a connection where a statement would run best. Opening one takes a
/// slot of the database, so others follow only while that one is slow to come.
void
RelayGroup::DemandConnection(const std::string& aBest, const RelayNeed& aNeed)
{
  auto& best = *mMembers.at(aBest).mPool;
  best.Demand();
  RenewPlan(aBest);
  const bool isPrimaryOnly = aNeed.mNeedsPrimary || !aNeed.mMaxAge;
  if (isPrimaryOnly ||
      best.IsOpeningSince(mEnvironment.mNow() - mSettings.mUsualOpening)) {
    return;
  }
  for (const auto& [name, it] : mMembers) {
    it.mPool->Demand();
  }
}

/// Asks a database how many connections it has when the plan made from an
/// earlier answer allows no more of them.
void
RelayGroup::RenewPlan(const std::string& aName)
{
  auto& member = mMembers.at(aName);
  const auto now = mEnvironment.mNow();
  const auto age = mSettings.mPlanAge * std::max(mPlacement.mSharers, 1U);
  if (member.mPool->IsAtLimit() && !member.IsAsked() &&
      member.mCommands.empty() && now - member.mPlannedAt >= age) {
    member.mPlannedAt = now;
    AskStatus(aName, mCounts.mProbes);
  }
}

bool
RelayGroup::IsCutOff() const
{
  const auto primary = mView.Primary();
  if (!primary || IsDoubtful(*primary)) {
    return mTakeover.IsCutOff();
  }
  return mEvidenceMissingSince &&
         mEnvironment.mNow() - *mEvidenceMissingSince >=
           mSettings.mEvidenceLimit;
}

/// Whether the primary has owed an answer for so long that it may be dead.
bool
RelayGroup::IsDoubtful(const PrimaryOfGroup& aPrimary) const
{
  const auto asked = mView.UnansweredSince(aPrimary.mName);
  return asked && mEnvironment.mNow() - *asked >= mSettings.mOwedAnswerLimit;
}

void
RelayGroup::Start(const JourneyPointer& aJourney,
                  const RelayChoice& aChoice,
                  LinkPointer aLink)
{
  const auto exchange = std::make_shared<Exchange>();
  exchange->mJourney = aJourney;
  exchange->mLink = std::move(aLink);
  exchange->mAfter = aChoice.mAfter;
  exchange->mPrimary = aChoice.mPrimary;
  exchange->mBegan = mEnvironment.mNow();
  exchange->mHold = aJourney->mHold;
  ++aJourney->mInFlight;
  ++aJourney->mAttempts;
  aJourney->mLastSentAt = exchange->mBegan;
  if (!aJourney->mSentAt) {
    aJourney->mSentAt = exchange->mBegan;
  }
  mExchanges.push_back(exchange);
  Prepare(exchange);
}

/// The statement follows only when every preparation was acknowledged: one that
/// failed would let it run with another session's values.
void
RelayGroup::Prepare(const ExchangePointer& aExchange)
{
  const auto& request = aExchange->mJourney->mRequest;
  const auto commands =
    aExchange->mLink->Contents().Preparation(*request.mSession, request.mShape);
  if (commands.empty()) {
    BeginTransaction(aExchange);
    return;
  }
  aExchange->mPreparationsLeft = commands.size();
  mCounts.mPreparations += commands.size();
  for (const auto& it : commands) {
    aExchange->mLink->Run(it, [=, this](const StatementAnswer& aAnswer) {
      aExchange->mHasPreparationFailed |= aAnswer.mError.has_value();
      if (--aExchange->mPreparationsLeft > 0) {
        return;
      }
      if (aExchange->mHasPreparationFailed) {
        OnLost(aExchange);
      } else {
        BeginTransaction(aExchange);
      }
    });
  }
}

void
RelayGroup::BeginTransaction(const ExchangePointer& aExchange)
{
  const auto& request = aExchange->mJourney->mRequest;
  if (request.mMode == TransactionMode::None || aExchange->mHold) {
    SendStatement(aExchange);
    return;
  }
  UpstreamCommand command;
  command.mForm = request.mMode == TransactionMode::ReadOnly
                    ? CommandForm::BeginReadOnly
                    : CommandForm::Begin;
  command.mAfter = aExchange->mAfter;
  aExchange->mLink->Run(command, [=, this](const StatementAnswer& aAnswer) {
    if (aAnswer.mError) {
      OnRefusal(aExchange, aAnswer);
      return;
    }
    auto hold = std::make_shared<TransactionHold>();
    hold->mLink = aExchange->mLink;
    hold->mMode = aExchange->mJourney->mRequest.mMode;
    hold->mPrimary = aExchange->mPrimary;
    hold->mArrivedAt = aExchange->mJourney->mRequest.mArrivedAt;
    aExchange->mHold = std::move(hold);
    SendStatement(aExchange);
  });
}

void
RelayGroup::SendStatement(const ExchangePointer& aExchange)
{
  const auto& journey = *aExchange->mJourney;
  const auto& request = journey.mRequest;
  if (journey.mIsFinished) {
    FreeLink(aExchange);
    return;
  }
  if (aExchange->mPrimary && !journey.IsCommit() &&
      !MayRunAt(*aExchange->mPrimary, request)) {
    mParked.push_back(aExchange);
    AskEvidence(mEnvironment.mNow());
    return;
  }
  UpstreamCommand command;
  command.mId = request.mStatement.mId;
  command.mText = request.mStatement.mText;
  if (request.mShape) {
    command.mForm = CommandForm::ForwardPrepared;
    command.mName = aExchange->mLink->Contents().NameOf(*request.mShape);
    command.mValue = request.mStatement.mValue;
  }
  if (!aExchange->mHold) {
    command.mAfter = aExchange->mAfter;
  }
  aExchange->mIsStatementSent = true;
  aExchange->mStatementSentAt = mEnvironment.mNow();
  if (aExchange->mHold && request.mAccess == Access::Write) {
    aExchange->mHold->mHasWritten = true;
  }
  aExchange->mLink->Run(command, [=, this](const StatementAnswer& aAnswer) {
    OnStatementAnswer(aExchange, aAnswer);
  });
}

/// A read must not even run at a primary that was replaced before the instant
/// that it must show.
bool
RelayGroup::MayRunAt(const PrimaryOfGroup& aPrimary,
                     const RelayRequest& aRequest) const
{
  const auto since = aRequest.mAccess == Access::Read
                       ? EvidenceSince(NeedOf(aRequest))
                       : mEnvironment.mNow() - mSettings.mLeadershipAge;
  return !IsDoubtful(aPrimary) && mView.IsUnreplaced(aPrimary, since);
}

void
RelayGroup::SendParked()
{
  const auto parked = std::exchange(mParked, {});
  for (const auto& it : parked) {
    if (it->mJourney->mIsFinished) {
      continue;
    }
    if (!IsReplaced(*it->mPrimary)) {
      SendStatement(it);
      continue;
    }
    FreeLink(it);
    RemoveExchange(it);
    const Error replaced{ ErrorKind::NotPrimary, "the primary was replaced" };
    if (it->mJourney->mHold) {
      Refuse(it->mJourney, replaced);
    } else {
      Retry(it, replaced);
    }
  }
}

void
RelayGroup::OnStatementAnswer(const ExchangePointer& aExchange,
                              const StatementAnswer& aAnswer)
{
  const auto now = mEnvironment.mNow();
  if (auto it = mMembers.find(aExchange->mLink->Upstream());
      it != mMembers.end() && !aAnswer.mError) {
    auto& mean = it->second.mServiceTime;
    mean += (now - aExchange->mStatementSentAt - mean) / kServiceWeight;
  }
  if (!aAnswer.mError) {
    OnSuccess(aExchange, aAnswer);
  } else if (aAnswer.mError->mKind == ErrorKind::UpstreamLost) {
    OnLost(aExchange);
  } else {
    OnRefusal(aExchange, aAnswer);
  }
}

void
RelayGroup::OnSuccess(const ExchangePointer& aExchange,
                      const StatementAnswer& aAnswer)
{
  const auto journey = aExchange->mJourney;
  if (journey->mIsFinished || journey->mIsConfirming) {
    FreeLink(aExchange);
    RemoveExchange(aExchange);
    return;
  }
  const bool isWrittenCommit =
    journey->IsCommit() && aExchange->mHold && aExchange->mHold->mHasWritten;
  const bool isLoneWrite =
    !aExchange->mHold && journey->mRequest.mAccess == Access::Write;
  if (!aExchange->mHold || journey->IsCommit()) {
    FreeLink(aExchange);
    aExchange->mHold.reset();
  }
  RemoveExchange(aExchange);
  if (isWrittenCommit || isLoneWrite) {
    Confirm(journey, aAnswer, *aExchange->mPrimary);
    return;
  }
  mRetries.ObserveSuccess();
  ++(aExchange->mPrimary ? mCounts.mReadsAtPrimary : mCounts.mReadsAtReplica);
  Finish(journey, aAnswer, aExchange->mHold);
}

void
RelayGroup::NoteRefusal(const ExchangePointer& aExchange, const Error& aError)
{
  const auto& name = aExchange->mLink->Upstream();
  const auto now = mEnvironment.mNow();
  if (aError.mKind == ErrorKind::NotPrimary) {
    Log("primary.denied", { { "upstream", name } });
    mView.ObserveNotPrimary(name);
    AskStatus(name, mCounts.mProbes);
  } else if (aError.mKind == ErrorKind::QueueFull) {
    if (auto it = mMembers.find(name); it != mMembers.end()) {
      it->second.mBusyUntil = now + mSettings.mBusyDelay;
    }
  } else if (aError.mKind == ErrorKind::TooStale) {
    aExchange->mJourney->mExcluded.insert(name);
  }
}

/// The database promises that the statement did not run, or says that it ran
/// and failed.
void
RelayGroup::OnRefusal(const ExchangePointer& aExchange,
                      const StatementAnswer& aAnswer)
{
  const auto journey = aExchange->mJourney;
  const auto error = *aAnswer.mError;
  if (error.mKind == ErrorKind::UpstreamLost) {
    DropLink(aExchange);
  } else {
    NoteRefusal(aExchange, error);
    FreeLink(aExchange);
  }
  RemoveExchange(aExchange);
  if (journey->mIsFinished || journey->mIsConfirming) {
    return;
  }
  const bool isFinal = error.mKind == ErrorKind::StatementFailed ||
                       error.mKind == ErrorKind::StatementTimeout ||
                       error.mKind == ErrorKind::BadInput || journey->mHold;
  if (isFinal) {
    Refuse(journey, error);
  } else {
    Retry(aExchange, error);
  }
}

/// The connection ended before the answer came.
void
RelayGroup::OnLost(const ExchangePointer& aExchange)
{
  const auto journey = aExchange->mJourney;
  DropLink(aExchange);
  RemoveExchange(aExchange);
  if (journey->mIsFinished || journey->mIsConfirming) {
    return;
  }
  if (aExchange->mIsStatementSent && journey->MayHaveEffect()) {
    Refuse(journey,
           { ErrorKind::OutcomeUnknown, "connection ended before the answer" });
    return;
  }
  const Error lost{ ErrorKind::UpstreamLost, "connection ended" };
  const bool isInTransaction =
    journey->mHold ||
    (aExchange->mHold && journey->mRequest.mAccess == Access::Write);
  if (isInTransaction) {
    Refuse(journey, lost);
  } else {
    Retry(aExchange, lost);
  }
}

void
RelayGroup::Retry(const ExchangePointer& aExchange, const Error& aReason)
{
  const auto& journey = aExchange->mJourney;
  if (journey->mInFlight > 0) {
    return;
  }
  if (journey->mAttempts >= mSettings.mMaxAttempts) {
    Refuse(journey, aReason);
    return;
  }
  if (aReason.mKind == ErrorKind::QueueFull) {
    journey->mNotBefore =
      mEnvironment.mNow() + mSettings.mBusyDelay * journey->mAttempts;
  }
  Dispatch();
}

/// Call after the connection was given back: that starts what waits, and a
/// journey without an exchange counts as waiting.
void
RelayGroup::RemoveExchange(const ExchangePointer& aExchange)
{
  const auto n = std::erase(mExchanges, aExchange);
  if (n > 0) {
    --aExchange->mJourney->mInFlight;
  }
}

void
RelayGroup::FreeLink(const ExchangePointer& aExchange)
{
  const auto it = mMembers.find(aExchange->mLink->Upstream());
  if (it != mMembers.end()) {
    it->second.mPool->Release(aExchange->mLink);
  } else {
    aExchange->mLink->Drop();
  }
}

void
RelayGroup::DropLink(const ExchangePointer& aExchange)
{
  const auto it = mMembers.find(aExchange->mLink->Upstream());
  if (it != mMembers.end()) {
    it->second.mPool->Discard(aExchange->mLink);
  } else {
    aExchange->mLink->Drop();
  }
}

}
