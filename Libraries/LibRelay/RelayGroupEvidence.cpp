#include "LibRelay/Journey.h"
#include "LibRelay/RelayGroup.h"

#include <algorithm>

namespace papayaline {

bool
RelayGroup::IsReplaced(const PrimaryOfGroup& aPrimary) const
{
  return mView.HighestTerm() > aPrimary.mTerm;
}

void
RelayGroup::Confirm(const JourneyPointer& aJourney,
                    const StatementAnswer& aAnswer,
                    const PrimaryOfGroup& aPrimary)
{
  ++mCounts.mWrites;
  aJourney->mIsConfirming = true;
  mConfirmations.push_back({ aJourney,
                             aAnswer,
                             aPrimary,
                             aAnswer.mPosition.value_or(LogPosition()),
                             mEnvironment.mNow() });
  CheckConfirmations();
  AskEvidence(mEnvironment.mNow());
}

bool
RelayGroup::IsConfirmed(const Confirmation& aConfirmation, Instant aNow) const
{
  const auto& primary = aConfirmation.mPrimary;
  const bool mayGoUnreplicated =
    mEnvironment.mAcknowledgement == Acknowledgement::Leader &&
    mConfiguration.mSyncReplicas == 0 &&
    aNow - aConfirmation.mSince >= mSettings.mReplicationWait;
  return mView.IsReplicated(primary, aConfirmation.mWritten) ||
         (mayGoUnreplicated &&
          mView.IsUnchallenged(primary, aConfirmation.mSince));
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
    Finish(it.mJourney, it.mAnswer);
  }
  for (const auto& it : failed) {
    it.mJourney->mIsConfirming = false;
    Refuse(it.mJourney,
           { ErrorKind::OutcomeUnknown, "committed, but not confirmed" });
  }
  SendParked();
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
RelayGroup::WantsEvidence() const
{
  return !mConfirmations.empty() || !mParked.empty() ||
         std::ranges::any_of(mJourneys, [](const auto& it) {
           return it->IsWaiting() &&
                  it->mWaitsFor == RelayVerdict::WaitForEvidence;
         });
}

Duration
RelayGroup::ConfirmingFor(Instant aNow) const
{
  return mConfirmations.empty() ? Duration{}
                                : aNow - mConfirmations.front().mSince;
}

/// The replicas in the order in which they are asked for evidence: those known
/// to be in the term first.
std::vector<std::string>
RelayGroup::EvidenceOrder(const PrimaryOfGroup& aPrimary) const
{
  using Rank = std::tuple<bool, bool, bool, Duration>;
  std::vector<std::pair<Rank, std::string>> ranked;
  for (const auto& it : mView.Members()) {
    if (it.mName == aPrimary.mName || mView.IsFailing(it.mName)) {
      continue;
    }
    const auto& member = mMembers.at(it.mName);
    ranked.push_back({ { !mView.IsFollowing(it.mName, aPrimary),
                         !member.mPool->HasFree(),
                         it.mFailureDomain != mEnvironment.mFailureDomain,
                         member.mServiceTime },
                       it.mName });
  }
  std::ranges::sort(ranked);
  std::vector<std::string> names;
  std::ranges::transform(ranked, std::back_inserter(names), [](const auto& it) {
    return it.second;
  });
  return names;
}

void
RelayGroup::AskEvidence(Instant aNow)
{
  const bool wantsFrontier = WantsFrontier(aNow);
  const auto primary = mView.Primary();
  if (!primary || aNow < mNextEvidence ||
      (!wantsFrontier && !WantsEvidence())) {
    return;
  }
  mEvidenceMissingSince = mEvidenceMissingSince.value_or(aNow);
  const auto waited = ConfirmingFor(aNow);
  const auto size = mView.Members().size();
  const auto needed = std::max<size_t>(size - MajorityOf(size), 1);
  const auto order = EvidenceOrder(*primary);
  const auto following = std::ranges::count_if(
    order, [&](const auto& it) { return mView.IsFollowing(it, *primary); });
  // Replicas that are slow to receive are asked less and less often, and then
  // all of them; so are those that may not know of the term yet.
  const bool wantsAll = waited >= mSettings.mReplicationWait / 2 ||
                        static_cast<size_t>(following) < needed;
  auto wanted = wantsAll ? size : needed;
  mNextEvidence = aNow + std::max(mEvidencePace.Interval(), waited / 2);
  if (wantsFrontier && !mMembers.at(primary->mName).IsAsked()) {
    AskStatus(primary->mName, mCounts.mEvidenceRequests);
  }
  for (const auto& it : order) {
    if (wanted == 0) {
      return;
    }
    if (mMembers.at(it).mCalls.empty()) {
      AskStatus(it, mCounts.mEvidenceRequests);
    }
    wanted -= IsAskedPromptly(mMembers.at(it), aNow) ? 1 : 0;
  }
}

/// Whether a status request is under way, or its connection, that is not late.
bool
RelayGroup::IsAskedPromptly(const Member& aMember, Instant aNow) const
{
  return aMember.IsAsked()
           ? aNow - aMember.mCalls.front().mAskedAt < mSettings.mEvidenceTimeout
           : aMember.mPool->IsOpeningSince(aNow - mSettings.mUsualOpening);
}

}
