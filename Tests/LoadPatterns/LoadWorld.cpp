#include "LoadWorld.h"

#include "LibDecision/HomePlan.h"

#include "platform/LineCallerProtocol.h"
#include "platform/LineUpstreamProtocol.h"

#include <algorithm>
#include <numeric>
#include <stdexcept>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr auto kOneWayDelay = 1ms;
constexpr auto kTick = 20ms;
constexpr auto kReplicationInterval = 1ms;
constexpr auto kConnectTime = 12ms;
constexpr auto kStatusTime = std::chrono::microseconds(500);
constexpr auto kPromotionTime = 600ms;
/// Instances connect before the load starts.
constexpr auto kWarmUp = 1s;
/// Of the logarithm of the service times.
constexpr double kServiceSpread = 0.7;
constexpr unsigned kMaxAttempts = 3;
/// How long a restart takes, and when callers try again meanwhile.
constexpr auto kRestartTime = 1s;
constexpr auto kReconnectDelay = 100ms;

}

/// A connection. Answers to commands that wait at a database arrive after they
/// ran; a lost database never answers.
class LoadWorld::Channel : public UpstreamChannel
{
public:
  Channel(LoadWorld& aWorld, ChannelTarget aTarget, ChannelEvents aEvents)
    : mWorld(aWorld)
    , mDatabase(std::move(aTarget.mUpstream))
    , mAccount(std::move(aTarget.mAccount))
    , mEvents(std::make_shared<ChannelEvents>(std::move(aEvents)))
    , mRestarts(aWorld.mRestarts)
  {
    auto& database = mWorld.Find(mDatabase);
    ++mWorld.mOpenings;
    mWorld.mFaultOpenings += mWorld.IsFault(mWorld.mNow) ? 1 : 0;
    StatementAnswer opened;
    if (++database.mConnections > mWorld.mPattern.mConnections) {
      opened.mError = Error{ ErrorKind::ConnectionLimit, "" };
      Reply(opened);
      return;
    }
    const std::weak_ptr weak = mEvents;
    mWorld.Enqueue(
      database, { kConnectTime, [this, weak, opened, &database]() mutable {
                   if (weak.lock()) {
                     opened.mPosition = PositionOf(database, database.mApplied);
                     Reply(opened);
                   }
                 } });
  }

  ~Channel() override
  {
    if (mRestarts == mWorld.mRestarts) {
      --mWorld.Find(mDatabase).mConnections;
    }
  }

  void Send(const UpstreamCommand& aCommand) override
  {
    const std::weak_ptr weak = mEvents;
    mWorld.Schedule(kOneWayDelay, [this, weak, aCommand] {
      if (weak.lock() && mRestarts == mWorld.mRestarts) {
        Arrive(aCommand);
      }
    });
  }

private:
  void Arrive(const UpstreamCommand& aCommand)
  {
    auto& database = mWorld.Find(mDatabase);
    const bool isStatement = aCommand.mType == CommandType::Forward ||
                             aCommand.mType == CommandType::ForwardPrepared;
    if (!isStatement && aCommand.mType != CommandType::Status) {
      Reply(mWorld.Execute(database, aCommand));
      return;
    }
    mWorld.mStatusRequests += isStatement ? 0 : 1;
    if (isStatement) {
      mWorld.CheckAccount(*mWorld.mOperations.at(aCommand.mId), mAccount);
    }
    const auto serviceTime =
      isStatement ? mWorld.mOperations.at(aCommand.mId)->mServiceTime
                  : Duration(kStatusTime);
    const std::weak_ptr weak = mEvents;
    auto& world = mWorld;
    const bool isQueued = world.Enqueue(
      database, { serviceTime, [this, weak, aCommand, &database, &world] {
                   const auto answer = world.Execute(database, aCommand);
                   if (weak.lock()) {
                     Reply(answer);
                   }
                 } });
    if (!isQueued) {
      StatementAnswer busy;
      busy.mError = Error{ ErrorKind::QueueFull, "" };
      busy.mPosition = PositionOf(database, database.mApplied);
      Reply(busy);
    }
  }

