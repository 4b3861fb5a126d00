#include "UpstreamPool.h"

#include <QPointer>
#include <algorithm>
#include <utility>

namespace papayaline {

namespace {

using State = UpstreamConnection::State;

constexpr unsigned kMinReconnectDelayMs = 50;
constexpr unsigned kMaxDelayDoublings = 5;

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
                           std::function<void()> aOnConnectionFree)
  : QObject(aParent)
  , mGroup(std::move(aGroup))
  , mUpstream(std::move(aUpstream))
  , mLimit(aLimit)
  , mOnConnectionFree(std::move(aOnConnectionFree))
{
  mReconnectTimer.setSingleShot(true);
  connect(
    &mReconnectTimer, &QTimer::timeout, this, [this] { OpenConnection(); });
  OpenConnection();
}

UpstreamPool::~UpstreamPool()
{
  // Closing calls the handlers of lost batches, which release their connections
  // to this pool. That must happen before its members are destroyed.
  for (auto& it : mEntries) {
    it.mConnection->Close();
  }
}

void
UpstreamPool::SetLimit(unsigned aLimit)
{
  mLimit = aLimit;
  CloseSurplus();
}

void
UpstreamPool::OpenConnection()
{
  if (mIsRetired || mEntries.size() >= mLimit || mReconnectTimer.isActive()) {
    return;
  }
  mEntries.push_back({});
  mEntries.back().mConnection = std::make_unique<UpstreamConnection>(
    mUpstream.mAddress,
    mGroup,
    nullptr,
    [this] {
      mConsecutiveFailures = 0;
      mOnConnectionFree();
    },
    [this] { RemoveClosedLater(); });
}

/// Removes closed connections and starts the reconnect timer, on the next
/// iteration of the event loop: the caller may be one of these connections.
void
UpstreamPool::RemoveClosedLater()
{
  QMetaObject::invokeMethod(
    this,
    [this] {
      const auto before = mEntries.size();
      mEntries.remove_if([](const auto& it) {
        return !it.mIsInUse && it.mConnection->GetState() == State::Closed;
      });
      if (mEntries.size() == before || mIsRetired) {
        return;
      }
      const auto doublings =
        std::min(mConsecutiveFailures++, kMaxDelayDoublings);
      if (!mReconnectTimer.isActive()) {
        mReconnectTimer.start(
          static_cast<int>(kMinReconnectDelayMs << doublings));
      }
    },
    Qt::QueuedConnection);
}

bool
UpstreamPool::HasIdleConnection() const
{
  return std::ranges::any_of(mEntries, [](const auto& it) {
    return !it.mIsInUse && it.mConnection->GetState() == State::Ready;
  });
}

PooledConnection
UpstreamPool::TryAcquire(ConnectionUse aUse)
{
  if (aUse == ConnectionUse::Statement && !HasFreeSlot()) {
    return {};
  }
  const auto it = std::ranges::find_if(mEntries, [](const auto& aEntry) {
    return !aEntry.mIsInUse && aEntry.mConnection->GetState() == State::Ready;
  });
  if (it == mEntries.end()) {
    const bool isOpening = std::ranges::any_of(mEntries, [](const auto& aIt) {
      return aIt.mConnection->GetState() == State::Connecting;
    });
    if (!isOpening) {
      OpenConnection();
    }
    return {};
  }
  it->mIsInUse = true;
  it->mUse = aUse;
  ++mInUse;
  mRunningStatements += aUse == ConnectionUse::Statement ? 1 : 0;
  return PooledConnection(this, it->mConnection.get());
}

void
UpstreamPool::Release(UpstreamConnection* aConnection, bool aIsClean)
{
  const auto it = std::ranges::find_if(mEntries, [&](const auto& aEntry) {
    return aEntry.mConnection.get() == aConnection;
  });
  it->mIsInUse = false;
  --mInUse;
  mRunningStatements -= it->mUse == ConnectionUse::Statement ? 1 : 0;
  if (!aIsClean) {
    aConnection->Close();
  }
  CloseSurplus();
  QMetaObject::invokeMethod(
    this, [this] { mOnConnectionFree(); }, Qt::QueuedConnection);
}

/// Closes idle connections above the limit, or all of them once retired.
void
UpstreamPool::CloseSurplus()
{
  auto open = std::ranges::count_if(mEntries, [](const auto& it) {
    return it.mConnection->GetState() != State::Closed;
  });
  for (auto& it : mEntries) {
    const bool isSurplus = mIsRetired || open > static_cast<long>(mLimit);
    if (isSurplus && !it.mIsInUse &&
        it.mConnection->GetState() == State::Ready) {
      it.mConnection->Close();
      --open;
    }
  }
  RemoveClosedLater();
}

void
UpstreamPool::Retire()
{
  mIsRetired = true;
  CloseSurplus();
}

void
UpstreamPool::CloseAll()
{
  for (auto& it : mEntries) {
    it.mConnection->Close();
  }
  RemoveClosedLater();
}

}
