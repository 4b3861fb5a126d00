#include "LibRelay/LinkPool.h"

#include "LibDecision/Backoff.h"

#include <algorithm>
#include <utility>

namespace papayaline {

LinkPool::LinkPool(std::string aGroup,
                   std::string aUpstream,
                   LinkObserver& aObserver,
                   const ChannelOpener& aOpener,
                   UpstreamLink::Clock aClock,
                   std::function<void()> aOnChange)
  : mGroup(std::move(aGroup))
  , mUpstream(std::move(aUpstream))
  , mObserver(aObserver)
  , mOpener(aOpener)
  , mClock(std::move(aClock))
  , mOnChange(std::move(aOnChange))
{
}

LinkPool::~LinkPool()
{
  for (const auto& it : mEntries) {
    it.mLink->Close();
  }
}

unsigned
LinkPool::InUse() const
{
  return static_cast<unsigned>(std::ranges::count_if(
    mEntries, [](const auto& it) { return it.mIsInUse; }));
}

unsigned
LinkPool::ReadyCount() const
{
  return static_cast<unsigned>(std::ranges::count_if(
    mEntries, [](const auto& it) { return it.mLink->IsReady(); }));
}

unsigned
LinkPool::RunningCount() const
{
  return static_cast<unsigned>(std::ranges::count_if(
    mEntries, [](const auto& it) { return it.mLink->InFlightCount() > 0; }));
}

unsigned
LinkPool::OpeningCount() const
{
  return static_cast<unsigned>(
    std::ranges::count_if(mEntries, [](const auto& it) {
      return it.mLink->GetState() == UpstreamLink::State::Opening;
    }));
}

bool
LinkPool::MayOpen(unsigned aLimit) const
{
  return mEntries.size() < aLimit && mClock() >= mRetryAt;
}

bool
LinkPool::IsFree(const Entry& aEntry)
{
  return !aEntry.mIsInUse && aEntry.mLink->IsClean();
}

bool
LinkPool::HasFree() const
{
  return std::ranges::any_of(mEntries, IsFree);
}

bool
LinkPool::HasFree(const std::string& aAccount) const
{
  return std::ranges::any_of(mEntries, [&](const auto& it) {
    return IsFree(it) && it.mLink->Account() == aAccount;
  });
}

void
LinkPool::BeginDispatch(Duration aAnswerTime)
{
  mAnswerTime = aAnswerTime;
  mWaitingBefore = std::exchange(mWaiting, {});
  mCounts.reset();
}

unsigned
LinkPool::WaitingCount(const std::string& aAccount) const
{
  const auto it = mWaiting.find(aAccount);
  return it != mWaiting.end() ? it->second : 0;
}

std::optional<ConnectionVerdict>
LinkPool::OpenIfNoneFree(const std::string& aAccount)
{
  if (HasFree(aAccount)) {
    return std::nullopt;
  }
  mNextAccount = aAccount;
  mHasAccounts |= !aAccount.empty();
  if (!mHasAccounts) {
    if (OpeningCount() == 0 && MayOpen(mPlan.mAllowance)) {
      Open(aAccount);
    }
    return std::nullopt;
  }
  if (mClock() < mRetryAt) {
    return std::nullopt;
  }
  const auto choice = Choose(aAccount, std::max(WaitingCount(aAccount), 1U));
  if (choice.mVerdict == ConnectionVerdict::Replace) {
    CloseFree(choice.mReplaced);
    if (mOnReplaced) {
      mOnReplaced();
    }
  }
  if (choice.mVerdict == ConnectionVerdict::Open ||
      choice.mVerdict == ConnectionVerdict::Replace) {
    Open(aAccount);
  }
  return choice.mVerdict;
}

std::optional<Duration>
LinkPool::ExpectedDelay(const std::string& aAccount) const
{
  if (!mHasAccounts || mClock() < mRetryAt) {
    return std::nullopt;
  }
  const ConnectionLimits limits;
  switch (Choose(aAccount, WaitingCount(aAccount) + 1).mVerdict) {
    case ConnectionVerdict::Open:
    case ConnectionVerdict::Replace:
    case ConnectionVerdict::WaitForOpening:
      return limits.mOpenTime;
    case ConnectionVerdict::WaitForOwn:
      return mAnswerTime;
    default:
      return std::nullopt;
  }
}

ConnectionChoice
LinkPool::Choose(const std::string& aAccount, unsigned aPosition) const
{
  ConnectionLimits limits;
  limits.mAllowance = mPlan.mAllowance;
  limits.mTotal = static_cast<unsigned>(mEntries.size());
  limits.mMaxOpenings = mPlan.mMaxOpenings;
  limits.mOpenings = OpeningCount();
  limits.mAnswerTime = mAnswerTime;
  if (!mCounts) {
    mCounts = CountByAccount();
  }
  return ChooseConnection(aAccount, aPosition, *mCounts, limits);
}

std::vector<AccountConnections>
LinkPool::CountByAccount() const
{
  const auto now = mClock();
  std::map<std::string_view, AccountConnections> counts;
  for (const auto& it : mEntries) {
    auto& count = counts[it.mLink->Account()];
    if (it.mLink->GetState() == UpstreamLink::State::Opening) {
      ++count.mOpening;
    } else if (IsFree(it)) {
      ++count.mIdle;
      count.mIdleTime = std::max(count.mIdleTime, now - it.mLink->LastUsedAt());
    } else if (it.mLink->Transaction() != TransactionState::None) {
      ++count.mInTransaction;
    } else {
      ++count.mRunning;
    }
  }
  for (const auto& [name, n] : mWaitingBefore) {
    counts[name].mWaiting = n;
  }
  for (const auto& [name, n] : mWaiting) {
    auto& count = counts[name];
    count.mWaiting = std::max(count.mWaiting, n);
  }
  std::vector<AccountConnections> all;
  for (auto& [name, it] : counts) {
    it.mAccount = name;
    it.mRate = mDemand.Rate(it.mAccount, now);
    all.push_back(std::move(it));
  }
  return all;
}

bool
LinkPool::IsGone(const std::string& aAccount) const
{
  return mAccounts && !aAccount.empty() && !mAccounts->FindByName(aAccount);
}

void
LinkPool::CloseFree(const std::string& aAccount)
{
  LinkPointer oldest;
  for (const auto& it : mEntries) {
    const bool mayClose = IsFree(it) && it.mLink->Account() == aAccount;
    if (mayClose &&
        (!oldest || it.mLink->LastUsedAt() < oldest->LastUsedAt())) {
      oldest = it.mLink;
    }
  }
  if (oldest) {
    oldest->Close();
    Remove(oldest);
  }
}

bool
LinkPool::IsOpeningSince(Instant aSince) const
{
  return std::ranges::any_of(mEntries, [&](const auto& it) {
    return it.mLink->GetState() == UpstreamLink::State::Opening &&
           it.mLink->WaitingSince() >= aSince;
  });
}

bool
LinkPool::IsOpeningSince(Instant aSince, const std::string& aAccount) const
{
  return std::ranges::any_of(mEntries, [&](const auto& it) {
    return it.mLink->GetState() == UpstreamLink::State::Opening &&
           it.mLink->Account() == aAccount &&
           it.mLink->WaitingSince() >= aSince;
  });
}

LinkPointer
LinkPool::Acquire(const SessionState& aSession, const std::string& aAccount)
{
  OpenIfNoneFree(aAccount);
  if (mHasAccounts) {
    mDemand.Observe(aAccount, mClock());
  }
  return AcquireWhere(aSession,
                      [&](const auto& it) { return it.Account() == aAccount; });
}

LinkPointer
LinkPool::AcquireForControl()
{
  if (!HasFree() && OpeningCount() == 0 && MayOpen(mPlan.mAllowance)) {
    Open(mNextAccount);
  }
  return AcquireWhere({}, [](const auto&) { return true; });
}

LinkPointer
LinkPool::AcquireWhere(const SessionState& aSession,
                       const std::function<bool(const UpstreamLink&)>& aFilter)
{
  Entry* best = nullptr;
  size_t bestCount = 0;
  for (auto& it : mEntries) {
    if (!IsFree(it) || !aFilter(*it.mLink)) {
      continue;
    }
    const auto count = it.mLink->Session().PreparationCount(aSession);
    if (!best || count < bestCount) {
      best = &it;
      bestCount = count;
    }
  }
  if (!best) {
    return nullptr;
  }
  best->mIsInUse = true;
  mCounts.reset();
  return best->mLink;
}

void
LinkPool::OpenAdditional()
{
  if (OpeningCount() == 0 && MayOpen(mPlan.mAllowance + 1)) {
    Open(mNextAccount);
  }
}

void
LinkPool::Open(const std::string& aAccount)
{
  const auto link = std::make_shared<UpstreamLink>(
    ChannelTarget{ mGroup, mUpstream, aAccount }, mObserver, mClock);
  mEntries.push_back({ link, false });
  mCounts.reset();
  if (mOnOpening) {
    mOnOpening();
  }
  const std::weak_ptr weak = link;
  link->Open(mOpener, [this, weak](const std::optional<Error>& aError) {
    if (const auto opened = weak.lock()) {
      OnState(opened, aError);
    }
  });
}

void
LinkPool::OnState(const LinkPointer& aLink, const std::optional<Error>& aError)
{
  mCounts.reset();
  if (!aError) {
    mFailure.reset();
    mFailures = 0;
  } else {
    Remove(aLink);
    mFailure = aError;
    mRetryAt = mClock() + RetryDelay(*aError);
    ++mFailures;
    if (mOnFailure) {
      mOnFailure(*aError);
    }
  }
  mOnChange();
}

/// The delay doubles with each failure, and is spread between half of it and
/// all of it, so that instances that failed together don't retry together.
Duration
LinkPool::RetryDelay(const Error& aError) const
{
  constexpr unsigned kMaxDoublings = 4;
  const auto limit = aError.mKind == ErrorKind::ConnectionLimit
                       ? mSettings.mMaxLimitRetryDelay
                       : mSettings.mMaxRetryDelay;
  const auto delay = std::min<Duration>(
    mSettings.mRetryDelay * (1 << std::min(mFailures, kMaxDoublings)), limit);
  return AddJitter(delay, mClock());
}

LinkPool::Entry*
LinkPool::Find(const LinkPointer& aLink)
{
  const auto it = std::ranges::find(mEntries, aLink, &Entry::mLink);
  return it != mEntries.end() ? &*it : nullptr;
}

void
LinkPool::Remove(const LinkPointer& aLink)
{
  mCounts.reset();
  std::erase_if(mEntries, [&](const auto& it) { return it.mLink == aLink; });
}

void
LinkPool::Release(const LinkPointer& aLink)
{
  auto* entry = Find(aLink);
  if (!entry) {
    return;
  }
  entry->mIsInUse = false;
  mCounts.reset();
  if (aLink->IsReady() && aLink->Transaction() != TransactionState::None) {
    UpstreamCommand rollback;
    rollback.mType = CommandType::Rollback;
    aLink->Run(rollback, [this](const StatementAnswer&) { mOnChange(); });
    return;
  }
  mOnChange();
}

void
LinkPool::Discard(const LinkPointer& aLink)
{
  aLink->Close();
  Remove(aLink);
  mOnChange();
}

void
LinkPool::Tick(Instant aNow)
{
  std::vector<LinkPointer> late;
  const size_t kept = std::max(mPlan.mMinimum, mPlan.mKept);
  auto spare = mEntries.size() - std::min(mEntries.size(), kept);
  auto entries = mEntries;
  if (mHasAccounts) {
    std::ranges::sort(
      entries, {}, [](const auto& it) { return it.mLink->LastUsedAt(); });
  }
  for (const auto& it : entries) {
    const auto& link = it.mLink;
    const bool isOpening = link->GetState() == UpstreamLink::State::Opening;
    const bool isStuck =
      isOpening && aNow - link->WaitingSince() >= mSettings.mOpenTimeout;
    const bool isSpare = !it.mIsInUse && link->IsClean() && spare > 0 &&
                         aNow - link->LastUsedAt() >= mPlan.mIdleTimeout;
    spare -= isSpare ? 1 : 0;
    const bool isUnneeded =
      !it.mIsInUse && link->IsClean() && IsGone(link->Account());
    const bool isUnanswered =
      !it.mIsInUse && link->InFlightCount() > 0 &&
      aNow - link->WaitingSince() >= mSettings.mReleaseTimeout;
    if (isStuck || isSpare || isUnneeded || isUnanswered) {
      late.push_back(link);
    }
  }
  for (const auto& it : late) {
    const bool isStuck = it->GetState() == UpstreamLink::State::Opening;
    it->Close();
    if (isStuck) {
      OnState(it, Error{ ErrorKind::Unreachable, "opening timed out" });
    } else {
      Remove(it);
    }
  }
  if (mEntries.size() < mPlan.mMinimum && OpeningCount() == 0 &&
      MayOpen(mPlan.mAllowance)) {
    Open(mNextAccount);
  }
}

}