  void Reply(const StatementAnswer& aAnswer)
  {
    const std::weak_ptr weak = mEvents;
    mWorld.Schedule(
      kOneWayDelay,
      [&world = mWorld, name = mDatabase, restarts = mRestarts, weak, aAnswer] {
        const auto events = weak.lock();
        const bool isOpen =
          world.Find(name).mIsAlive && restarts == world.mRestarts;
        if (events && isOpen) {
          events->mOnAnswer(aAnswer);
        }
      });
  }

  LoadWorld& mWorld;
  std::string mDatabase;
  std::string mAccount;
  std::shared_ptr<ChannelEvents> mEvents;
  /// The restarts before the connection was opened; a later one closes it.
  unsigned mRestarts;
};

LoadWorld::LoadWorld(LoadPattern aPattern, unsigned aSeed)
  : mPattern(std::move(aPattern))
  , mRandom(aSeed)
{
  constexpr std::array kNames = { "a", "b", "c" };
  for (size_t it = 0; it < mDatabases.size(); ++it) {
    mDatabases[it].mName = kNames[it];
  }
  mDatabases[0].mRole = Role::Primary;
  mResult.mRoutes.resize(mPattern.mLoads.size());
  mResult.mFaultRoutes.resize(mPattern.mLoads.size());
  mResult.mFaultAccounts.resize(mPattern.mAccounts.size());
  mInstances.resize(mPattern.mInstances);
  for (size_t it = 0; it < mPattern.mInstances; ++it) {
    AddInstance(it);
    ScheduleTicks(it);
  }
}

LoadWorld::~LoadWorld()
{
  mEvents.clear();
  for (const auto& [id, it] : mOperations) {
    it->mSession.reset();
  }
  mInstances.clear();
}

void
LoadWorld::AddInstance(size_t aInstance)
{
  RelayConfiguration configuration;
  configuration.mVersion = 1;
  for (const auto& it : mPattern.mLoads) {
    configuration.mRoutes.push_back(it.mRoute);
  }
  if (!mPattern.mAccounts.empty()) {
    std::vector<ClientAccount> accounts;
    std::ranges::transform(
      mPattern.mAccounts, std::back_inserter(accounts), &AccountLoad::mAccount);
    configuration.mAccounts = std::make_shared<ClientAccounts>(accounts);
  }
  configuration.mGroups = { { "g", mPattern.mConnections, 0 } };
  std::vector<DirectoryEntry> entries;
  for (const auto& it : mDatabases) {
    DirectoryEntry entry;
    entry.mGroup = "g";
    entry.mMember.mName = it.mName;
    entry.mMember.mFailureDomain = it.mName;
    entry.mMember.mSlots = mPattern.mSlots;
    entry.mMember.mListedRole = it.mRole;
    entries.push_back(entry);
  }
  auto& router = mInstances[aInstance];
  router = std::make_unique<RelayRouter>(MakeEnvironment(aInstance));
  router->ApplyConfigurationIfNewer(configuration);
  router->SetDirectory(entries);
  router->FindGroup("g")->SetPlacement({ true, mPattern.mInstances });
}

RelayEnvironment
LoadWorld::MakeEnvironment(size_t aInstance)
{
  RelayEnvironment environment;
  environment.mNow = [this] { return mNow; };
  environment.mMakeProtocol = platform::LineUpstreamProtocol::Create;
  environment.mFailureDomain = mDatabases[aInstance % 3].mName;
  environment.mLog = [](const auto&, const auto&) {};
  environment.mLeaseGrant = [this, aInstance]() -> std::optional<LeaseGrant> {
    // The lease is always with the first instance.
    return aInstance == 0 ? std::optional(LeaseGrant{ 1, mNow + 2500ms })
                          : std::nullopt;
  };
  environment.mAcquireLease = [this, aInstance](const std::string&) {
    if (aInstance != 0) {
      mInstances[aInstance]->FindGroup("g")->OnLeaseRefused(mNow + 1s);
    }
  };
  environment.mOrderPromotion = [this](const std::string&,
                                       const std::string& aName) {
    Schedule(kPromotionTime, [this, aName] { Promote(aName); });
  };
  environment.mOpenChannel = [this](const ChannelTarget& aTarget,
                                    ChannelEvents aEvents) {
    return std::make_unique<Channel>(*this, aTarget, std::move(aEvents));
  };
  return environment;
}

