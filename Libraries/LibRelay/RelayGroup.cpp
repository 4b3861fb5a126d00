#include "LibRelay/RelayGroup.h"

#include "LibRelay/Journey.h"

#include <algorithm>

namespace papayaline {

RelayGroup::RelayGroup(const RelayEnvironment& aEnvironment,
                       RelayGroupConfiguration aConfiguration,
                       RelayGroupSettings aSettings)
  : mEnvironment(aEnvironment)
  , mConfiguration(std::move(aConfiguration))
  , mSettings(aSettings)
  , mProtocol(aEnvironment.mProtocol())
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
        { { "sharers", std::to_string(aPlacement.mSharers) } });
  }
  mPlacement = aPlacement;
}

void
RelayGroup::SetMembers(const std::vector<GroupMember>& aMembers)
{
  const auto before = mView.Members();
  mView.SetMembers(aMembers);
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
                                              mEnvironment.mOpen,
                                              mEnvironment.mNow,
                                              [this] {
                                                RunWaitingCommands();
                                                Dispatch();
                                              });
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
  auto journey = std::make_shared<Journey>();
  journey->mRequest = std::move(aRequest);
  journey->mHandler = std::move(aHandler);
  if (mJourneys.size() >= mSettings.mQueueLimit) {
    mJourneys.push_back(journey);
    Refuse(journey, { ErrorKind::QueueFull, "queue of the group is full" });
    return;
  }
  const auto& request = journey->mRequest;
  mFollowedUntil = request.mAskedAt + mSettings.mStandbyLinger;
  if (request.mRoute.mFreshness != Freshness::Latest) {
    mFrontierWantedUntil = request.mAskedAt + std::chrono::seconds(3);
  }
  const auto at = std::ranges::upper_bound(
    mJourneys, request.mRoute.mRank, {}, [](const auto& it) {
      return it->mRequest.mRoute.mRank;
    });
  mJourneys.insert(at, journey);
  Dispatch();
}

void
RelayGroup::Continue(const std::shared_ptr<TransactionHold>& aHold,
                     RelayRequest aRequest,
                     OutcomeHandler aHandler)
{
  auto journey = std::make_shared<Journey>();
  journey->mRequest = std::move(aRequest);
  journey->mHandler = std::move(aHandler);
  journey->mHold = aHold;
  mJourneys.push_back(journey);
  if (!aHold->mLink->IsReady()) {
    Refuse(journey,
           { ErrorKind::UpstreamLost, "connection of the transaction ended" });
    return;
  }
  RelayChoice choice;
  choice.mPrimary = aHold->mPrimary;
  Start(journey, choice, aHold->mLink);
}

void
RelayGroup::Cancel(const SessionState& aSession)
{
  std::erase_if(mJourneys, [&](const auto& it) {
    const bool isCancelled =
      it->mRequest.mSession.get() == &aSession && it->IsWaiting();
    it->mIsFinished |= isCancelled;
    return isCancelled;
  });
}

void
RelayGroup::Abandon(const std::shared_ptr<TransactionHold>& aHold)
{
  const auto it = mMembers.find(aHold->mLink->Upstream());
  if (it != mMembers.end()) {
    it->second.mPool->Release(aHold->mLink);
  } else {
    aHold->mLink->Drop();
  }
}

void
RelayGroup::OnAsked(const std::string& aUpstream, Instant aNow)
{
  mView.ObserveAsked(aUpstream, aNow);
}

void
RelayGroup::OnAnswered(const std::string& aUpstream,
                       const StatementAnswer& aAnswer,
                       Instant aAskedAt)
{
  const auto now = mEnvironment.mNow();
  if (mView.IsFailing(aUpstream)) {
    Log("upstream.regained", { { "upstream", aUpstream } });
  }
  mView.ObservePosition(aUpstream,
                        aAnswer.mPosition.value_or(mView.AppliedOf(aUpstream)),
                        aAskedAt,
                        now);
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
  if (!IsFollowing(now)) {
    StandBy(now);
    return;
  }
  mIsStandingBy = false;
  for (auto& [name, it] : mMembers) {
    it.mPool->Tick(now);
  }
  ExpireExchanges(now);
  RunTakeover(now);
  Probe(now);
  RunWaitingCommands();
  AskEvidence(now);
  CheckConfirmations();
  ExpireJourneys(now);
  HedgeReads(now);
  Dispatch();
}

}
