#include "QuotaWorld.h"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <numeric>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr Duration kMinDelay = 1ms;
constexpr Duration kTickInterval = 20ms;

Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

}

/// A connection between two instances.
struct QuotaWorld::Link
{
  size_t mFrom = 0;
  size_t mTo = 0;
  PeerChannelEvents mEvents;
};

class QuotaWorld::Channel : public PeerChannel
{
public:
  Channel(QuotaWorld& aWorld, std::shared_ptr<Link> aLink)
    : mWorld(aWorld)
    , mLink(std::move(aLink))
  {
  }
  ~Channel() override { mLink->mEvents = {}; }

  void Send(const PeerMessage& aMessage) override
  {
    mWorld.Transmit(
      mLink->mFrom,
      mLink->mTo,
      aMessage,
      [world = &mWorld, link = mLink](const PeerMessage& it) {
        const auto* request = std::get_if<QuotaRequest>(&it);
        if (!request) {
          return;
        }
        world->At(link->mTo).mQuota->ServeQuota(
          *request, [world, link](const QuotaAnswer& aAnswer) {
            world->Transmit(
              link->mTo, link->mFrom, aAnswer, [link](const PeerMessage& ans) {
                if (const auto onMessage = link->mEvents.mOnMessage) {
                  onMessage(ans);
                }
              });
          });
      });
  }

private:
  QuotaWorld& mWorld;
  std::shared_ptr<Link> mLink;
};

QuotaWorld::QuotaWorld(size_t aInstances, unsigned aSeed)
  : mRandom(aSeed)
  , mInstances(aInstances)
{
  for (size_t n = 0; n < aInstances; ++n) {
    auto& info = mInstances[n].mInfo;
    info.mName = "i" + std::to_string(n);
    info.mAddress = std::to_string(n);
    info.mWeight = 12 + n % 39;
  }
}

QuotaWorld::~QuotaWorld() = default;

std::vector<InstanceInfo>
QuotaWorld::ListOf(size_t aCount) const
{
  std::vector<InstanceInfo> list;
  std::transform(mInstances.begin(),
                 mInstances.begin() + static_cast<ptrdiff_t>(aCount),
                 std::back_inserter(list),
                 [](const auto& it) { return it.mInfo; });
  return list;
}

size_t
QuotaWorld::FirstBank() const
{
  const auto order = RendezvousOrder("quota bank", ListOf(mInstances.size()));
  return std::stoul(order.front().mAddress);
}

std::vector<size_t>
QuotaWorld::Homes(size_t aCount, std::optional<size_t> aWithout)
{
  std::vector<size_t> all(mInstances.size());
  std::iota(all.begin(), all.end(), 0);
  if (aWithout) {
    std::erase(all, *aWithout);
  }
  std::shuffle(all.begin(), all.end(), mRandom);
  all.resize(aCount);
  return all;
}

void
QuotaWorld::Schedule(size_t aTo, Duration aDelay, std::function<void()> aRun)
{
  mEvents.push({ mNow + aDelay,
                 ++mLastEvent,
                 aTo,
                 mInstances[aTo].mIncarnation,
                 std::move(aRun) });
}

void
QuotaWorld::Transmit(size_t aFrom,
                     size_t aTo,
                     const PeerMessage& aMessage,
                     std::function<void(const PeerMessage&)> aDeliver)
{
  const auto& from = mInstances[aFrom];
  const auto& to = mInstances[aTo];
  if (from.mIsCut || to.mIsCut || !to.mIsAlive || Random() < mLossRate) {
    return;
  }
  mMessages += std::holds_alternative<PeerHello>(aMessage) ? 0 : 1;
  const auto bytes = EncodePeerMessage(aMessage);
  const int copies = Random() < mRepeatRate ? 2 : 1;
  for (int n = 0; n < copies; ++n) {
    const auto delay =
      Random() < mDelayRate
        ? FromSeconds(Random() *
                      std::chrono::duration<double>(mMaxDelay).count())
        : kMinDelay + FromSeconds(Random() * 0.002);
    Schedule(aTo, delay, [=] { aDeliver(DecodePeerMessage(bytes).Value()); });
  }
}

std::unique_ptr<PeerChannel>
QuotaWorld::Open(size_t aFrom,
                 const std::string& aAddress,
                 PeerChannelEvents aEvents)
{
  auto link = std::make_shared<Link>();
  link->mFrom = aFrom;
  link->mTo = std::stoul(aAddress);
  link->mEvents = std::move(aEvents);
  mLinks.push_back(link);
  const auto& to = mInstances[link->mTo];
  if (!to.mIsAlive) {
    Schedule(aFrom, 2ms, [link] {
      if (const auto onClosed = link->mEvents.mOnClosed) {
        onClosed({ ErrorKind::Unreachable, "refused" });
      }
    });
  } else if (!mInstances[aFrom].mIsCut && !to.mIsCut) {
    Schedule(link->mTo, 1ms, [this, link] {
      Schedule(link->mFrom, 1ms, [this, link] {
        if (const auto onOpened = link->mEvents.mOnOpened) {
          onOpened();
        }
        if (const auto onMessage = link->mEvents.mOnMessage) {
          PeerHello hello;
          hello.mFeatureLevel = mFeatureLevel;
          onMessage(hello);
        }
      });
    });
  }
  return std::make_unique<Channel>(*this, link);
}