void
LoadWorld::Schedule(Duration aDelay, std::function<void()> aRun)
{
  mEvents.push_back({ mNow + aDelay, mOrder++, std::move(aRun) });
  std::ranges::push_heap(mEvents, std::greater{});
}

void
LoadWorld::ScheduleTicks(size_t aInstance)
{
  Schedule(kTick + std::chrono::microseconds(aInstance * 700),
           [this, aInstance] {
             if (mInstances[aInstance]) {
               mInstances[aInstance]->Tick();
             }
             ScheduleTicks(aInstance);
           });
}

bool
LoadWorld::IsFault(Instant aAt) const
{
  return aAt >= mStart + mPattern.mFaultFrom &&
         aAt < mStart + mPattern.mFaultUntil;
}

void
LoadWorld::ScheduleArrivals(size_t aRoute)
{
  const auto& load = mPattern.mLoads[aRoute];
  const auto factor = IsFault(mNow) ? mPattern.mFaultRate * load.mFaultRate : 1;
  const auto& accounts = mPattern.mAccounts;
  const auto share = std::accumulate(
    accounts.begin(), accounts.end(), 0.0, [this](double aSum, const auto& it) {
      return aSum + it.mShare * FactorOf(it);
    });
  const auto rate = load.mRate * factor * (accounts.empty() ? 1 : share);
  const std::chrono::duration<double> gap(
    std::exponential_distribution<>(rate)(mRandom));
  Schedule(std::chrono::duration_cast<Duration>(gap), [this, aRoute] {
    StartOperation(aRoute);
    ScheduleArrivals(aRoute);
  });
}

double
LoadWorld::FactorOf(const AccountLoad& aAccount) const
{
  return IsFault(mNow) ? aAccount.mFaultRate : 1;
}

size_t
LoadWorld::DrawAccount()
{
  std::vector<double> shares;
  std::ranges::transform(
    mPattern.mAccounts, std::back_inserter(shares), [this](const auto& it) {
      return it.mShare * FactorOf(it);
    });
  return std::discrete_distribution<size_t>(shares.begin(),
                                            shares.end())(mRandom);
}

/// What instances have queued is lost with their connections, and callers try
/// again.
void
LoadWorld::RestartAll()
{
  for (const auto& [id, it] : mOperations) {
    if (std::exchange(it->mSession, nullptr) && !it->mIsDone) {
      Schedule(kReconnectDelay, [this, operation = it] {
        if (!operation->mIsDone) {
          Attempt(operation);
        }
      });
    }
  }
  mOperations.clear();
  ++mRestarts;
  for (auto& it : mDatabases) {
    it.mConnections = 0;
  }
  for (size_t it = 0; it < mInstances.size(); ++it) {
    mInstances[it].reset();
    Schedule(kRestartTime, [this, it] { AddInstance(it); });
  }
}

void
LoadWorld::ScheduleFaults()
{
  if (mPattern.mAreAllRestarted) {
    Schedule(mPattern.mFaultFrom, [this] { RestartAll(); });
  }
  if (mPattern.mIsReplicaDeaf) {
    auto& deaf = mDatabases.back();
    Schedule(mPattern.mFaultFrom, [&deaf] { deaf.mIsReceiving = false; });
    Schedule(mPattern.mFaultUntil, [&deaf] { deaf.mIsReceiving = true; });
  }
  if (mPattern.mPrimaryLostAfter) {
    Schedule(mPattern.mFaultFrom + *mPattern.mPrimaryLostAfter,
             [this] { mDatabases.front().mIsAlive = false; });
  }
}

