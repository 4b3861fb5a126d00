#include "PeerWorld.h"

#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr auto kOneWay = 1ms;
constexpr auto kTick = 20ms;
constexpr auto kStoreTime = 4ms;

}

std::map<QString, StoredObject> FakeStore::sObjects;
std::vector<StoredObject> FakeStore::sDeleted;
int64_t FakeStore::sRevision = 1;

void
FakeStore::Answer(BatchHandler aHandler, Result<ObjectBatch> aBatch)
{
  if (!mIsSilent) {
    mAnswers.emplace_back(mClock() + kStoreTime, [=] { aHandler(aBatch); });
  }
}

ObjectBatch
FakeStore::Changes(int64_t aAfter) const
{
  ObjectBatch batch;
  batch.mStoreRevision = sRevision;
  for (const auto& it : sDeleted) {
    if (it.mRevision > aAfter) {
      batch.mObjects.push_back(it);
    }
  }
  for (const auto& [name, it] : sObjects) {
    if (it.mRevision > aAfter) {
      batch.mObjects.push_back(it);
    }
  }
  return batch;
}

void
FakeStore::List(const QString&, BatchHandler aHandler)
{
  ++mCalls;
  if (mIsRefusing) {
    Answer(std::move(aHandler), Error{ ErrorKind::QueueFull, "refused" });
    return;
  }
  ObjectBatch batch;
  batch.mStoreRevision = sRevision;
  for (const auto& [name, it] : sObjects) {
    batch.mObjects.push_back(it);
  }
  Answer(std::move(aHandler), batch);
}

void
FakeStore::ListStale(const QString& aKind, BatchHandler aHandler)
{
  List(aKind, std::move(aHandler));
}

void
FakeStore::Watch(const QString&,
                 int64_t aAfter,
                 int aWaitMs,
                 BatchHandler aHandler)
{
  ++mCalls;
  if (mIsRefusing) {
    Answer(std::move(aHandler), Error{ ErrorKind::QueueFull, "refused" });
    return;
  }
  mWaiting.push_back(
    { aAfter, mClock() + Milliseconds(aWaitMs), std::move(aHandler) });
}

void
FakeStore::Set(const QString& aName, const QString& aContent)
{
  sObjects[aName] = { aName, ++sRevision, aContent, false };
}

void
FakeStore::Remove(const QString& aName)
{
  sObjects.erase(aName);
  sDeleted.push_back({ aName, ++sRevision, {}, true });
}

void
FakeStore::Step()
{
  const auto now = mClock();
  const auto waiting = std::exchange(mWaiting, {});
  for (const auto& it : waiting) {
    const auto changes = Changes(it.mAfter);
    // A store that went silent cuts its waiting calls off by their time.
    if (mIsSilent || mIsRefusing) {
      if (now >= it.mUntil + 600ms) {
        it.mHandler(Error{ ErrorKind::Unreachable, "no answer" });
      } else {
        mWaiting.push_back(it);
      }
    } else if (!changes.mObjects.empty() || now >= it.mUntil) {
      Answer(it.mHandler, changes);
    } else {
      mWaiting.push_back(it);
    }
  }
  auto answers = std::exchange(mAnswers, {});
  for (auto& [at, run] : answers) {
    if (at <= now) {
      run();
    } else {
      mAnswers.emplace_back(at, std::move(run));
    }
  }
}

/// One connection between two instances.
struct PeerWorld::Link
{
  std::string mFrom;
  std::string mTo;
  PeerChannelEvents mEvents;
  std::shared_ptr<PeerServer::Session> mSession;
  bool mIsClosed = false;
};

class PeerWorld::Channel : public PeerChannel
{
public:
  Channel(PeerWorld& aWorld, std::shared_ptr<Link> aLink)
    : mWorld(aWorld)
    , mLink(std::move(aLink))
  {
  }

  /// The other side learns that the connection ended.
  ~Channel() override
  {
    mLink->mEvents = {};
    const auto link = mLink;
    mWorld.Schedule(link->mTo, [link] {
      link->mIsClosed = true;
      link->mSession.reset();
    });
  }

  void Send(const PeerMessage& aMessage) override
  {
    auto& from = mWorld.At(mLink->mFrom);
    if (from.mIsCut || mWorld.At(mLink->mTo).mIsCut) {
      return;
    }
    const auto bytes = EncodePeerMessage(aMessage);
    mWorld.Schedule(mLink->mTo, [link = mLink, bytes] {
      if (link->mSession) {
        const auto message = DecodePeerMessage(bytes);
        if (message.IsError() ||
            link->mSession->Handle(message.Value()).IsError()) {
          throw std::runtime_error("a peer refused " + bytes.toStdString());
        }
      }
    });
  }

private:
  PeerWorld& mWorld;
  std::shared_ptr<Link> mLink;
};

