#include "UpstreamPool.h"

#include <QPointer>
#include <algorithm>
#include <utility>

namespace papayaline {

namespace {

using State = UpstreamConnection::State;

constexpr unsigned kFirstRetryMs = 50;
constexpr unsigned kMaxRetryDoublings = 5;

}

PooledConnection::PooledConnection(UpstreamPool* aPool,
                                   UpstreamConnection* aConnection)
  : mPool(aPool)
  , mConnection(aConnection)
{
}

PooledConnection::PooledConnection(PooledConnection&& aOther) noexcept
  : mPool(aOther.mPool)
  , mConnection(std::exchange(aOther.mConnection, nullptr))
{
}

PooledConnection&
PooledConnection::operator=(PooledConnection&& aOther) noexcept
{
  Discard();
  mPool = aOther.mPool;
  mConnection = std::exchange(aOther.mConnection, nullptr);
  return *this;
}

void
PooledConnection::Run(const std::vector<UpstreamStatement>& aBatch,
                      UpstreamConnection::BatchHandler aHandler)
{
  if (!mPool || mConnection->GetState() != State::Ready) {
    BatchResult lost;
    lost.mIsLost = true;
    aHandler(lost);
    return;
  }
  mConnection->Run(aBatch, std::move(aHandler));
}

void
PooledConnection::ReturnClean()
{
  if (auto* it = std::exchange(mConnection, nullptr); it && mPool) {
    mPool->Release(it, it->GetState() == State::Ready);
  }
}

void
PooledConnection::Discard()
{
  if (auto* it = std::exchange(mConnection, nullptr); it && mPool) {
    mPool->Release(it, false);
  }
}

UpstreamPool::UpstreamPool(GroupConfiguration aGroup,
                           UpstreamConfiguration aUpstream,
                           unsigned aLimit,
                           QObject* aParent,
                           std::function<void()> aOnFree)
  : QObject(aParent)
  , mGroup(std::move(aGroup))
  , mUpstream(std::move(aUpstream))
  , mLimit(aLimit)
  , mOnFree(std::move(aOnFree))
{
  mRetry.setSingleShot(true);
  connect(&mRetry, &QTimer::timeout, this, [this] { Open(); });
  Open();
}

UpstreamPool::~UpstreamPool()
{
  // Closing reports lost batches, whose handlers must not find the pool.
  for (auto& it : mEntries) {
    it.mConnection->Close();
  }
}

void
UpstreamPool::SetLimit(unsigned aLimit)
{
  mLimit = aLimit;
  Sweep();
}

void
UpstreamPool::Open()
{
  if (mIsRetired || mEntries.size() >= mLimit || mRetry.isActive()) {
    return;
  }
  mEntries.push_back({});
  mEntries.back().mConnection = std::make_unique<UpstreamConnection>(
    mUpstream.mAddress,
    mGroup,
    nullptr,
    [this] {
      mFailures = 0;
      mOnFree();
    },
    [this] { OnClosed(); });
}

/// Called from within a connection, which is therefore removed later.
void
UpstreamPool::OnClosed()
{
  QMetaObject::invokeMethod(
    this,
    [this] {
      const auto before = mEntries.size();
      mEntries.remove_if([](const auto& it) {
        return !it.mIsLeased && it.mConnection->GetState() == State::Closed;
      });
      if (mEntries.size() == before || mIsRetired) {
        return;
      }
      const auto doublings = std::min(mFailures++, kMaxRetryDoublings);
      if (!mRetry.isActive()) {
        mRetry.start(static_cast<int>(kFirstRetryMs << doublings));
      }
    },
    Qt::QueuedConnection);
}

bool
UpstreamPool::HasIdle() const
{
  return std::ranges::any_of(mEntries, [](const auto& it) {
    return !it.mIsLeased && it.mConnection->GetState() == State::Ready;
  });
}

PooledConnection
UpstreamPool::TryAcquire(ConnectionUse aUse)
{
  if (aUse == ConnectionUse::Statement && !MayRunStatement()) {
    return {};
  }
  const auto it = std::ranges::find_if(mEntries, [](const auto& aEntry) {
    return !aEntry.mIsLeased && aEntry.mConnection->GetState() == State::Ready;
  });
  if (it == mEntries.end()) {
    const bool isOpening = std::ranges::any_of(mEntries, [](const auto& aIt) {
      return aIt.mConnection->GetState() == State::Connecting;
    });
    if (!isOpening) {
      Open();
    }
    return {};
  }
  it->mIsLeased = true;
  it->mUse = aUse;
  ++mInUse;
  mStatements += aUse == ConnectionUse::Statement ? 1 : 0;
  return PooledConnection(this, it->mConnection.get());
}

void
UpstreamPool::Release(UpstreamConnection* aConnection, bool aIsClean)
{
  const auto it = std::ranges::find_if(mEntries, [&](const auto& aEntry) {
    return aEntry.mConnection.get() == aConnection;
  });
  it->mIsLeased = false;
  --mInUse;
  mStatements -= it->mUse == ConnectionUse::Statement ? 1 : 0;
  if (!aIsClean) {
    aConnection->Close();
  }
  Sweep();
  QMetaObject::invokeMethod(
    this, [this] { mOnFree(); }, Qt::QueuedConnection);
}

/// Closes idle connections over the limit.
void
UpstreamPool::Sweep()
{
  auto open = std::ranges::count_if(mEntries, [](const auto& it) {
    return it.mConnection->GetState() != State::Closed;
  });
  for (auto& it : mEntries) {
    const bool isSurplus = mIsRetired || open > static_cast<long>(mLimit);
    if (isSurplus && !it.mIsLeased &&
        it.mConnection->GetState() == State::Ready) {
      it.mConnection->Close();
      --open;
    }
  }
  OnClosed();
}

void
UpstreamPool::Retire()
{
  mIsRetired = true;
  Sweep();
}

void
UpstreamPool::Abandon()
{
  for (auto& it : mEntries) {
    it.mConnection->Close();
  }
  OnClosed();
}

}
