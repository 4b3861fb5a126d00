#include "LibRelay/PendingRequest.h"
#include "LibRelay/RelayGroup.h"

#include <algorithm>
#include <array>

namespace papayaline {

namespace {

/// By ConnectionVerdict; null where the connection is opened at once.
constexpr std::array<uint64_t RelayCounts::*, 6> kWaitCounts = {
  nullptr,
  nullptr,
  &RelayCounts::mWaitsForOwnConnection,
  &RelayCounts::mWaitsForOpening,
  &RelayCounts::mWaitsForOpeningSlot,
  &RelayCounts::mWaitsForOtherAccounts,
};

}

RelayRequirements
RelayGroup::RequirementsOf(const RelayRequest& aRequest) const
{
  RelayRequirements requirements;
  requirements.mStartedAt = aRequest.mStartedAt;
  requirements.mNeedsPrimary = aRequest.MayWrite();
  if (aRequest.mRoute.mFreshness != Freshness::Latest) {
    requirements.mMaxAge = aRequest.mRoute.mMaxAge;
  }
  if (aRequest.mRoute.mFreshness == Freshness::ReadYourWrites) {
    requirements.mLastWritePosition =
      aRequest.mSession->LastWriteIn(mConfiguration.mName);
  }
  return requirements;
}

std::vector<RelayCandidate>
RelayGroup::Candidates(const PendingRequest& aPending) const
{
  const auto now = mEnvironment.mNow();
  std::vector<RelayCandidate> candidates;
  for (const auto& it : mView.Members()) {
    const auto& member = mMembers.at(it.mName);
    RelayCandidate candidate;
    candidate.mName = it.mName;
    const auto& account = aPending.mRequest.mAuthority.mAccount;
    const bool mayRun = member.mBusyUntil <= now &&
                        member.mPool->RunningCount() <
                          LimitAt(it.mName, aPending.mRequest.mRoute.mRank);
    candidate.mIsAvailable = mayRun && member.mPool->HasFree(account);
    if (mayRun && !candidate.mIsAvailable) {
      candidate.mConnectionDelay = member.mPool->ExpectedDelay(account);
    }
    candidate.mDistance = mEnvironment.mTopology.Between(
      mEnvironment.mFailureDomain, it.mFailureDomain);
    candidate.mIsExcluded = aPending.mExcludedUpstreams.contains(it.mName) ||
                            !MayReceiveWork(it, now);
    candidate.mInFlight = member.mPool->InUse();
    candidate.mSlots = it.mSlots;
    candidate.mServiceTime = member.mConcurrency.AnswerTime();
    candidates.push_back(candidate);
  }
  return candidates;
}

/// A leaving replica receives no new statements. A leaving primary receives
/// them until it is replaced, but no longer than mLeavingPrimaryTimeout.
bool
RelayGroup::MayReceiveWork(const GroupMember& aMember, Instant aNow) const
{
  const auto& since = mMembers.at(aMember.mName).mLeavingSince;
  const auto primary = mView.Primary();
  return !since || (primary && primary->mName == aMember.mName &&
                    aNow - *since < mSettings.mLeavingPrimaryTimeout);
}

bool
RelayGroup::TryStart(const PendingRequestPointer& aPending)
{
  const auto candidates = Candidates(*aPending);
  const auto requirements = RequirementsOf(aPending->mRequest);
  const auto choice = ChooseUpstream(requirements, candidates, mView);
  aPending->mWaitsFor = choice.mVerdict;
  // Evidence is requested while the statement waits for a connection too.
  aPending->mNeedsEvidence =
    choice.mVerdict == RelayVerdict::WaitForEvidence ||
    (choice.mVerdict == RelayVerdict::WaitForConnection && choice.mPrimary &&
     !MayRunAt(*choice.mPrimary, aPending->mRequest));
  if (aPending->mNeedsEvidence) {
    RequestEvidence(mEnvironment.mNow());
  }
  if (choice.mVerdict == RelayVerdict::WaitForConnection) {
    aPending->mWaitsAt = candidates[choice.mIndex].mName;
    RequestConnection(candidates[choice.mIndex].mName, requirements, *aPending);
  }
  if (choice.mVerdict != RelayVerdict::Run) {
    return false;
  }
  if (choice.mPrimary && !MayRunAt(*choice.mPrimary, aPending->mRequest)) {
    aPending->mWaitsFor = RelayVerdict::WaitForEvidence;
    aPending->mNeedsEvidence = true;
    RequestEvidence(mEnvironment.mNow());
    return false;
  }
  // A hedged read is the same operation.
  if (aPending->mInFlight == 0 && !RequireAdmission(aPending)) {
    return false;
  }
  auto& pool = *mMembers.at(candidates[choice.mIndex].mName).mPool;
  auto link = pool.Acquire(*aPending->mRequest.mSession,
                           aPending->mRequest.mAuthority.mAccount);
  if (!link) {
    return false;
  }
  Start(aPending, choice, std::move(link));
  return true;
}

/// Opens a connection to the database that suits a statement best. Opening one
/// takes a slot of the database, so connections to other databases are opened
/// only when that one takes longer than mTypicalOpenTime.
void
RelayGroup::RequestConnection(const std::string& aBest,
                              const RelayRequirements& aRequirements,
                              PendingRequest& aPending)
{
  const auto& account = aPending.mRequest.mAuthority.mAccount;
  const auto& member = mMembers.at(aBest);
  auto& best = *member.mPool;
  best.ObserveWaiting(account);
  if (best.RunningCount() >= LimitAt(aBest, aPending.mRequest.mRoute.mRank)) {
    return;
  }
  CountConnectionWait(aPending, best.OpenIfNoneFree(account));
  RefreshConnectionPlan(aBest);
  const bool isPrimaryOnly =
    aRequirements.mNeedsPrimary || !aRequirements.mMaxAge;
  if (isPrimaryOnly ||
      best.IsOpeningSince(mEnvironment.mNow() - mSettings.mTypicalOpenTime,
                          account)) {
    return;
  }
  for (const auto& [name, it] : mMembers) {
    it.mPool->OpenIfNoneFree(account);
  }
}

/// Counts a statement once for each cause that it waits for in turn.
void
RelayGroup::CountConnectionWait(PendingRequest& aPending,
                                std::optional<ConnectionVerdict> aVerdict)
{
  if (!aVerdict || aPending.mConnectionWait == aVerdict) {
    return;
  }
  aPending.mConnectionWait = aVerdict;
  if (const auto count = kWaitCounts[static_cast<size_t>(*aVerdict)]) {
    ++(mCounts.*count);
  }
}

/// Requests the number of connections of a database when the connection plan
/// based on an earlier status allows no more of them.
void
RelayGroup::RefreshConnectionPlan(const std::string& aName)
{
  auto& member = mMembers.at(aName);
  const auto now = mEnvironment.mNow();
  const auto age =
    mSettings.mPlanRefreshInterval * std::max(mPlacement.mSharingInstances, 1U);
  if (member.mPool->MayGrow() && !member.HasCallInFlight() &&
      member.mQueuedCommands.empty() && now - member.mPlanRequestedAt >= age) {
    member.mPlanRequestedAt = now;
    RequestStatus(aName, mCounts.mProbes);
  }
}

bool
RelayGroup::IsPartitioned(const RelayRequest& aRequest) const
{
  const auto primary = mView.Primary();
  if (!primary || IsSuspected(*primary)) {
    return mTakeover.IsPartitioned();
  }
  const auto& missingSince =
    aRequest.MayWrite() ? mFollowersMissingSince : mEvidenceMissingSince;
  return missingSince && mEnvironment.mNow() - *missingSince >=
                           mSettings.mMissingEvidenceTimeout;
}

/// Whether the primary has left a request unanswered for so long that it may be
/// down.
bool
RelayGroup::IsSuspected(const GroupPrimary& aPrimary) const
{
  const auto unansweredSince = mView.UnansweredSince(aPrimary.mName);
  return unansweredSince &&
         mEnvironment.mNow() - *unansweredSince >= mSettings.mSuspicionTimeout;
}

void
RelayGroup::Start(const PendingRequestPointer& aPending,
                  const RelayChoice& aChoice,
                  LinkPointer aLink)
{
  const auto attempt = std::make_shared<Attempt>();
  attempt->mPending = aPending;
  attempt->mLink = std::move(aLink);
  attempt->mMinPosition = aChoice.mMinPosition;
  attempt->mPrimary = aChoice.mPrimary;
  attempt->mStartedAt = mEnvironment.mNow();
  attempt->mTransaction = aPending->mTransaction;
  ++aPending->mInFlight;
  ++aPending->mAttemptCount;
  aPending->mLastSentAt = attempt->mStartedAt;
  if (!aPending->mSentAt) {
    aPending->mSentAt = attempt->mStartedAt;
  }
  mAttempts.push_back(attempt);
  ObserveStart(*attempt);
  Prepare(attempt);
}

/// Sends the statement only after every preparation command succeeded, since it
/// would otherwise run with the session variables of another session.
void
RelayGroup::Prepare(const AttemptPointer& aAttempt)
{
  const auto& request = aAttempt->mPending->mRequest;
  const auto commands = aAttempt->mLink->Session().PreparationCommands(
    *request.mSession, request.mPreparedQuery);
  if (commands.empty()) {
    BeginTransaction(aAttempt);
    return;
  }
  aAttempt->mPreparationsLeft = commands.size();
  mCounts.mPreparations += commands.size();
  for (const auto& it : commands) {
    aAttempt->mLink->Run(it, [=, this](const StatementAnswer& aAnswer) {
      aAttempt->mHasPreparationFailed |= aAnswer.mError.has_value();
      if (--aAttempt->mPreparationsLeft > 0) {
        return;
      }
      if (aAttempt->mHasPreparationFailed) {
        OnConnectionLost(aAttempt);
      } else {
        BeginTransaction(aAttempt);
      }
    });
  }
}

void
RelayGroup::BeginTransaction(const AttemptPointer& aAttempt)
{
  const auto& request = aAttempt->mPending->mRequest;
  if (request.mMode == TransactionMode::None || aAttempt->mTransaction) {
    SendStatement(aAttempt);
    return;
  }
  UpstreamCommand command;
  command.mType = request.mMode == TransactionMode::ReadOnly
                    ? CommandType::BeginReadOnly
                    : CommandType::Begin;
  command.mMinPosition = aAttempt->mMinPosition;
  if (!MayStillRun(aAttempt)) {
    return;
  }
  aAttempt->mLink->Run(command, [=, this](const StatementAnswer& aAnswer) {
    if (aAnswer.mError) {
      OnRefusal(aAttempt, aAnswer);
      return;
    }
    auto transaction = std::make_shared<OpenTransaction>();
    transaction->mLink = aAttempt->mLink;
    transaction->mMode = aAttempt->mPending->mRequest.mMode;
    transaction->mPrimary = aAttempt->mPrimary;
    transaction->mStartedAt = aAttempt->mPending->mRequest.mStartedAt;
    aAttempt->mTransaction = std::move(transaction);
    SendStatement(aAttempt);
  });
}

void
RelayGroup::SendStatement(const AttemptPointer& aAttempt)
{
  const auto& pending = *aAttempt->mPending;
  const auto& request = pending.mRequest;
  if (pending.mIsFinished) {
    ReleaseLink(aAttempt);
    return;
  }
  if (aAttempt->mPrimary && !pending.IsCommit() &&
      !MayRunAt(*aAttempt->mPrimary, request)) {
    aAttempt->mIsDeferred = true;
    RequestEvidence(mEnvironment.mNow());
    return;
  }
  const bool isFirst = !pending.mTransaction && pending.mInFlight == 1;
  if (isFirst && !RequireAdmission(aAttempt->mPending)) {
    ReleaseLink(aAttempt);
    RemoveAttempt(aAttempt);
    return;
  }
  aAttempt->mPending->mWasSent = true;
  UpstreamCommand command;
  command.mId = request.mStatement.mId;
  command.mText = request.mStatement.mText;
  if (request.mPreparedQuery) {
    command.mType = CommandType::ForwardPrepared;
    command.mName =
      aAttempt->mLink->Session().StatementNameOf(*request.mPreparedQuery);
    command.mValue = request.mStatement.mValue;
  }
  if (!aAttempt->mTransaction && request.mAccess == Access::Read) {
    command.mMinPosition = aAttempt->mMinPosition;
  }
  if (!MayStillRun(aAttempt)) {
    return;
  }
  aAttempt->mIsStatementSent = true;
  aAttempt->mStatementSentAt = mEnvironment.mNow();
  if (aAttempt->mTransaction && request.mAccess == Access::Write) {
    aAttempt->mTransaction->mHasWritten = true;
  }
  aAttempt->mLink->Run(command, [=, this](const StatementAnswer& aAnswer) {
    OnStatementAnswer(aAttempt, aAnswer);
  });
}

std::optional<Error>
RelayGroup::FindDenial(const PendingRequest& aPending) const
{
  return mEnvironment.mCheckAuthority
           ? mEnvironment.mCheckAuthority(aPending.mRequest)
           : std::nullopt;
}

bool
RelayGroup::MayStillRun(const AttemptPointer& aAttempt)
{
  const auto pending = aAttempt->mPending;
  const auto denial = FindDenial(*pending);
  if (!denial) {
    return true;
  }
  // Releasing the link rolls back an open transaction.
  ReleaseLink(aAttempt);
  RemoveAttempt(aAttempt);
  // The answer of another attempt that was sent before decides.
  if (pending->mInFlight == 0) {
    Refuse(pending, *denial);
  }
  return false;
}

/// A read must not run at a primary that was replaced before the instant whose
/// acknowledged writes the read must include. A write, or a transaction that
/// may write, is sent only where replicas follow that can receive it. The
/// database itself refuses both once it is no longer the primary.
bool
RelayGroup::MayRunAt(const GroupPrimary& aPrimary,
                     const RelayRequest& aRequest) const
{
  const auto since = EvidenceSince(RequirementsOf(aRequest));
  const bool isConfirmed =
    aRequest.mAccess == Access::Write ||
    (aRequest.MayWrite() ? mView.IsPrimaryConfirmedByOthers(aPrimary, since)
                         : mView.IsPrimaryConfirmed(aPrimary, since));
  const bool mayBeReplicated =
    !aRequest.MayWrite() ||
    mView.IsPrimaryFollowed(aPrimary,
                            mEnvironment.mNow() - mSettings.mMaxLeadershipAge);
  return !IsSuspected(aPrimary) && isConfirmed && mayBeReplicated;
}

void
RelayGroup::SendDeferred()
{
  const auto attempts = mAttempts;
  for (const auto& it : attempts) {
    if (!std::exchange(it->mIsDeferred, false)) {
      continue;
    }
    if (it->mPending->mIsFinished) {
      ReleaseLink(it);
      RemoveAttempt(it);
      continue;
    }
    if (!it->mLink->IsReady()) {
      OnConnectionLost(it);
      continue;
    }
    if (!IsReplaced(*it->mPrimary)) {
      SendStatement(it);
      continue;
    }
    ReleaseLink(it);
    RemoveAttempt(it);
    const Error replaced{ ErrorKind::NotPrimary, "the primary was replaced" };
    if (it->mPending->mTransaction) {
      Refuse(it->mPending, replaced);
    } else {
      Retry(it, replaced);
    }
  }
}

void
RelayGroup::OnStatementAnswer(const AttemptPointer& aAttempt,
                              const StatementAnswer& aAnswer)
{
  const auto now = mEnvironment.mNow();
  if (auto it = mMembers.find(aAttempt->mLink->Upstream());
      it != mMembers.end() && !aAnswer.mError) {
    // The link of this statement no longer counts as running.
    it->second.mConcurrency.OnAnswered(now - aAttempt->mStatementSentAt,
                                       it->second.mPool->RunningCount() + 1);
  }
  if (!aAnswer.mError) {
    OnSuccess(aAttempt, aAnswer);
  } else if (aAnswer.mError->mKind == ErrorKind::UpstreamLost) {
    OnConnectionLost(aAttempt);
  } else {
    OnRefusal(aAttempt, aAnswer);
  }
}

void
RelayGroup::OnSuccess(const AttemptPointer& aAttempt,
                      const StatementAnswer& aAnswer)
{
  const auto pending = aAttempt->mPending;
  if (pending->mIsFinished || pending->mAwaitsConfirmation) {
    ReleaseLink(aAttempt);
    RemoveAttempt(aAttempt);
    return;
  }
  const bool isWrittenCommit = pending->IsCommit() && aAttempt->mTransaction &&
                               aAttempt->mTransaction->mHasWritten;
  const bool isSingleWrite =
    !aAttempt->mTransaction && pending->mRequest.mAccess == Access::Write;
  // A transaction that wrote nothing commits at any database.
  const bool isOnlyForPrimary =
    pending->mRequest.MayWrite() && (!pending->IsCommit() || isWrittenCommit);
  if (isOnlyForPrimary) {
    mView.ObserveLeading(aAttempt->mLink->Upstream(),
                         aAttempt->mStatementSentAt);
  }
  if (!aAttempt->mTransaction || pending->IsCommit()) {
    ReleaseLink(aAttempt);
    aAttempt->mTransaction.reset();
  }
  RemoveAttempt(aAttempt);
  if (isWrittenCommit || isSingleWrite) {
    AwaitConfirmation(pending, aAnswer, *aAttempt->mPrimary);
    return;
  }
  mRetries.ObserveSuccess();
  ++(aAttempt->mPrimary ? mCounts.mReadsAtPrimary : mCounts.mReadsAtReplica);
  Finish(pending, aAnswer, aAttempt->mTransaction);
  Dispatch();
}

void
RelayGroup::RecordRefusal(const AttemptPointer& aAttempt, const Error& aError)
{
  const auto& name = aAttempt->mLink->Upstream();
  const auto now = mEnvironment.mNow();
  // A primary has every acknowledged write of its term.
  const bool isNotPrimary =
    aError.mKind == ErrorKind::NotPrimary ||
    (aError.mKind == ErrorKind::TooStale && aAttempt->mPrimary);
  if (isNotPrimary) {
    Log("primary.denied", { { "upstream", name } });
    mView.ObserveNotPrimary(name);
    RequestStatus(name, mCounts.mProbes);
  } else if (aError.mKind == ErrorKind::QueueFull) {
    if (auto it = mMembers.find(name); it != mMembers.end()) {
      it->second.mBusyUntil = now + mSettings.mBusyRetryDelay;
    }
  } else if (aError.mKind == ErrorKind::TooStale) {
    aAttempt->mPending->mExcludedUpstreams.insert(name);
  }
}

/// Handles an error answer: the database reports that the statement did not
/// run, or that it ran and failed.
void
RelayGroup::OnRefusal(const AttemptPointer& aAttempt,
                      const StatementAnswer& aAnswer)
{
  const auto pending = aAttempt->mPending;
  const auto error = *aAnswer.mError;
  if (error.mKind == ErrorKind::UpstreamLost) {
    DiscardLink(aAttempt);
  } else {
    RecordRefusal(aAttempt, error);
    ReleaseLink(aAttempt);
  }
  RemoveAttempt(aAttempt);
  if (pending->mIsFinished || pending->mAwaitsConfirmation) {
    return;
  }
  const bool isFinal = error.mKind == ErrorKind::StatementFailed ||
                       error.mKind == ErrorKind::StatementTimeout ||
                       error.mKind == ErrorKind::BadInput ||
                       pending->mTransaction;
  if (isFinal) {
    Refuse(pending, error);
  } else {
    // The database did not run it.
    pending->mWasSent = pending->mInFlight > 0;
    Retry(aAttempt, error);
  }
}

/// Handles a connection that closed before the answer arrived.
void
RelayGroup::OnConnectionLost(const AttemptPointer& aAttempt)
{
  const auto pending = aAttempt->mPending;
  DiscardLink(aAttempt);
  RemoveAttempt(aAttempt);
  if (pending->mIsFinished || pending->mAwaitsConfirmation) {
    return;
  }
  if (aAttempt->mIsStatementSent && pending->MayHaveEffect()) {
    Refuse(
      pending,
      { ErrorKind::OutcomeUnknown, "connection closed before the answer" });
    return;
  }
  if (aAttempt->mIsStatementSent) {
    // The statement may have run, so another attempt counts as an operation.
    pending->mAdmittedAt.reset();
  }
  const Error lost{ ErrorKind::UpstreamLost, "connection closed" };
  const bool isInTransaction =
    pending->mTransaction ||
    (aAttempt->mTransaction && pending->mRequest.mAccess == Access::Write);
  if (isInTransaction) {
    Refuse(pending, lost);
  } else {
    Retry(aAttempt, lost);
  }
}

void
RelayGroup::Retry(const AttemptPointer& aAttempt, const Error& aReason)
{
  const auto& pending = aAttempt->mPending;
  if (pending->mInFlight > 0) {
    return;
  }
  if (pending->mAttemptCount >= mSettings.mMaxAttempts) {
    Refuse(pending, aReason);
    return;
  }
  if (aReason.mKind == ErrorKind::QueueFull) {
    pending->mNotBefore =
      mEnvironment.mNow() + mSettings.mBusyRetryDelay * pending->mAttemptCount;
  }
  Dispatch();
}

/// Call after the link was released or discarded. Releasing it dispatches
/// waiting requests, and a request without an attempt counts as waiting.
void
RelayGroup::RemoveAttempt(const AttemptPointer& aAttempt)
{
  aAttempt->mIsDeferred = false;
  if (!std::exchange(aAttempt->mHasEnded, true)) {
    std::erase(mAttempts, aAttempt);
    --aAttempt->mPending->mInFlight;
  }
}

void
RelayGroup::ReleaseLink(const AttemptPointer& aAttempt)
{
  const auto it = mMembers.find(aAttempt->mLink->Upstream());
  if (it != mMembers.end()) {
    it->second.mPool->Release(aAttempt->mLink);
  } else {
    aAttempt->mLink->Close();
  }
}

void
RelayGroup::DiscardLink(const AttemptPointer& aAttempt)
{
  const auto it = mMembers.find(aAttempt->mLink->Upstream());
  if (it != mMembers.end()) {
    it->second.mPool->Discard(aAttempt->mLink);
  } else {
    aAttempt->mLink->Close();
  }
}

}