PeerWorld::PeerWorld(size_t aCount, std::vector<std::string> aDomains)
  : mDatabases(std::make_unique<FakeUpstreams>())
{
  FakeStore::sObjects.clear();
  FakeStore::sDeleted.clear();
  // The instance that the databases bring along plays no part.
  mDatabases->mIsHome = false;
  mDatabases->mMaxConnections = 16;
  RelayRoute route;
  route.mDatabase = "db";
  route.mGroup = "g";
  mDatabases->SetRoute(route);
  for (size_t n = 0; n < aCount; ++n) {
    Add(n, aDomains[n % aDomains.size()]);
  }
  const auto fleet = Fleet();
  for (const auto& it : mInstances) {
    SetFleet(*it, fleet);
  }
  mDatabases->mOnStep = [this] { Step(); };
  Run(300ms);
}

PeerWorld::~PeerWorld()
{
  mDatabases->mOnStep = nullptr;
  mEvents.clear();
  for (const auto& it : mLinks) {
    if (const auto link = it.lock()) {
      link->mSession.reset();
    }
  }
}

void
PeerWorld::Add(size_t aIndex, const std::string& aDomain)
{
  auto instance = std::make_unique<Instance>();
  auto* it = instance.get();
  it->mInfo.mName = "i" + std::to_string(aIndex);
  it->mInfo.mFailureDomain = aDomain;
  it->mInfo.mAddress = it->mInfo.mName;
  const auto now = [this] { return mDatabases->Now(); };
  const auto log = [](const std::string&, const auto&) {};
  auto environment = mDatabases->MakeEnvironment();
  environment.mFailureDomain = aDomain;
  environment.mOpen = [it, open = environment.mOpen](const std::string& aGroup,
                                                     const std::string& aName,
                                                     ChannelEvents aEvents) {
    ++it->mOpenings;
    const bool isReached = !it->mUnreached.contains(aName);
    return open(aGroup, isReached ? aName : "nowhere", std::move(aEvents));
  };
  it->mRouter = std::make_unique<RelayRouter>(environment);
  it->mPeers = std::make_unique<PeerPool>(
    it->mInfo.mName,
    [this, from = it->mInfo.mName](const std::string& aAddress,
                                   PeerChannelEvents aEvents) {
      auto link = std::make_shared<Link>();
      link->mFrom = from;
      link->mTo = aAddress;
      link->mEvents = std::move(aEvents);
      mLinks.push_back(link);
      const auto isReached = [=, this] {
        return !At(link->mFrom).mIsCut && !At(link->mTo).mIsCut;
      };
      if (!At(link->mTo).mIsAlive) {
        Schedule(from, [=, this] { Break(link); });
      } else if (isReached()) {
        Schedule(link->mTo, [=, this] {
          const auto send = [=, this](const PeerMessage& aMessage) {
            const auto bytes = EncodePeerMessage(aMessage);
            if (!isReached()) {
              return;
            }
            Schedule(link->mFrom, [link, bytes] {
              // The handler may destroy the channel and its events.
              const auto onMessage = link->mEvents.mOnMessage;
              if (onMessage) {
                onMessage(DecodePeerMessage(bytes).Value());
              }
            });
          };
          Schedule(link->mFrom, [link] {
            const auto onOpened = link->mEvents.mOnOpened;
            if (onOpened) {
              onOpened();
            }
          });
          link->mSession = At(link->mTo).mServer->Accept(send);
        });
      }
      return std::make_unique<Channel>(*this, link);
    },
    now,
    log);
  it->mHomes = std::make_unique<HomeDirectory>(it->mInfo, *it->mRouter);
  it->mOwnStore = std::make_unique<FakeStore>(now);
  it->mStore = std::make_unique<SharedObjectStore>(
    *it->mOwnStore, *it->mPeers, it->mInfo, now, log);
  it->mServer = std::make_unique<PeerServer>(
    it->mInfo.mName, *it->mRouter, *it->mStore, now);
  it->mRouter->SetRunnerFactory([=](const std::shared_ptr<RelayGroup>& aGroup) {
    return std::make_shared<ForwardingRunner>(
      aGroup, *it->mHomes, *it->mPeers, now, log, it->mCounts);
  });
  it->mRouter->OfferConfiguration(mDatabases->Configuration());
  it->mRouter->SetDirectory(mDatabases->Entries());
  mInstances.push_back(std::move(instance));
}

PeerWorld::Instance&
PeerWorld::At(const std::string& aName)
{
  return **std::ranges::find_if(
    mInstances, [&](const auto& it) { return it->mInfo.mName == aName; });
}

std::vector<InstanceInfo>
PeerWorld::Fleet() const
{
  std::vector<InstanceInfo> fleet;
  std::ranges::transform(mInstances,
                         std::back_inserter(fleet),
                         [](const auto& it) { return it->mInfo; });
  return fleet;
}