void
LoadWorld::StartOperation(size_t aRoute)
{
  const auto& load = mPattern.mLoads[aRoute];
  auto operation = std::make_shared<Operation>();
  operation->mRoute = aRoute;
  operation->mStartedAt = mNow;
  operation->mAccount = mPattern.mAccounts.empty() ? 0 : DrawAccount();
  const bool isWrite =
    std::uniform_real_distribution<>(0, 1)(mRandom) < load.mWrites;
  operation->mText = isWrite ? "WRITE 1 x" : "READ 1";
  const auto factor = std::lognormal_distribution<>(
    -kServiceSpread * kServiceSpread / 2, kServiceSpread)(mRandom);
  operation->mServiceTime = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(load.mServiceTime) * factor);
  Schedule(load.mDeadline, [this, operation] {
    if (!operation->mIsDone) {
      Record(operation, &RouteResult::mFailed);
    }
  });
  Attempt(operation);
}

std::string
LoadWorld::AccountName(const Operation& aOperation) const
{
  return mPattern.mAccounts.empty()
           ? std::string()
           : mPattern.mAccounts[aOperation.mAccount].mAccount.mName;
}

size_t
LoadWorld::ChooseInstance(const Operation& aOperation)
{
  const auto& route = mPattern.mLoads[aOperation.mRoute].mRoute;
  const bool needsPrimary = route.mFreshness == Freshness::Latest ||
                            aOperation.mText.starts_with("WRITE");
  const auto& home = mPattern.mLoads[aOperation.mRoute].mHome;
  const auto instance = home ? *home
                             : std::uniform_int_distribution<size_t>(
                                 0, mInstances.size() - 1)(mRandom);
  if (mPattern.mPlacement == HomePlacement::ByDomain) {
    return ChooseHomeFor(aOperation, mDatabases[instance].mName, needsPrimary);
  }
  // A retry goes to another instance.
  return aOperation.mAttempts > 0 && instance == aOperation.mInstance
           ? (instance + 1) % mInstances.size()
           : instance;
}

size_t
LoadWorld::ChooseHomeFor(const Operation& aOperation,
                         const std::string& aDomain,
                         bool aNeedsPrimary) const
{
  const auto primary =
    std::ranges::max_element(mDatabases, {}, [](const auto& it) {
      return std::pair(it.mRole == Role::Primary, it.mTerm);
    });
  std::vector<HomeCandidate> homes;
  for (size_t n = 0; n < mInstances.size(); ++n) {
    const auto& name = mDatabases[n].mName;
    const bool isRetry = aOperation.mAttempts > 0 && aOperation.mInstance == n;
    homes.push_back({ "home " + name, name, true, false, !isRetry });
  }
  return *ChooseHome({ "g",
                       "caller " + aDomain,
                       aDomain,
                       primary->mName,
                       aNeedsPrimary,
                       AccountName(aOperation) },
                     homes);
}

void
LoadWorld::CheckAccount(const Operation& aOperation,
                        const std::string& aAccount) const
{
  const auto expected = AccountName(aOperation);
  if (aAccount != expected) {
    throw std::logic_error("statement of " + expected + " ran for " + aAccount);
  }
}

void
LoadWorld::Attempt(const OperationPointer& aOperation)
{
  aOperation->mInstance = ChooseInstance(*aOperation);
  if (!mInstances[aOperation->mInstance]) {
    Schedule(kReconnectDelay, [this, aOperation] {
      if (!aOperation->mIsDone) {
        Attempt(aOperation);
      }
    });
    return;
  }
  ++aOperation->mAttempts;
  aOperation->mSentAt = mNow;
  const auto id = "q" + std::to_string(++mLastId);
  mOperations[id] = aOperation;
  const std::weak_ptr weak = aOperation;
  aOperation->mSession = std::make_shared<RelaySession>(
    *mInstances[aOperation->mInstance],
    mPattern.mLoads[aOperation->mRoute].mRoute.mDatabase,
    mPattern.mAccounts.empty()
      ? std::string()
      : mPattern.mAccounts[aOperation->mAccount].mAccount.mKeys.front(),
    [this, weak](const StatementAnswer& aAnswer) {
      // The session must not be destroyed while it responds.
      Schedule(kOneWayDelay, [this, weak, aAnswer] {
        if (const auto operation = weak.lock()) {
          OnResponse(operation, aAnswer);
        }
      });
    });
  aOperation->mSession->Handle(
    platform::ParseStatement(id, aOperation->mText).Value());
}

