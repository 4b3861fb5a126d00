#include "LibDecision/Backoff.h"
#include "LibDecision/ConnectionBudget.h"
#include "LibRelay/PendingRequest.h"
#include "LibRelay/RelayGroup.h"

#include <algorithm>

namespace papayaline {

namespace {

constexpr std::array kCommandTypes = { CommandType::Status,
                                       CommandType::Fence,
                                       CommandType::StepDown,
                                       CommandType::Resume };
constexpr std::array kCommandNames = { "status",
                                       "fence",
                                       "stepdown",
                                       "resume" };
constexpr std::array kCauseNames = { "primary-silent",
                                     "no-primary",
                                     "primary-leaving",
                                     "stray-fence" };

std::string
PositionText(LogPosition aPosition)
{
  return std::to_string(aPosition.mTerm) + "." +
         std::to_string(aPosition.mOffset);
}

}

/// Whether this instance has to monitor the databases.
bool
RelayGroup::IsActive(Instant aNow) const
{
  return mPlacement.mIsHome || aNow < mActiveUntil || mTakeover.IsBusy() ||
         !mPendingRequests.empty() || !mAttempts.empty();
}

/// Closes the connections as they become idle; the home instances monitor the
/// group.
void
RelayGroup::TickStandby(Instant aNow)
{
  if (!std::exchange(mIsStandingBy, true)) {
    mEvidenceMissingSince.reset();
    mFollowersMissingSince.reset();
    for (auto& [name, it] : mMembers) {
      it.mNextProbeAt = {};
      it.mQueuedCommands.clear();
    }
  }
  for (auto& [name, it] : mMembers) {
    ConnectionPlan plan;
    plan.mMinimum = 0;
    it.mPool->SetPlan(plan);
    it.mPool->Tick(aNow);
  }
}

void
RelayGroup::Probe(Instant aNow)
{
  const auto primary = mView.Primary();
  for (auto& [name, it] : mMembers) {
    if (aNow < it.mNextProbeAt) {
      continue;
    }
    const auto contact = mView.LastContact(name);
    const bool isPrimary = primary && primary->mName == name;
    const bool isUnknown = !mView.StatusOf(name) || !primary;
    const bool isConnected = it.mPool->KeepsIdleLink() || it.mPool->HasFree();
    const auto interval = isUnknown     ? mSettings.mUnknownProbeInterval
                          : isPrimary   ? mSettings.mPrimaryProbeInterval
                          : isConnected ? mSettings.mMemberProbeInterval
                                        : mSettings.mUnconnectedProbeInterval;
    const auto* status = mView.StatusOf(name);
    const auto last =
      isPrimary ? contact
                : (status ? std::optional(status->mRequestedAt) : contact);
    if (last && !isUnknown && aNow - *last < interval) {
      it.mNextProbeAt = *last + interval;
      continue;
    }
    it.mNextProbeAt = aNow + mSettings.mUnknownProbeInterval;
    if (it.HasCallInFlight()) {
      it.mPool->OpenAdditional();
    }
    RequestStatus(name, mCounts.mProbes);
  }
}

void
RelayGroup::RequestStatus(const std::string& aName, uint64_t& aCount)
{
  ++aCount;
  SendCommand({ aName, ControlCommand::RequestStatus, 0 });
}

void
RelayGroup::SendCommand(const SendControlCommand& aCommand)
{
  const auto it = mMembers.find(aCommand.mUpstream);
  if (it == mMembers.end()) {
    return;
  }
  auto& waiting = it->second.mQueuedCommands;
  if (std::ranges::find(waiting, aCommand) == waiting.end()) {
    waiting.push_back(aCommand);
  }
  RunWaitingCommands();
}

void
RelayGroup::RunWaitingCommands()
{
  for (auto& [name, it] : mMembers) {
    while (!it.mQueuedCommands.empty()) {
      const auto link = it.mPool->AcquireForControl();
      if (!link) {
        break;
      }
      const auto command = it.mQueuedCommands.front();
      it.mQueuedCommands.erase(it.mQueuedCommands.begin());
      RunCommand(name, link, command);
    }
  }
}

void
RelayGroup::RunCommand(const std::string& aName,
                       const LinkPointer& aLink,
                       const SendControlCommand& aCommand)
{
  const ControlCall call{ aLink, mEnvironment.mNow() };
  UpstreamCommand command;
  command.mType = kCommandTypes[static_cast<size_t>(aCommand.mCommand)];
  command.mTerm = aCommand.mTerm;
  mMembers.at(aName).mCalls.push_back(call);
  aLink->Run(command, [=, this](const StatementAnswer& aAnswer) {
    OnCommandAnswer(aName, aCommand, call, aAnswer);
  });
}

void
RelayGroup::OnCommandAnswer(const std::string& aName,
                            const SendControlCommand& aCommand,
                            const ControlCall& aCall,
                            const StatementAnswer& aAnswer)
{
  const auto it = mMembers.find(aName);
  if (it == mMembers.end()) {
    return;
  }
  std::erase_if(it->second.mCalls, [&](const auto& aOther) {
    return aOther.mLink == aCall.mLink;
  });
  if (aAnswer.mError && aAnswer.mError->mKind == ErrorKind::UpstreamLost) {
    it->second.mPool->Discard(aCall.mLink);
    return;
  }
  it->second.mPool->Release(aCall.mLink);
  auto status = mProtocol->DecodeStatus(aAnswer);
  if (status.IsError()) {
    if (status.GetError().mKind == ErrorKind::QueueFull) {
      OnStatusRefused();
    }
    if (aCommand.mCommand != ControlCommand::RequestStatus) {
      Log(
        "command.refused",
        { { "upstream", aName },
          { "command", kCommandNames[static_cast<size_t>(aCommand.mCommand)] },
          { "term", std::to_string(aCommand.mTerm) },
          { "error", status.GetError().mMessage } });
    }
    return;
  }
  auto known = status.Take();
  known.mUpstream = aName;
  known.mRequestedAt = aCall.mSentAt;
  UpdateConnectionPlan(known);
  LogStatus(known);
  mEvidenceInterval.OnAnswered();
  const auto before = mView.Primary();
  mView.ObserveStatus(known, mEnvironment.mNow());
  const auto primary = mView.Primary();
  if (primary && mEvidenceMissingSince &&
      mView.IsPrimaryConfirmedByOthers(*primary, *mEvidenceMissingSince)) {
    mEvidenceMissingSince.reset();
  }
  if (primary && mFollowersMissingSince &&
      mView.IsPrimaryFollowed(*primary, *mFollowersMissingSince)) {
    mFollowersMissingSince.reset();
  }
  if (primary != before) {
    Log("primary.changed",
        { { "upstream", primary ? primary->mName : "unknown" },
          { "term", std::to_string(mView.HighestTerm()) },
          { "source", aName } });
  }
  CheckUnconfirmedWrites();
  RequestEvidence(mEnvironment.mNow());
  Dispatch();
}

/// Handles a status request that a database refused for lack of a slot. The
/// refusal is an answer, so this instance is not partitioned from the database.
void
RelayGroup::OnStatusRefused()
{
  const auto now = mEnvironment.mNow();
  mEvidenceInterval.OnRefused();
  mNextEvidenceAt = std::max(
    mNextEvidenceAt, now + AddJitter(mEvidenceInterval.Interval(), now));
  mEvidenceMissingSince.reset();
  mFollowersMissingSince.reset();
}

std::vector<std::pair<std::string, std::string>>
RelayGroup::DescribeMembers() const
{
  std::vector<std::pair<std::string, std::string>> lines;
  const auto now = mEnvironment.mNow();
  for (const auto& it : mView.Members()) {
    const auto* status = mView.StatusOf(it.mName);
    const auto& member = mMembers.at(it.mName);
    std::string text = "unknown";
    if (status) {
      const auto age =
        std::chrono::duration_cast<Milliseconds>(now - status->mRequestedAt);
      text = status->mRole == Role::Primary ? "primary" : "replica";
      text += " received " + PositionText(status->mReceived) + " " +
              std::to_string(age.count()) + " ms ago";
    }
    text += ", applied " + PositionText(mView.AppliedOf(it.mName)) +
            ", answers in " +
            std::to_string(std::chrono::duration_cast<Milliseconds>(
                             member.mConcurrency.AnswerTime())
                             .count()) +
            " ms, " + std::to_string(member.mPool->InUse()) + " of " +
            std::to_string(member.mPool->Size()) + " connections in use";
    lines.emplace_back("member " + it.mName, text);
  }
  return lines;
}

/// Logs each change of role, term or fence.
void
RelayGroup::LogStatus(const ReplicationStatus& aStatus) const
{
  const auto* before = mView.StatusOf(aStatus.mUpstream);
  if (before && before->mRole == aStatus.mRole &&
      before->mTerm == aStatus.mTerm &&
      before->mFencedTerm == aStatus.mFencedTerm) {
    return;
  }
  Log("member.status",
      { { "upstream", aStatus.mUpstream },
        { "role", aStatus.mRole == Role::Primary ? "primary" : "replica" },
        { "term", std::to_string(aStatus.mTerm) },
        { "fencedTerm", std::to_string(aStatus.mFencedTerm) },
        { "received", PositionText(aStatus.mReceived) } });
}

void
RelayGroup::UpdateConnectionPlan(const ReplicationStatus& aStatus)
{
  auto& pool = *mMembers.at(aStatus.mUpstream).mPool;
  const auto slots = mView.FindMember(aStatus.mUpstream)->mSlots;
  // An instance that is not home closes its connections soon.
  const auto accounts = mAccounts && mPlacement.mIsHome
                          ? static_cast<unsigned>(mAccounts->All().size())
                          : 0U;
  auto plan = PlanConnections({ mConfiguration.mMaxConnections,
                                aStatus.mConnections,
                                static_cast<unsigned>(pool.Size()),
                                mPlacement.mSharingInstances,
                                slots,
                                accounts });
  if (!mPlacement.mIsHome) {
    plan.mMinimum = 0;
  }
  pool.SetPlan(plan);
  mMembers.at(aStatus.mUpstream).mPlanRequestedAt = aStatus.mRequestedAt;
}

void
RelayGroup::ExpireCalls(Instant aNow)
{
  for (auto& [name, it] : mMembers) {
    const auto late = it.mCalls;
    for (const auto& call : late) {
      if (aNow - call.mSentAt < mSettings.mControlTimeout) {
        continue;
      }
      std::erase_if(it.mCalls, [&](const auto& aOther) {
        return aOther.mLink == call.mLink;
      });
      it.mPool->Discard(call.mLink);
      mView.ObserveFailure(name);
    }
  }
}

void
RelayGroup::RunTakeover(Instant aNow)
{
  ExpireCalls(aNow);
  const auto actions = mTakeover.Tick(mView, mEnvironment.mLeaseGrant(), aNow);
  for (const auto& it : actions) {
    if (const auto* command = std::get_if<SendControlCommand>(&it)) {
      ++mCounts.mTakeoverCommands;
      SendCommand(*command);
    } else if (const auto* order = std::get_if<OrderPromotion>(&it)) {
      mEnvironment.mOrderPromotion(mConfiguration.mName, order->mUpstream);
    } else if (std::holds_alternative<AcquireLease>(it)) {
      mEnvironment.mAcquireLease(mConfiguration.mName);
    } else if (const auto* note = std::get_if<LogTakeoverStep>(&it)) {
      Log("takeover." + note->mStep,
          { { "cause", kCauseNames[static_cast<size_t>(note->mCause)] },
            { "upstream", note->mUpstream },
            { "term", std::to_string(note->mTerm) },
            { "detail", note->mDetail } });
    }
  }
}

}
