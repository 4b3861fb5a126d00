#include "SimulatedFleet.h"

#include <algorithm>
#include <ranges>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr auto kOneWayDelay = 1ms;
constexpr const char kConfigurationKind[] = "config";

}

FakeStore::Copy FakeStore::sContent;
uint64_t FakeStore::sEra = 1;

void
FakeStore::Reset()
{
  sContent = {};
  sEra = 1;
}

void
FakeStore::Restore(const Copy& aCopy)
{
  sContent = aCopy;
  ++sEra;
}

void
FakeStore::Answer(BatchHandler aHandler, Result<ObjectBatch> aBatch)
{
  if (!mIsSilent) {
    mAnswers.emplace_back(mClock() + mDelay, [=, this] {
      if (!aBatch.IsError()) {
        mEra = std::max(mEra, aBatch.Value().mStoreRevision.mEra);
      }
      aHandler(aBatch);
    });
  }
}

StoredObject
FakeStore::InCurrentEra(StoredObject aObject)
{
  aObject.mRevision.mEra = sEra;
  return aObject;
}

ObjectBatch
FakeStore::ChangesAfter(const StoreRevision& aAfter)
{
  ObjectBatch batch;
  batch.mStoreRevision = { sEra, sContent.mRevision };
  const auto add = [&](const StoredObject& aObject) {
    if (aObject.mRevision.mNumber > aAfter.mNumber) {
      batch.mObjects.push_back(InCurrentEra(aObject));
    }
  };
  std::ranges::for_each(sContent.mDeleted, add);
  std::ranges::for_each(std::views::values(sContent.mObjects), add);
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
  batch.mStoreRevision = { sEra, sContent.mRevision };
  std::ranges::transform(std::views::values(sContent.mObjects),
                         std::back_inserter(batch.mObjects),
                         InCurrentEra);
  Answer(std::move(aHandler), batch);
}

void
FakeStore::ListStale(const QString& aKind, BatchHandler aHandler)
{
  List(aKind, std::move(aHandler));
}

void
FakeStore::Watch(const QString&,
                 const StoreRevision& aAfter,
                 int aWaitMs,
                 BatchHandler aHandler)
{
  ++mCalls;
  if (mIsRefusing) {
    Answer(std::move(aHandler), Error{ ErrorKind::QueueFull, "refused" });
    return;
  }
  if (aAfter.mNumber > sContent.mRevision) {
    Answer(std::move(aHandler), Error{ ErrorKind::NotFound, "gone" });
    return;
  }
  mPendingWatches.push_back(
    { aAfter, sEra, mClock() + Milliseconds(aWaitMs), std::move(aHandler) });
}

void
FakeStore::Set(const QString& aName, const QString& aContent)
{
  sContent.mObjects[aName] = {
    aName, { 0, ++sContent.mRevision }, aContent, false
  };
}

void
FakeStore::Remove(const QString& aName)
{
  sContent.mObjects.erase(aName);
  sContent.mDeleted.push_back({ aName, { 0, ++sContent.mRevision }, {}, true });
}

