#include "LibRelay/RelayGroup.h"

#include "LibRelay/PendingRequest.h"

#include <algorithm>

namespace papayaline {

namespace {

TakeoverSettings
TakeoverSettingsFor(const RelayEnvironment& aEnvironment)
{
  TakeoverSettings settings;
  settings.mRules = aEnvironment.mRules;
  return settings;
}

}

RelayGroup::RelayGroup(const RelayEnvironment& aEnvironment,
                       RelayGroupConfiguration aConfiguration,
                       RelayGroupSettings aSettings)
  : mEnvironment(aEnvironment)
  , mConfiguration(std::move(aConfiguration))
  , mSettings(aSettings)
  , mView(aEnvironment.mRules)
  , mTakeover(TakeoverSettingsFor(aEnvironment))
  , mProtocol(aEnvironment.mMakeProtocol())
{
}

RelayGroup::~RelayGroup() = default;

void
RelayGroup::Configure(const RelayGroupConfiguration& aConfiguration)
{
  mConfiguration = aConfiguration;
}

void
RelayGroup::SetPlacement(const GroupPlacement& aPlacement)
{
  if (aPlacement.mIsHome != mPlacement.mIsHome) {
    Log(aPlacement.mIsHome ? "group.home" : "group.standby",
        { { "sharers", std::to_string(aPlacement.mSharingInstances) } });
  }
  mPlacement = aPlacement;
}

void
RelayGroup::SetAccounts(std::shared_ptr<const ClientAccounts> aAccounts)
{
  mAccounts = std::move(aAccounts);
  for (const auto& [name, it] : mMembers) {
    it.mPool->SetAccounts(mAccounts);
  }
}

void
RelayGroup::SetMembers(const std::vector<GroupMember>& aMembers)
{
  const auto before = mView.Members();
  mView.SetMembers(aMembers, mEnvironment.mNow());
  for (const auto& it : before) {
    const auto* now = mView.FindMember(it.mName);
    if (!now || now->mStartedMs != it.mStartedMs) {
      mMembers.erase(it.mName);
      Log("member.removed", { { "upstream", it.mName } });
    }
  }
  for (const auto& it : aMembers) {
    auto& member = mMembers[it.mName];
    member.mLeavingSince =
      it.mIsLeaving
        ? std::optional(member.mLeavingSince.value_or(mEnvironment.mNow()))
        : std::nullopt;
    if (member.mPool) {
      continue;
    }
    member.mPool = std::make_unique<LinkPool>(mConfiguration.mName,
                                              it.mName,
                                              *this,
                                              mEnvironment.mOpenChannel,
                                              mEnvironment.mNow,
                                              [this] {
                                                RunWaitingCommands();
                                                Dispatch();
                                              });
    member.mPool->SetAccounts(mAccounts);
    member.mPool->mOnOpening = [this] { ++mCounts.mConnectionsOpened; };
    member.mPool->mOnReplaced = [this] { ++mCounts.mConnectionsReplaced; };
    member.mPool->mOnFailure = [this, name = it.mName](const Error& aError) {
      if (!mView.IsFailing(name) &&
          aError.mKind != ErrorKind::ConnectionLimit) {
        Log("upstream.lost",
            { { "upstream", name }, { "error", aError.mMessage } });
      }
      if (aError.mKind == ErrorKind::ConnectionLimit) {
        mView.ObserveContact(name, mEnvironment.mNow());
      } else {
        mView.ObserveFailure(name);
      }
    };
    Log("member.added",
        { { "upstream", it.mName }, { "domain", it.mFailureDomain } });
  }
  EndLostAttempts();
  Dispatch();
}

void
RelayGroup::Log(const std::string& aEvent,
                std::vector<std::pair<std::string, std::string>> aFields) const
{
  aFields.insert(aFields.begin(), { "group", mConfiguration.mName });
  mEnvironment.mLog(aEvent, aFields);
}

void
RelayGroup::Submit(RelayRequest aRequest, OutcomeHandler aHandler)
{
  auto pending = std::make_shared<PendingRequest>();
  pending->mRequest = std::move(aRequest);
  pending->mHandler = std::move(aHandler);
  if (mPendingRequests.size() >= mSettings.mQueueLimit) {
    RefuseAtFullQueue(pending);
    if (pending->mIsFinished) {
      return;
    }
  }
  const auto& request = pending->mRequest;
  mActiveUntil = request.mReceivedAt + mSettings.mStandbyDelay;
  ObserveTermOf(request);
  if (request.mRoute.mFreshness != Freshness::Latest) {
    mFrontierNeededUntil = request.mReceivedAt + std::chrono::seconds(3);
  }
  const auto at = std::ranges::upper_bound(
    mPendingRequests, request.mRoute.mRank, {}, [](const auto& it) {
      return it->mRequest.mRoute.mRank;
    });
  mPendingRequests.insert(at, pending);
  if (RequireAdmission(pending)) {
    Dispatch();
  }
}

void
RelayGroup::Continue(const std::shared_ptr<OpenTransaction>& aTransaction,
                     RelayRequest aRequest,
                     OutcomeHandler aHandler)
{
  auto pending = std::make_shared<PendingRequest>();
  pending->mRequest = std::move(aRequest);
  pending->mHandler = std::move(aHandler);
  pending->mTransaction = aTransaction;
  mPendingRequests.push_back(pending);
  if (!aTransaction->mLink->IsReady()) {
    Refuse(pending,
           { ErrorKind::UpstreamLost, "connection of the transaction ended" });
    return;
  }
  if (aTransaction->mLink->Account() != pending->mRequest.mAuthority.mAccount) {
    RollBack(aTransaction);
    Refuse(pending,
           { ErrorKind::AuthenticationFailed,
             "the transaction belongs to another account" });
    return;
  }
  RelayChoice choice;
  choice.mPrimary = aTransaction->mPrimary;
  Start(pending, choice, aTransaction->mLink);
}

bool
RelayGroup::Cancel(const SessionState& aSession)
{
  const auto n = std::erase_if(mPendingRequests, [&](const auto& it) {
    const bool isCancelled =
      it->mRequest.mSession.get() == &aSession && it->IsUnsent();
    if (isCancelled) {
      it->mIsFinished = true;
      ReturnAdmission(*it);
    }
    return isCancelled;
  });
  return n > 0;
}

void
RelayGroup::RollBack(const std::shared_ptr<OpenTransaction>& aTransaction)
{
  const auto it = mMembers.find(aTransaction->mLink->Upstream());
  if (it != mMembers.end()) {
    it->second.mPool->Release(aTransaction->mLink);
  } else {
    aTransaction->mLink->Close();
  }
}

void
RelayGroup::OnRequestSent(const std::string& aUpstream, Instant aNow)
{
  mView.ObserveRequestSent(aUpstream, aNow);
}

void
RelayGroup::OnAnswered(const std::string& aUpstream,
                       const StatementAnswer& aAnswer,
                       Instant aSentAt)
{
  const auto now = mEnvironment.mNow();
  if (mView.IsFailing(aUpstream)) {
    Log("upstream.regained", { { "upstream", aUpstream } });
  }
  if (!aAnswer.mPosition) {
    mView.ObserveContact(aUpstream, now);
    return;
  }
  const auto before = mView.Primary();
  mView.ObservePosition(aUpstream, *aAnswer.mPosition, aSentAt, now);
  if (mView.Primary() != before) {
    Log("primary.denied",
        { { "upstream", aUpstream }, { "reason", "its log lost entries" } });
    RequestStatus(aUpstream, mCounts.mProbes);
  }
}

void
RelayGroup::OnPromotionAnswer(const std::string& aUpstream,
                              PromotionAnswer aAnswer)
{
  mTakeover.OnPromotionAnswer(aUpstream, aAnswer, mEnvironment.mNow());
}

void
RelayGroup::Tick()
{
  const auto now = mEnvironment.mNow();
  mView.UpdateVoters(now);
  if (!IsActive(now)) {
    TickStandby(now);
    return;
  }
  mIsStandingBy = false;
  for (auto& [name, it] : mMembers) {
    it.mPool->Tick(now);
  }
  EndLostAttempts();
  ExpireAttempts(now);
  RunTakeover(now);
  Probe(now);
  RunWaitingCommands();
  RequestEvidence(now);
  CheckUnconfirmedWrites();
  ExpireRequests(now);
  RenewAdmissions(now);
  HedgeReads(now);
  Dispatch();
}

}