void
LoadWorld::OnResponse(const OperationPointer& aOperation,
                      const StatementAnswer& aAnswer)
{
  if (aOperation->mIsDone) {
    return;
  }
  const auto& load = mPattern.mLoads[aOperation->mRoute];
  if (!aAnswer.mError) {
    const bool isInTime =
      mNow - aOperation->mStartedAt <= load.mRoute.mTargetLatency;
    Record(aOperation, isInTime ? &RouteResult::mInTime : &RouteResult::mLate);
    return;
  }
  const bool isNotRun =
    AnswerFor(aAnswer.mError->mKind).mOutcome == Outcome::NotRun;
  if (isNotRun && mNow - aOperation->mSentAt > load.mRoute.mTargetLatency) {
    ++mResult.mRoutes[aOperation->mRoute].mLateRefusals;
  }
  if (isNotRun && aOperation->mAttempts < kMaxAttempts) {
    Attempt(aOperation);
    return;
  }
  Record(aOperation, isNotRun ? &RouteResult::mRefused : &RouteResult::mFailed);
}

void
LoadWorld::Record(const OperationPointer& aOperation,
                  unsigned RouteResult::*aCount)
{
  aOperation->mIsDone = true;
  aOperation->mSession.reset();
  std::vector<RouteResult*> results{ &mResult.mRoutes[aOperation->mRoute] };
  if (IsFault(aOperation->mStartedAt)) {
    results.push_back(&mResult.mFaultRoutes[aOperation->mRoute]);
    if (!mPattern.mAccounts.empty()) {
      results.push_back(&mResult.mFaultAccounts[aOperation->mAccount]);
    }
  }
  for (auto* it : results) {
    ++it->mOffered;
    ++(it->*aCount);
  }
}

void
LoadWorld::ScheduleReplication()
{
  Schedule(kReplicationInterval, [this] {
    Replicate();
    ScheduleReplication();
  });
}

void
LoadWorld::RunUntil(Instant aUntil)
{
  while (mEvents.front().mAt <= aUntil) {
    std::ranges::pop_heap(mEvents, std::greater{});
    const auto event = std::move(mEvents.back());
    mEvents.pop_back();
    mNow = event.mAt;
    event.mRun();
  }
  mNow = aUntil;
}

LoadResult
LoadWorld::Run()
{
  ScheduleReplication();
  RunUntil(mNow + kWarmUp);
  mStart = mNow;
  ScheduleFaults();
  const auto statusRequests = mStatusRequests;
  const auto openings = mOpenings;
  for (size_t it = 0; it < mPattern.mLoads.size(); ++it) {
    ScheduleArrivals(it);
  }
  RunUntil(mStart + mPattern.mLength);
  mResult.mStatusRate = static_cast<double>(mStatusRequests - statusRequests) /
                        std::chrono::duration<double>(mPattern.mLength).count();
  const auto busiest =
    std::ranges::max_element(mDatabases, {}, &Database::mBusyTime);
  const auto span = mPattern.mFaultUntil - mPattern.mFaultFrom;
  mResult.mOpeningRate =
    static_cast<double>(mOpenings - openings) /
    std::chrono::duration<double>(mPattern.mLength).count();
  mResult.mFaultOpeningRate = span > 0ms
                                ? static_cast<double>(mFaultOpenings) /
                                    std::chrono::duration<double>(span).count()
                                : 0;
  mResult.mSlotUse = span > 0ms
                       ? std::chrono::duration<double>(busiest->mBusyTime) /
                           (span * mPattern.mSlots)
                       : 0;
  return mResult;
}

}
