#include "LibDecision/GroupView.h"

#include <algorithm>

namespace papayaline {

namespace {

/// Samples of the primary's position that wait for evidence. At 100 answers a
/// second they span more than the evidence takes to arrive.
constexpr size_t kMaxSamples = 256;

}

void
GroupView::SetMembers(std::vector<GroupMember> aMembers)
{
  for (const auto& it : aMembers) {
    const auto* known = FindMember(it.mName);
    if (known && known->mStartedMs != it.mStartedMs) {
      mKnowledge.erase(it.mName);
      if (mPrimary == it.mName) {
        ForgetPrimary();
      }
    }
  }
  mMembers = std::move(aMembers);
  std::erase_if(mKnowledge,
                [this](const auto& it) { return !FindMember(it.first); });
  if (!FindMember(mPrimary)) {
    ForgetPrimary();
  }
}

const GroupMember*
GroupView::FindMember(const std::string& aName) const
{
  const auto it = std::ranges::find(mMembers, aName, &GroupMember::mName);
  return it != mMembers.end() ? &*it : nullptr;
}

void
GroupView::ObserveStatus(const ReplicationStatus& aStatus, Instant aNow)
{
  if (!FindMember(aStatus.mUpstream)) {
    return;
  }
  auto& known = mKnowledge[aStatus.mUpstream];
  known.mContact = aNow;
  known.mIsFailing = false;
  if (known.mStatus && known.mStatus->mAskedAt > aStatus.mAskedAt) {
    return;
  }
  known.mStatus = aStatus;
  if (aStatus.mTerm > mHighestTerm) {
    mHighestTerm = aStatus.mTerm;
    ForgetPrimary();
  }
  if (aStatus.mRole == Role::Primary && aStatus.mTerm == mHighestTerm) {
    if (mPrimary != aStatus.mUpstream) {
      ForgetPrimary();
    }
    mPrimary = aStatus.mUpstream;
    AddSample(aStatus.mReceived, aStatus.mAskedAt);
  } else if (mPrimary == aStatus.mUpstream) {
    ForgetPrimary();
  }
  if (!mPrimary.empty() && Proves(aStatus, mHighestTerm)) {
    mEvidenceAskedAt = std::max(mEvidenceAskedAt, std::optional(aStatus.mAskedAt));
    RecordFrontiers();
  }
}

void
GroupView::ObservePosition(const std::string& aName,
                           LogPosition aApplied,
                           Instant aAskedAt,
                           Instant aNow)
{
  if (!FindMember(aName)) {
    return;
  }
  auto& known = mKnowledge[aName];
  known.mContact = aNow;
  known.mIsFailing = false;
  known.mApplied = aApplied;
  if (aName == mPrimary) {
    AddSample(aApplied, aAskedAt);
  }
}

void
GroupView::ObserveNotPrimary(const std::string& aName)
{
  if (mPrimary == aName) {
    ForgetPrimary();
  }
  if (auto it = mKnowledge.find(aName); it != mKnowledge.end()) {
    it->second.mStatus.reset();
  }
}

void
GroupView::ObserveFailure(const std::string& aName, Instant)
{
  if (FindMember(aName)) {
    mKnowledge[aName].mIsFailing = true;
  }
}

std::optional<PrimaryOfGroup>
GroupView::Primary() const
{
  if (mPrimary.empty()) {
    return std::nullopt;
  }
  return PrimaryOfGroup{ mPrimary, mHighestTerm };
}

uint64_t
GroupView::HighestFencedTerm() const
{
  auto term = mHighestTerm;
  for (const auto& [name, it] : mKnowledge) {
    term = std::max(term, it.mStatus ? it.mStatus->mFencedTerm : 0);
  }
  return term;
}

const ReplicationStatus*
GroupView::StatusOf(const std::string& aName) const
{
  const auto it = mKnowledge.find(aName);
  return it != mKnowledge.end() && it->second.mStatus ? &*it->second.mStatus
                                                      : nullptr;
}

LogPosition
GroupView::AppliedOf(const std::string& aName) const
{
  const auto it = mKnowledge.find(aName);
  return it != mKnowledge.end() ? it->second.mApplied : LogPosition();
}

std::optional<Instant>
GroupView::LastContact(const std::string& aName) const
{
  const auto it = mKnowledge.find(aName);
  return it != mKnowledge.end() ? it->second.mContact : std::nullopt;
}

bool
GroupView::IsFailing(const std::string& aName) const
{
  const auto it = mKnowledge.find(aName);
  return it != mKnowledge.end() && it->second.mIsFailing;
}

bool
GroupView::Proves(const ReplicationStatus& aStatus, uint64_t aTerm) const
{
  return aStatus.mRole == Role::Replica && aStatus.mTerm == aTerm &&
         aStatus.mFencedTerm <= aTerm;
}

bool
GroupView::IsUnreplaced(const PrimaryOfGroup& aPrimary, Instant aSince) const
{
  return IsReplicated(aPrimary, {}, aSince);
}

bool
GroupView::IsReplicated(const PrimaryOfGroup& aPrimary,
                        LogPosition aPosition,
                        Instant aSince) const
{
  return aPrimary.mTerm == mHighestTerm &&
         std::ranges::any_of(mKnowledge, [&](const auto& it) {
           const auto& status = it.second.mStatus;
           return status && status->mAskedAt >= aSince &&
                  Proves(*status, aPrimary.mTerm) &&
                  status->mReceived >= aPosition;
         });
}

void
GroupView::ForgetPrimary()
{
  mPrimary.clear();
  mSamples.clear();
  mEvidenceAskedAt.reset();
}

void
GroupView::AddSample(LogPosition aPosition, Instant aAskedAt)
{
  mSamples.push_back({ aPosition, aAskedAt });
  if (mSamples.size() > kMaxSamples) {
    mSamples.pop_front();
  }
  RecordFrontiers();
}

/// Answers of the primary asked for no later than the evidence came from a
/// primary that had not been replaced, so they include every acknowledged
/// write.
void
GroupView::RecordFrontiers()
{
  std::erase_if(mSamples, [&](const auto& it) {
    if (!mEvidenceAskedAt || it.mAskedAt > *mEvidenceAskedAt) {
      return false;
    }
    mFrontiers.Record({ it.mPosition, it.mAskedAt });
    return true;
  });
}

}