void
FakeStore::Step()
{
  const auto now = mClock();
  const auto pending = std::exchange(mPendingWatches, {});
  for (const auto& it : pending) {
    const auto changes = ChangesAfter(it.mAfterRevision);
    // Watches that the store leaves unanswered time out after their wait.
    if (mIsSilent || mIsRefusing) {
      if (now >= it.mDeadline + 600ms) {
        it.mHandler(Error{ ErrorKind::Unreachable, "no answer" });
      } else {
        mPendingWatches.push_back(it);
      }
    } else if (it.mEra != sEra) {
      Answer(it.mHandler, Error{ ErrorKind::Unreachable, "cut off" });
    } else if (!changes.mObjects.empty() || now >= it.mDeadline) {
      Answer(it.mHandler, changes);
    } else {
      mPendingWatches.push_back(it);
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

/// A connection between two instances.
struct SimulatedFleet::Link
{
  std::string mFrom;
  std::string mTo;
  PeerChannelEvents mEvents;
  std::shared_ptr<PeerServer::Session> mSession;
  bool mIsClosed = false;
};

class SimulatedFleet::Channel : public PeerChannel
{
public:
  Channel(SimulatedFleet& aFleet, std::shared_ptr<Link> aLink)
    : mFleet(aFleet)
    , mLink(std::move(aLink))
  {
  }

  /// The other side is notified that the connection has closed.
  ~Channel() override
  {
    mLink->mEvents = {};
    const auto link = mLink;
    mFleet.Schedule(link->mTo, [link] {
      link->mIsClosed = true;
      link->mSession.reset();
    });
  }

  void Send(const PeerMessage& aMessage) override
  {
    if (!mFleet.IsReachable(mLink->mFrom, mLink->mTo)) {
      return;
    }
    const auto bytes = EncodePeerMessage(aMessage);
    mFleet.RecordFrame(bytes);
    mFleet.ScheduleMessage(mLink->mFrom, mLink->mTo, [link = mLink, bytes] {
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
  SimulatedFleet& mFleet;
  std::shared_ptr<Link> mLink;
};

SimulatedFleet::SimulatedFleet(size_t aCount,
                               std::vector<std::string> aDomains,
                               std::optional<Duration> aAuthorityTimeout,
                               Topology aTopology)
  : mAuthorityTimeout(aAuthorityTimeout)
  , mTopology(std::move(aTopology))
  , mDatabases(std::make_unique<FakeUpstreams>())
{
  FakeStore::Reset();
  // FakeUpstreams has an instance of its own, which takes no part here.
  mDatabases->mIsHome = false;
  mDatabases->mMaxConnections = 16;
  RelayRoute route;
  route.mDatabase = "db";
  route.mGroup = "g";
  mDatabases->SetRoute(route);
  for (size_t n = 0; n < aCount; ++n) {
    Add(n, aDomains[n % aDomains.size()]);
  }
  const auto fleet = ListInstances();
  for (const auto& it : mInstances) {
    SetFleet(*it, fleet);
  }
  mDatabases->mOnStep = [this] { Step(); };
  Run(300ms);
}

SimulatedFleet::~SimulatedFleet()
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
SimulatedFleet::Add(size_t aIndex, const std::string& aDomain)
{
  auto instance = std::make_unique<Instance>();
  auto* it = instance.get();
  it->mInfo.mName = "i" + std::to_string(aIndex);
  it->mInfo.mFailureDomain = aDomain;
  it->mInfo.mAddress = it->mInfo.mName;
  const auto now = [this] { return mDatabases->Now(); };
  const auto log = [this](const std::string& aEvent, const auto& aFields) {
    if (mOnWritten) {
      mOnWritten(aEvent);
      for (const auto& [name, value] : aFields) {
        mOnWritten(name + "=" + value);
      }
    }
  };
  auto environment = mDatabases->MakeEnvironment();
  environment.mFailureDomain = aDomain;
  environment.mLog = log;
  environment.mAuthorityTimeout = mAuthorityTimeout;
  environment.mTopology = mTopology;
  environment.mOpenChannel = [it, open = environment.mOpenChannel](
                               ChannelTarget aTarget, ChannelEvents aEvents) {
    ++it->mOpenedConnections;
    if (it->mUnreachableDatabases.contains(aTarget.mUpstream)) {
      aTarget.mUpstream = "nowhere";
    }
    return open(aTarget, std::move(aEvents));
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
      const auto isReachable = [=, this] {
        return IsReachable(link->mFrom, link->mTo);
      };
      if (!At(link->mTo).mIsAlive) {
        Schedule(from, [=, this] { CloseLink(link); });
      } else if (isReachable()) {
        Schedule(link->mTo, [=, this] {
          const auto send = [=, this](const PeerMessage& aMessage) {
            auto message = aMessage;
            const auto& told = At(link->mTo).mToldLoad;
            auto* answer = std::get_if<ForwardAnswer>(&message);
            if (answer && told) {
              answer->mLoad = told;
            }
            const auto bytes = EncodePeerMessage(message);
            RecordFrame(bytes);
            if (!isReachable()) {
              return;
            }
            ScheduleMessage(link->mTo, link->mFrom, [link, bytes] {
              // The handler may destroy the channel and its events, so it is
              // called through a copy.
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
  it->mHomes =
    std::make_unique<HomeDirectory>(it->mInfo, *it->mRouter, mTopology);
  it->mDirectStore = std::make_unique<FakeStore>(now);
  it->mStore = std::make_unique<SharedObjectStore>(
    *it->mDirectStore, *it->mPeers, it->mInfo, now, log);
  if (mAuthorityTimeout) {
    it->mStore->LimitAge(
      kConfigurationKind, *mAuthorityTimeout, [it](Instant aConfirmedAt) {
        it->mRouter->ConfirmConfiguration(aConfirmedAt);
      });
  }
  it->mServer = std::make_unique<PeerServer>(
    it->mInfo.mName, *it->mRouter, *it->mStore, now);
  it->mRouter->SetRunnerFactory([=](const std::shared_ptr<RelayGroup>& aGroup) {
    return std::make_shared<ForwardingRunner>(
      aGroup, *it->mHomes, *it->mPeers, now, log, it->mCounts);
  });
  it->mRouter->ApplyConfigurationIfNewer(mDatabases->Configuration());
  it->mRouter->SetDirectory(mDatabases->Entries());
  mInstances.push_back(std::move(instance));
}

void
SimulatedFleet::WatchConfiguration()
{
  for (const auto& instance : mInstances) {
    auto* it = instance.get();
    it->mWatcher = std::make_unique<ObjectWatcher>(
      *it->mStore,
      kConfigurationKind,
      ObjectWatcher::Events{ [](const auto&) {}, [](const auto&) {} },
      ObjectWatcher::Environment{
        [this] { return mDatabases->Now(); },
        [this, it](Duration aDelay, std::function<void()> aRun) {
          RunAfter(it->mInfo.mName, aDelay, std::move(aRun));
        },
        [](const auto&, const auto&) {} });
    it->mWatcher->Start();
  }
}

SimulatedFleet::Instance&
SimulatedFleet::At(const std::string& aName)
{
  return **std::ranges::find_if(
    mInstances, [&](const auto& it) { return it->mInfo.mName == aName; });
}

std::vector<InstanceInfo>
SimulatedFleet::ListInstances() const
{
  std::vector<InstanceInfo> fleet;
  std::ranges::transform(mInstances,
                         std::back_inserter(fleet),
                         [](const auto& it) { return it->mInfo; });
  return fleet;
}

void
SimulatedFleet::SetFleet(Instance& aInstance,
                         const std::vector<InstanceInfo>& aInstances)
{
  aInstance.mPeers->SetPeers(aInstances);
  aInstance.mHomes->SetFleet(aInstances);
  aInstance.mStore->SetFleet(aInstances);
  aInstance.mHomes->Refresh();
}

const HomePlan&
SimulatedFleet::Plan()
{
  auto& first = *mInstances.front();
  return first.mHomes->PlanOf(*first.mRouter->FindGroup("g"));
}

SimulatedFleet::Instance&
SimulatedFleet::NonHome(const std::string& aDomain)
{
  return **std::ranges::find_if(mInstances, [&](const auto& it) {
    return std::ranges::find(Plan().mRanked,
                             it->mInfo.mName,
                             &InstanceInfo::mName) == Plan().mRanked.end() &&
           (aDomain.empty() || it->mInfo.mFailureDomain == aDomain);
  });
}

std::string
SimulatedFleet::FindServingHome(Instance& aInstance,
                                const std::string& aStatement)
{
  std::map<std::string, uint64_t> before;
  for (const auto& it : mInstances) {
    before[it->mInfo.mName] = it->mServer->ServedCount();
  }
  const auto caller = Connect(aInstance);
  caller->Send(aStatement);
  Run(300ms);
  const auto home = std::ranges::find_if(mInstances, [&](const auto& it) {
    return it->mServer->ServedCount() > before[it->mInfo.mName];
  });
  return home != mInstances.end() ? (*home)->mInfo.mName : std::string();
}

void
SimulatedFleet::Schedule(const std::string& aTo, std::function<void()> aRun)
{
  mEvents.push_back({ mDatabases->Now() + kOneWayDelay, aTo, std::move(aRun) });
}

void
SimulatedFleet::ScheduleMessage(const std::string& aFrom,
                                const std::string& aTo,
                                std::function<void()> aRun)
{
  const auto now = mDatabases->Now();
  auto& to = At(aTo);
  auto at = now + kOneWayDelay;
  if (mTopology.Between(At(aFrom).mInfo.mFailureDomain,
                        to.mInfo.mFailureDomain) == Distance::OtherRegion) {
    mRegionLinkBusyUntil =
      std::max(mRegionLinkBusyUntil, now) + mRegionMessageTime;
    at = mRegionLinkBusyUntil + kOneWayDelay;
  }
  to.mBusyUntil = std::max(to.mBusyUntil, at) + to.mMessageTime;
  mEvents.push_back({ to.mBusyUntil, aTo, std::move(aRun) });
}

bool
SimulatedFleet::IsReachable(const std::string& aFrom, const std::string& aTo)
{
  const auto& from = At(aFrom);
  const auto& to = At(aTo);
  const auto isCut = [&](const Instance& aInstance) {
    return mCutDomains.contains(aInstance.mInfo.mFailureDomain);
  };
  const bool isOneDomain = from.mInfo.mFailureDomain == to.mInfo.mFailureDomain;
  return !from.mIsPartitioned && !to.mIsPartitioned &&
         (isOneDomain || (!isCut(from) && !isCut(to)));
}

bool
SimulatedFleet::IsRunning(const Instance& aInstance) const
{
  return aInstance.mIsAlive && mDatabases->Now() >= aInstance.mFrozenUntil;
}

void
SimulatedFleet::CloseLink(const std::shared_ptr<Link>& aLink)
{
  if (!std::exchange(aLink->mIsClosed, true) && aLink->mEvents.mOnClosed) {
    const auto onClosed = aLink->mEvents.mOnClosed;
    onClosed({ ErrorKind::Unreachable, "connection refused or reset" });
  }
}

void
SimulatedFleet::Step()
{
  const auto now = mDatabases->Now();
  // Events for a frozen instance are queued in order until it resumes.
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
    if (IsRunning(*it)) {
      it->mDirectStore->Step();
    }
  }
  if (now < mNextTick) {
    return;
  }
  mNextTick = now + mTickInterval;
  for (const auto& it : mInstances) {
    if (IsRunning(*it)) {
      it->mRouter->Tick();
      it->mPeers->Tick();
      it->mServer->Tick();
      it->mStore->Tick();
    }
  }
}

void
SimulatedFleet::Kill(const std::string& aName)
{
  At(aName).mIsAlive = false;
  for (const auto& weak : mLinks) {
    const auto link = weak.lock();
    if (!link || (link->mTo != aName && link->mFrom != aName)) {
      continue;
    }
    link->mSession.reset();
    Schedule(link->mFrom, [=, this] { CloseLink(link); });
  }
}

void
SimulatedFleet::RunAfter(const std::string& aInstance,
                         Duration aDelay,
                         std::function<void()> aRun)
{
  mEvents.push_back({ mDatabases->Now() + aDelay, aInstance, std::move(aRun) });
}

void
SimulatedFleet::Freeze(const std::string& aName, Milliseconds aTime)
{
  At(aName).mFrozenUntil = mDatabases->Now() + aTime;
}

std::unique_ptr<FakeUpstreams::Caller>
SimulatedFleet::Connect(Instance& aInstance,
                        Freshness aFreshness,
                        const std::string& aKey)
{
  RelayRoute route;
  route.mDatabase = "db";
  route.mGroup = "g";
  route.mFreshness = aFreshness;
  route.mMaxAge = 1500ms;
  auto configuration = *aInstance.mRouter->Configuration();
  configuration.mRoutes = { route };
  ++configuration.mVersion;
  aInstance.mRouter->ApplyConfigurationIfNewer(configuration);
  auto caller = std::make_unique<FakeUpstreams::Caller>();
  caller->mSession = std::make_shared<RelaySession>(
    *aInstance.mRouter, "db", aKey, [it = caller.get()](const auto& aAnswer) {
      it->mAnswers.push_back(aAnswer);
    });
  return caller;
}

void
SimulatedFleet::SetAccounts(Instance& aInstance,
                            std::vector<ClientAccount> aAccounts)
{
  auto configuration = *aInstance.mRouter->Configuration();
  ++configuration.mVersion;
  configuration.mAccounts =
    std::make_shared<const ClientAccounts>(std::move(aAccounts));
  aInstance.mRouter->ApplyConfigurationIfNewer(configuration);
}

void
SimulatedFleet::SetAccounts(const std::vector<ClientAccount>& aAccounts)
{
  for (const auto& it : mInstances) {
    SetAccounts(*it, aAccounts);
  }
}

void
SimulatedFleet::RecordFrame(const QByteArray& aBytes) const
{
  if (mOnWritten) {
    mOnWritten(aBytes.toStdString());
  }
}

size_t
SimulatedFleet::CountRuns(const std::string& aText)
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
