#include "LibDecision/ConnectionBudget.h"
#include "LibRelay/Journey.h"
#include "LibRelay/RelayGroup.h"

#include <algorithm>

namespace papayaline {

namespace {

constexpr std::array kCommandForms = { CommandForm::Status,
                                       CommandForm::Fence,
                                       CommandForm::StepDown,
                                       CommandForm::Resume };
constexpr std::array kCommandNames = { "status", "fence", "stepdown", "resume" };
constexpr std::array kCauseNames = { "primary-silent",
                                     "no-primary",
                                     "primary-leaving",
                                     "stray-fence" };

}

// Evidence.

bool
RelayGroup::IsReplaced(const PrimaryOfGroup& aPrimary) const
{
  return mView.HighestTerm() > aPrimary.mTerm;
}

void
RelayGroup::Confirm(const JourneyPointer& aJourney,
                    const StatementAnswer& aAnswer,
                    const ExchangePointer& aExchange)
{
  Confirmation confirmation;
  confirmation.mJourney = aJourney;
  confirmation.mAnswer = aAnswer;
  confirmation.mPrimary = *aExchange->mPrimary;
  confirmation.mSince = aJourney->mRequest.mArrivedAt;
  confirmation.mHold = aExchange->mHold;
  const bool isWrittenCommit =
    aJourney->IsCommit() && aExchange->mHold && aExchange->mHold->mHasWritten;
  const bool isLoneWrite =
    !aExchange->mHold && aJourney->mRequest.mAccess == Access::Write;
  if (isWrittenCommit || isLoneWrite) {
    ++mCounts.mWrites;
    confirmation.mWritten = aAnswer.mPosition.value_or(LogPosition());
    confirmation.mSince = mEnvironment.mNow();
  }
  if (!aExchange->mHold || aJourney->IsCommit()) {
    FreeLink(aExchange);
    confirmation.mHold.reset();
  }
  aJourney->mIsConfirming = true;
  mConfirmations.push_back(std::move(confirmation));
  CheckConfirmations();
  AskEvidence(mEnvironment.mNow());
}

bool
RelayGroup::IsConfirmed(const Confirmation& aConfirmation, Instant aNow) const
{
  const auto& [journey, answer, primary, written, since, hold] = aConfirmation;
  if (!written) {
    return mView.IsUnreplaced(primary, since);
  }
  const bool mayGoUnreplicated =
    mConfiguration.mSyncReplicas == 0 &&
    aNow - since >= mSettings.mReplicationWait;
  return mView.IsReplicated(primary, *written, since) ||
         (mayGoUnreplicated && mView.IsUnreplaced(primary, since));
}

void
RelayGroup::CheckConfirmations()
{
  const auto now = mEnvironment.mNow();
  std::vector<Confirmation> confirmed;
  std::vector<Confirmation> failed;
  std::erase_if(mConfirmations, [&](const auto& it) {
    if (IsConfirmed(it, now)) {
      confirmed.push_back(it);
      return true;
    }
    const auto deadline =
      it.mJourney->mRequest.mAskedAt + it.mJourney->mRequest.mRoute.mTimeout;
    if (IsReplaced(it.mPrimary) || now >= deadline) {
      failed.push_back(it);
      return true;
    }
    return false;
  });
  for (const auto& it : confirmed) {
    it.mJourney->mIsConfirming = false;
    Finish(it.mJourney, it.mAnswer, it.mHold);
  }
  std::ranges::for_each(failed, [this](const auto& it) { FailConfirmation(it); });
}

void
RelayGroup::FailConfirmation(const Confirmation& aConfirmation)
{
  const auto& journey = aConfirmation.mJourney;
  journey->mIsConfirming = false;
  if (aConfirmation.mHold) {
    Abandon(aConfirmation.mHold);
  }
  if (aConfirmation.mWritten) {
    Refuse(journey,
           { ErrorKind::OutcomeUnknown, "no evidence that the primary leads" });
    return;
  }
  const Error replaced{ ErrorKind::NotPrimary, "the primary was replaced" };
  const bool isFresh =
    journey->mRequest.mMode == TransactionMode::None && !journey->mHold;
  if (isFresh && IsReplaced(aConfirmation.mPrimary) &&
      mEnvironment.mNow() < GiveUpAt(*journey)) {
    journey->mLastRefusal = replaced;
    RequestDispatch();
    return;
  }
  Refuse(journey, replaced);
}

bool
RelayGroup::WantsFrontier(Instant aNow) const
{
  if (aNow >= mFrontierWantedUntil || !mView.Primary()) {
    return false;
  }
  return !mView.Frontiers().AtOrAfter(aNow - mSettings.mFrontierRefresh);
}

bool
RelayGroup::WantsEvidence(Instant) const
{
  const bool isConfirming =
    std::ranges::any_of(mConfirmations, [this](const auto& it) {
      return !mView.IsUnreplaced(it.mPrimary, it.mSince) || it.mWritten;
    });
  return isConfirming ||
         std::ranges::any_of(mExchanges, [this](const auto& it) {
           return it->mPrimary && !it->mJourney->mIsFinished &&
                  !mView.IsUnreplaced(*it->mPrimary,
                                      it->mJourney->mRequest.mArrivedAt);
         });
}

void
RelayGroup::AskEvidence(Instant aNow)
{
  const bool wantsFrontier = WantsFrontier(aNow);
  if (aNow < mNextEvidence || (!wantsFrontier && !WantsEvidence(aNow))) {
    return;
  }
  const auto primary = mView.Primary();
  if (!primary) {
    return;
  }
  const GroupMember* best = nullptr;
  const auto rank = [&](const GroupMember& aMember) {
    return std::tuple(!mMembers.at(aMember.mName).mPool->HasFree(),
                      aMember.mFailureDomain != mEnvironment.mFailureDomain,
                      mMembers.at(aMember.mName).mServiceTime);
  };
  for (const auto& it : mView.Members()) {
    const auto* status = mView.StatusOf(it.mName);
    const auto& calls = mMembers.at(it.mName).mCalls;
    if (it.mName == primary->mName || mView.IsFailing(it.mName) ||
        (status && status->mFencedTerm > primary->mTerm)) {
      continue;
    }
    if (!calls.empty() &&
        aNow - calls.front().mAskedAt < mSettings.mEvidenceTimeout) {
      return;
    }
    if (calls.empty() && (!best || rank(it) < rank(*best))) {
      best = &it;
    }
  }
  if (wantsFrontier && !mMembers.at(primary->mName).IsAsked()) {
    SendCommand({ primary->mName, ControlCommand::AskStatus, 0 });
  }
  if (best) {
    mNextEvidence = aNow + mSettings.mEvidenceInterval;
    SendCommand({ best->mName, ControlCommand::AskStatus, 0 });
  }
}

// Control.

void
RelayGroup::Probe(Instant aNow)
{
  const auto primary = mView.Primary();
  for (auto& [name, it] : mMembers) {
    if (aNow < it.mNextProbe) {
      continue;
    }
    const auto contact = mView.LastContact(name);
    const bool isPrimary = primary && primary->mName == name;
    const bool isUnknown = !mView.StatusOf(name) || !primary;
    const auto interval = isUnknown   ? mSettings.mUnknownProbe
                          : isPrimary ? mSettings.mPrimaryProbe
                                      : mSettings.mMemberProbe;
    const auto* status = mView.StatusOf(name);
    const auto last =
      isPrimary ? contact : (status ? std::optional(status->mAskedAt) : contact);
    if (last && !isUnknown && aNow - *last < interval) {
      it.mNextProbe = *last + interval;
      continue;
    }
    it.mNextProbe = aNow + mSettings.mUnknownProbe;
    if (it.IsAsked()) {
      it.mPool->OpenFresh();
    }
    SendCommand({ name, ControlCommand::AskStatus, 0 });
  }
}

void
RelayGroup::SendCommand(const CommandMember& aCommand)
{
  const auto it = mMembers.find(aCommand.mUpstream);
  if (it == mMembers.end()) {
    return;
  }
  auto& waiting = it->second.mCommands;
  if (std::ranges::find(waiting, aCommand) == waiting.end()) {
    waiting.push_back(aCommand);
  }
  RunWaitingCommands();
}

void
RelayGroup::RunWaitingCommands()
{
  const SessionState none;
  for (auto& [name, it] : mMembers) {
    while (!it.mCommands.empty()) {
      const auto link = it.mPool->Acquire(none, LinkUse::Control);
      if (!link) {
        break;
      }
      const auto command = it.mCommands.front();
      it.mCommands.erase(it.mCommands.begin());
      RunCommand(name, link, command);
    }
  }
}

void
RelayGroup::RunCommand(const std::string& aName,
                       const LinkPointer& aLink,
                       const CommandMember& aCommand)
{
  ++mCounts.mControlCommands;
  const ControlCall call{ aLink, mEnvironment.mNow() };
  UpstreamCommand command;
  command.mForm = kCommandForms[static_cast<size_t>(aCommand.mCommand)];
  command.mTerm = aCommand.mTerm;
  mMembers.at(aName).mCalls.push_back(call);
  aLink->Run(command, [=, this](const StatementAnswer& aAnswer) {
    OnCommandAnswer(aName, aCommand, call, aAnswer);
  });
}

void
RelayGroup::OnCommandAnswer(const std::string& aName,
                            const CommandMember& aCommand,
                            const ControlCall& aCall,
                            const StatementAnswer& aAnswer)
{
  const auto it = mMembers.find(aName);
  if (it == mMembers.end()) {
    return;
  }
  std::erase_if(it->second.mCalls,
                [&](const auto& call) { return call.mLink == aCall.mLink; });
  if (aAnswer.mError && aAnswer.mError->mKind == ErrorKind::UpstreamLost) {
    it->second.mPool->Discard(aCall.mLink);
    return;
  }
  it->second.mPool->Release(aCall.mLink);
  auto status = mProtocol->StatusOf(aAnswer);
  if (status.IsError()) {
    if (aCommand.mCommand != ControlCommand::AskStatus) {
      Log("command.refused",
          { { "upstream", aName },
            { "command", kCommandNames[static_cast<size_t>(aCommand.mCommand)] },
            { "term", std::to_string(aCommand.mTerm) },
            { "error", status.GetError().mMessage } });
    }
    return;
  }
  auto known = status.Take();
  known.mUpstream = aName;
  known.mAskedAt = aCall.mAskedAt;
  SetConnectionLimit(known);
  const auto before = mView.Primary();
  mView.ObserveStatus(known, mEnvironment.mNow());
  if (const auto primary = mView.Primary(); primary != before) {
    Log("primary.changed",
        { { "upstream", primary ? primary->mName : "unknown" },
          { "term", std::to_string(mView.HighestTerm()) },
          { "source", aName } });
  }
  CheckConfirmations();
  AskEvidence(mEnvironment.mNow());
  Dispatch();
}

void
RelayGroup::SetConnectionLimit(const ReplicationStatus& aStatus)
{
  auto& pool = *mMembers.at(aStatus.mUpstream).mPool;
  pool.SetLimit(ConnectionAllowance(mConfiguration.mMaxConnections,
                                    aStatus.mConnections,
                                    static_cast<unsigned>(pool.Size())));
}

void
RelayGroup::ExpireCalls(Instant aNow)
{
  for (auto& [name, it] : mMembers) {
    const auto late = it.mCalls;
    for (const auto& call : late) {
      if (aNow - call.mAskedAt < mSettings.mControlTimeout) {
        continue;
      }
      std::erase_if(it.mCalls,
                    [&](const auto& other) { return other.mLink == call.mLink; });
      it.mPool->Discard(call.mLink);
      mView.ObserveFailure(name, aNow);
    }
  }
}

void
RelayGroup::RunTakeover(Instant aNow)
{
  ExpireCalls(aNow);
  const auto actions = mTakeover.Tick(mView, mEnvironment.mGrant(), aNow);
  for (const auto& it : actions) {
    if (const auto* command = std::get_if<CommandMember>(&it)) {
      SendCommand(*command);
    } else if (const auto* order = std::get_if<OrderPromotion>(&it)) {
      mEnvironment.mOrderPromotion(mConfiguration.mName, order->mUpstream);
    } else if (std::holds_alternative<AcquireDuty>(it)) {
      mEnvironment.mAcquireDuty(mConfiguration.mName);
    } else if (const auto* note = std::get_if<NoteTakeover>(&it)) {
      Log("takeover." + note->mStep,
          { { "cause", kCauseNames[static_cast<size_t>(note->mCause)] },
            { "upstream", note->mUpstream },
            { "term", std::to_string(note->mTerm) },
            { "detail", note->mDetail } });
    }
  }
}

}