void
PeerWorld::SetFleet(Instance& aInstance,
                    const std::vector<InstanceInfo>& aInstances)
{
  aInstance.mPeers->SetPeers(aInstances);
  aInstance.mHomes->SetFleet(aInstances);
  aInstance.mStore->SetFleet(aInstances);
  aInstance.mHomes->Refresh();
}

const HomePlan&
PeerWorld::Plan()
{
  auto& first = *mInstances.front();
  return first.mHomes->PlanOf(*first.mRouter->FindGroup("g"));
}

PeerWorld::Instance&
PeerWorld::Outsider(const std::string& aDomain)
{
  return **std::ranges::find_if(mInstances, [&](const auto& it) {
    return std::ranges::find(Plan().mRanked,
                             it->mInfo.mName,
                             &InstanceInfo::mName) == Plan().mRanked.end() &&
           (aDomain.empty() || it->mInfo.mFailureDomain == aDomain);
  });
}

std::string
PeerWorld::HomeOf(Instance& aInstance, const std::string& aStatement)
{
  std::map<std::string, uint64_t> before;
  for (const auto& it : mInstances) {
    before[it->mInfo.mName] = it->mServer->ServedCount();
  }
  const auto caller = Connect(aInstance);
  caller->Say(aStatement);
  Run(300ms);
  const auto home = std::ranges::find_if(mInstances, [&](const auto& it) {
    return it->mServer->ServedCount() > before[it->mInfo.mName];
  });
  return home != mInstances.end() ? (*home)->mInfo.mName : std::string();
}

void
PeerWorld::Schedule(const std::string& aTo, std::function<void()> aRun)
{
  mEvents.push_back({ mDatabases->Now() + kOneWay, aTo, std::move(aRun) });
}

bool
PeerWorld::MayRun(const Instance& aInstance) const
{
  return aInstance.mIsAlive && mDatabases->Now() >= aInstance.mFrozenUntil;
}

void
PeerWorld::Break(const std::shared_ptr<Link>& aLink)
{
  if (!std::exchange(aLink->mIsClosed, true) && aLink->mEvents.mOnClosed) {
    const auto onClosed = aLink->mEvents.mOnClosed;
    onClosed({ ErrorKind::Unreachable, "connection refused or reset" });
  }
}

void
PeerWorld::Step()
{
  const auto now = mDatabases->Now();
  // What comes to a frozen instance waits, in order, until it wakes.
  const auto events = std::exchange(mEvents, {});
  for (const auto& it : events) {
    auto& to = At(it.mTo);
    if (it.mAt > now || now < to.mFrozenUntil) {
      mEvents.push_back(it);
    } else if (to.mIsAlive) {
      it.mRun();
    }
  }
  for (const auto& it : mInstances) {
    if (MayRun(*it)) {
      it->mOwnStore->Step();
    }
  }
  if (now < mNextTick) {
    return;
  }
  mNextTick = now + kTick;
  for (const auto& it : mInstances) {
    if (MayRun(*it)) {
      it->mRouter->Tick();
      it->mPeers->Tick();
      it->mServer->Tick();
      it->mStore->Tick();
    }
  }
}

void
PeerWorld::Kill(const std::string& aName)
{
  At(aName).mIsAlive = false;
  for (const auto& weak : mLinks) {
    const auto link = weak.lock();
    if (!link || (link->mTo != aName && link->mFrom != aName)) {
      continue;
    }
    link->mSession.reset();
    Schedule(link->mFrom, [=, this] { Break(link); });
  }
}

void
PeerWorld::Freeze(const std::string& aName, Milliseconds aTime)
{
  At(aName).mFrozenUntil = mDatabases->Now() + aTime;
}

std::unique_ptr<FakeUpstreams::Caller>
PeerWorld::Connect(Instance& aInstance, Freshness aFreshness)
{
  RelayRoute route;
  route.mDatabase = "db";
  route.mGroup = "g";
  route.mFreshness = aFreshness;
  route.mMaxAge = 1500ms;
  auto configuration = *aInstance.mRouter->Configuration();
  configuration.mRoutes = { route };
  ++configuration.mVersion;
  aInstance.mRouter->OfferConfiguration(configuration);
  auto caller = std::make_unique<FakeUpstreams::Caller>();
  caller->mSession = std::make_shared<RelaySession>(
    *aInstance.mRouter, "db", [it = caller.get()](const auto& aAnswer) {
      it->mAnswers.push_back(aAnswer);
    });
  return caller;
}

size_t
PeerWorld::RunsOf(const std::string& aText)
{
  size_t n = 0;
  for (const auto* it : { "a", "b", "c" }) {
    n += static_cast<size_t>(
      std::ranges::count_if(mDatabases->At(it).mRan, [&](const auto& ran) {
        return ran.ends_with(aText);
      }));
  }
  return n;
}

}