void
QuotaWorld::Start(size_t aIndex, StartListing aListing)
{
  auto& it = mInstances[aIndex];
  it.mIsAlive = true;
  ++it.mIncarnation;
  const auto now = [this] { return mNow; };
  const auto log = [](const std::string&, const auto&) {};
  it.mQuota.reset();
  it.mPeers = std::make_unique<PeerPool>(
    it.mInfo.mName,
    [this, aIndex](const std::string& aAddress, PeerChannelEvents aEvents) {
      return Open(aIndex, aAddress, std::move(aEvents));
    },
    now,
    log);
  it.mQuota = std::make_unique<QuotaExchange>(
    it.mInfo.mName, kTolerance, *it.mPeers, now, log);
  it.mListing = aListing;
  ConfigureInstance(aIndex);
  TickLater(aIndex);
}

void
QuotaWorld::StartAll()
{
  for (size_t n = 0; n < mInstances.size(); ++n) {
    Start(n);
    SetList(n, ListOf(mInstances.size()));
  }
}

void
QuotaWorld::ConfigureInstance(size_t aIndex)
{
  mInstances[aIndex].mQuota->Configure(mAccounts);
}

void
QuotaWorld::SetAccounts(std::vector<ClientAccount> aAccounts)
{
  mAccounts = std::make_shared<const ClientAccounts>(std::move(aAccounts));
  for (size_t n = 0; n < mInstances.size(); ++n) {
    if (mInstances[n].mIsAlive) {
      ConfigureInstance(n);
    }
  }
}

void
QuotaWorld::SetList(size_t aIndex, const std::vector<InstanceInfo>& aList)
{
  auto& it = mInstances[aIndex];
  it.mPeers->SetPeers(aList);
  it.mQuota->SetFleet(aList, it.mListing);
}

void
QuotaWorld::Kill(size_t aIndex, Death aDeath)
{
  auto& it = mInstances[aIndex];
  it.mIsAlive = false;
  ++it.mIncarnation;
  for (const auto& weak : mLinks) {
    const auto link = weak.lock();
    if (link && link->mTo == aIndex && aDeath == Death::ConnectionsClosed) {
      Schedule(link->mFrom, 1ms, [link] {
        if (const auto onClosed = link->mEvents.mOnClosed) {
          onClosed({ ErrorKind::Unreachable, "reset" });
        }
      });
    }
  }
}

void
QuotaWorld::TickLater(size_t aIndex)
{
  Schedule(aIndex, kTickInterval, [this, aIndex] {
    mInstances[aIndex].mPeers->Tick();
    mInstances[aIndex].mQuota->Tick();
    TickLater(aIndex);
  });
}

void
QuotaWorld::Submit(const Load& aLoad)
{
  const auto home = aLoad.mHomes[mRandom() % aLoad.mHomes.size()];
  if (!mInstances[home].mIsAlive) {
    return;
  }
  Schedule(home, 0ms, [this, home, account = aLoad.mAccount] {
    mInstances[home].mQuota->Admit(account, [=, this](QuotaVerdict aVerdict) {
      if (aVerdict == QuotaVerdict::Exceeded) {
        ++mRefused[account];
      } else {
        // Some operations wait for a slot until their admission expires.
        const auto wait = mInstances[home].mQuota->Validity() * Random();
        mSentAt[account].push_back(mNow +
                                   std::chrono::duration_cast<Duration>(wait));
      }
    });
  });
}

void
QuotaWorld::Run(Duration aTime)
{
  constexpr Duration kStep = 1ms;
  const auto end = mNow + aTime;
  while (mNow < end) {
    mNow += kStep;
    for (const auto& it : mLoads) {
      std::poisson_distribution<int> arrivals(it.mPerSecond * 0.001);
      for (int n = arrivals(mRandom); n > 0; --n) {
        Submit(it);
      }
    }
    while (!mEvents.empty() && mEvents.top().mAt <= mNow) {
      auto event = mEvents.top();
      mEvents.pop();
      const auto& to = mInstances[event.mTo];
      if (event.mIncarnation != to.mIncarnation) {
        continue;
      }
      if (to.mFrozenUntil > mNow) {
        event.mAt = to.mFrozenUntil;
        mEvents.push(std::move(event));
      } else {
        event.mRun();
      }
    }
  }
}

size_t
QuotaWorld::LargestWindow(const std::string& aAccount, Duration aWindow) const
{
  const auto it = mSentAt.find(aAccount);
  if (it == mSentAt.end()) {
    return 0;
  }
  auto times = it->second;
  std::ranges::sort(times);
  size_t largest = 0;
  auto first = times.begin();
  for (auto last = times.begin(); last != times.end(); ++last) {
    while (*last - *first > aWindow) {
      ++first;
    }
    largest = std::max(largest, static_cast<size_t>(last - first) + 1);
  }
  return largest;
}

void
QuotaWorld::CheckBounds() const
{
  for (const auto& it : mAccounts->All()) {
    const auto bound =
      (it.mQuota->mRatePerSecond *
         std::chrono::duration<double>(kTolerance.mWindow).count() +
       it.mQuota->mBurst) *
        (1 + kTolerance.mExcess) +
      kTolerance.mSlack;
    const auto largest = LargestWindow(it.mName, kTolerance.mWindow);
    CPPUNIT_ASSERT_MESSAGE(it.mName + ": " + std::to_string(largest) + " of " +
                             std::to_string(bound),
                           static_cast<double>(largest) <= bound);
  }
}

}
