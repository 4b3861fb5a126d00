#include "RelayWorld.h"

#include "platform/LineCallerProtocol.h"
#include "platform/LineUpstreamProtocol.h"

#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr size_t kInstances = 3;
constexpr size_t kCallersPerInstance = 3;
constexpr auto kOneWayDelay = 1ms;
constexpr auto kMaxAge = 400ms;
constexpr auto kTick = 20ms;
constexpr auto kCopyInterval = 500ms;
/// The oldest copy that the store is restored from is ten seconds old.
constexpr size_t kMaxCopies = 20;
constexpr int kMaxRestoreIntervalMs = 15'000;
constexpr int kMaxLearningDelayMs = 4000;
constexpr int kMaxLateWriteMs = 6000;
constexpr size_t kAccounts = 3;
constexpr auto kAuthorityTimeout = 1500ms;
constexpr auto kConfirmationInterval = 300ms;
constexpr int kMaxKeyChangeIntervalMs = 1500;
/// Longer than the authority timeout.
constexpr int kMaxKeyTakenMs = 4000;
constexpr auto kDeafTime = 3000ms;
constexpr auto kReplacementInterval = 4000ms;
/// Replicas lag by this while primaries are replaced.
constexpr auto kReplacementLag = 150ms;
constexpr int kMaxMemberChangeIntervalMs = 3500;
constexpr int kMaxListDelayMs = 800;
/// The longest partition from the directory that voting lists allow for.
constexpr int kMaxDirectoryCutMs = 5500;
constexpr int kMaxLeavingMs = 7000;
constexpr int kMaxDeafMs = 3000;
constexpr int kMaxLateMessageMs = 400;
constexpr double kLateMessageRate = 0.002;
constexpr size_t kMaxDatabases = 6;

}

class RelayWorld::Channel : public UpstreamChannel
{
public:
  Channel(RelayWorld& aWorld,
          size_t aInstance,
          ChannelTarget aTarget,
          ChannelEvents aEvents)
    : mWorld(aWorld)
    , mInstance(aInstance)
    , mDatabase(std::move(aTarget.mUpstream))
    , mAccount(std::move(aTarget.mAccount))
    , mShared(std::make_shared<Shared>())
  {
    mShared->mEvents = std::move(aEvents);
    RoundTrip([](RelayWorld& aOf, Shared&, Database& aAt) {
      StatementAnswer answer;
      answer.mPosition = EndOf(aAt, aAt.mApplied);
      (void)aOf;
      return answer;
    });
  }

  void Send(const UpstreamCommand& aCommand) override
  {
    RoundTrip([aCommand, account = mAccount](
                RelayWorld& aOf, Shared& aState, Database& aAt) {
      return aOf.Execute(aAt, aCommand, aState.mSession, account);
    });
  }

private:
  struct Shared
  {
    ChannelEvents mEvents;
    DatabaseSession mSession;
    bool mIsBroken = false;
  };

  /// Delivers a command to the database and the answer back, unless either is
  /// unreachable. A connection that lost a message delivers no more messages.
  template<typename Serve>
  void RoundTrip(Serve aServe)
  {
    const std::weak_ptr weak = mShared;
    auto& world = mWorld;
    const auto instance = mInstance;
    const auto name = mDatabase;
    const bool isLate = world.ListsDiffer() && world.Chance(kLateMessageRate);
    // A connection keeps the order of its messages.
    mArrivesAt = std::max(
      mArrivesAt,
      world.mNow + kOneWayDelay +
        Milliseconds(isLate ? world.RandomBelow(kMaxLateMessageMs) : 0));
    const auto isUnreachable = [&world, instance, name] {
      return world.mInstances[instance].mPartitionedFrom.contains(name) ||
             !world.Find(name).mIsAlive;
    };
    world.Schedule(mArrivesAt, [=, &world] {
      const auto shared = weak.lock();
      if (!shared || shared->mIsBroken || isUnreachable()) {
        if (shared) {
          shared->mIsBroken = true;
        }
        return;
      }
      const auto answer = aServe(world, *shared, world.Find(name));
      const auto back = std::max(world.mNow + kOneWayDelay,
                                 world.mInstances[instance].mSuspendedUntil);
      world.Schedule(back, [=, &world] {
        const auto still = weak.lock();
        if (still && !still->mIsBroken && !isUnreachable()) {
          still->mEvents.mOnAnswer(answer);
        } else if (still) {
          still->mIsBroken = true;
        }
      });
    });
  }

  RelayWorld& mWorld;
  size_t mInstance;
  std::string mDatabase;
  std::string mAccount;
  std::shared_ptr<Shared> mShared;
  Instant mArrivesAt;
};

/// Runs each statement at an instance that is drawn, and the statements of a
/// transaction at the same one. A suspended instance runs them when it resumes.
class RelayWorld::SpreadingRunner : public StatementRunner
{
public:
  explicit SpreadingRunner(RelayWorld& aWorld)
    : mWorld(aWorld)
  {
  }

  void Submit(RelayRequest aRequest, OutcomeHandler aHandler) override
  {
    const auto n = std::uniform_int_distribution<size_t>(0, kInstances - 1)(
      mWorld.mSpreadRandom);
    RunAt(n, [=, this] {
      const auto request = WithKnownWrites(n, aRequest);
      GroupAt(n).Submit(request, [=, this](const RelayOutcome& aOutcome) {
        Record(n, aOutcome);
        aHandler(aOutcome);
      });
    });
  }

  void Continue(const std::shared_ptr<OpenTransaction>& aTransaction,
                RelayRequest aRequest,
                OutcomeHandler aHandler) override
  {
    const auto n = mInstances.at(aTransaction);
    mInstances.erase(aTransaction);
    RunAt(n, [=, this] {
      GroupAt(n).Continue(
        aTransaction, aRequest, [=, this](const RelayOutcome& aOutcome) {
          Record(n, aOutcome);
          aHandler(aOutcome);
        });
    });
  }

  bool Cancel(const SessionState& aSession) override
  {
    bool isUnsent = false;
    for (size_t n = 0; n < kInstances; ++n) {
      isUnsent |= GroupAt(n).Cancel(aSession);
    }
    return isUnsent;
  }

  void RollBack(const std::shared_ptr<OpenTransaction>& aTransaction) override
  {
    const auto n = mInstances.at(aTransaction);
    mInstances.erase(aTransaction);
    GroupAt(n).RollBack(aTransaction);
  }

private:
  RelayGroup& GroupAt(size_t aInstance)
  {
    return *mWorld.mInstances[aInstance].mRouter->FindGroup("g");
  }

  RelayRequest WithKnownWrites(size_t aInstance, RelayRequest aRequest)
  {
    const auto written = aRequest.mSession->LastWriteIn("g");
    if (mWorld.mPastFault == PastFault::WriteOfAnUnknownTermIsIgnored &&
        written && written->mTerm > GroupAt(aInstance).View().HighestTerm()) {
      aRequest.mSession = std::make_shared<SessionState>();
    }
    return aRequest;
  }

  void RunAt(size_t aInstance, std::function<void()> aRun)
  {
    mWorld.Schedule(std::max(mWorld.mNow + kOneWayDelay,
                             mWorld.mInstances[aInstance].mSuspendedUntil),
                    std::move(aRun));
  }

  void Record(size_t aInstance, const RelayOutcome& aOutcome)
  {
    if (aOutcome.mTransaction) {
      mInstances[aOutcome.mTransaction] = aInstance;
    }
  }

  RelayWorld& mWorld;
  std::map<std::shared_ptr<OpenTransaction>, size_t> mInstances;
};

RelayWorld::RelayWorld(unsigned aSeed,
                       Freshness aFreshness,
                       Acknowledgement aAcknowledgement,
                       Disruption aDisruption,
                       Spread aSpread,
                       RelayRuleSet aRules)
  : mRandom(aSeed)
  , mFreshness(aFreshness)
  , mAcknowledgement(aAcknowledgement)
  , mDisruption(aDisruption)
  , mRules(aRules)
  , mLeaseObject(StoredLease{ { "", "", 0, true, 1 }, { 1, 1 } })
  , mStoreRandom(aSeed)
  , mKeyRandom(aSeed)
  , mSpreadRandom(aSeed)
  , mPositionRandom(aSeed)
{
  for (const auto* it : { "a", "b", "c" }) {
    Database database;
    database.mName = it;
    database.mRole = it == mLeader ? Role::Primary : Role::Replica;
    if (ListsDiffer() ||
        aDisruption == Disruption::ReplacementsBesideDeafReplicas) {
      database.mLag = kReplacementLag;
    }
    mDatabases.push_back(database);
  }
  mConfiguration.mVersion = 1;
  RelayRoute route;
  route.mDatabase = "db";
  route.mGroup = "g";
  route.mFreshness = aFreshness;
  route.mMaxAge = kMaxAge;
  mConfiguration.mRoutes = { route };
  mConfiguration.mGroups = { { "g", 60, 0 } };
  mInstances.resize(kInstances);
  for (size_t it = 0; it < kInstances; ++it) {
    mInstances[it].mLease =
      std::make_unique<PromotionLease>("i" + std::to_string(it), "1");
    ObserveEra(it);
    mInstances[it].mRouter = std::make_unique<RelayRouter>(MakeEnvironment(it));
    if (aSpread == Spread::AnyInstance) {
      mInstances[it].mRouter->SetRunnerFactory([this](const auto&) {
        return std::make_shared<SpreadingRunner>(*this);
      });
    }
    mInstances[it].mRouter->ApplyConfigurationIfNewer(mConfiguration);
  }
  for (size_t it = 0; it < kInstances; ++it) {
    DeliverDirectory(it);
  }
  for (const auto& it : mInstances) {
    it.mRouter->FindGroup("g")->SetPlacement({ true, kInstances });
  }
  for (size_t it = 0; it < kInstances * kCallersPerInstance; ++it) {
    Caller caller;
    caller.mInstance = it % kInstances;
    caller.mNextAt = mNow + 300ms;
    if (aDisruption == Disruption::KeysTakenAway) {
      caller.mAccount = "account-" + std::to_string(it % kAccounts);
      caller.mKey = "key-" + std::to_string(it);
    }
    mCallers.push_back(std::move(caller));
  }
  if (aDisruption == Disruption::KeysTakenAway) {
    PublishAccounts();
    ConfirmConfigurations();
  }
  for (size_t it = 0; it < mCallers.size(); ++it) {
    mCallers[it].mSession = std::make_shared<RelaySession>(
      *mInstances[mCallers[it].mInstance].mRouter,
      "db",
      mCallers[it].mKey,
      [this, it](const StatementAnswer& aAnswer) { OnResponse(it, aAnswer); });
  }
  mNextFault = mNow + 500ms;
  mNextReplacement = mNow + 1000ms;
  mNextRestore = mNow + RandomStoreDelay(kMaxRestoreIntervalMs);
}

RelayWorld::~RelayWorld()
{
  // Statements that wait for an instance refer to both.
  mEvents.clear();
  mCallers.clear();
  mInstances.clear();
}

void
RelayWorld::SetLeaving(const std::string& aLeaving)
{
  for (auto& it : mDatabases) {
    it.mIsLeaving = it.mName == aLeaving;
  }
  PublishDirectory();
}

std::vector<DirectoryEntry>
RelayWorld::DirectoryEntries() const
{
  std::vector<DirectoryEntry> entries;
  for (const auto& it : mDatabases) {
    if (it.mIsGone || it.mName == mUnreadable) {
      continue;
    }
    DirectoryEntry entry;
    entry.mGroup = "g";
    entry.mMember.mName = it.mName;
    entry.mMember.mListedRole = it.mRole;
    entry.mMember.mIsLeaving = it.mIsLeaving;
    entries.push_back(entry);
  }
  return entries;
}

void
RelayWorld::PublishDirectory()
{
  for (size_t it = 0; it < mInstances.size(); ++it) {
    if (ListsDiffer()) {
      Schedule(mNow + Milliseconds(RandomBelow(kMaxListDelayMs)),
               [this, it] { DeliverDirectory(it); });
    } else {
      DeliverDirectory(it);
    }
  }
}

void
RelayWorld::DeliverDirectory(size_t aInstance)
{
  auto& instance = mInstances[aInstance];
  if (mNow < instance.mCutFromDirectoryUntil) {
    return;
  }
  std::vector<std::string> names;
  for (const auto& it : DirectoryEntries()) {
    names.push_back(it.mMember.mName);
    instance.mDirectory.Set(it);
  }
  instance.mDirectory.Retain(names, mNow);
  instance.mRouter->SetDirectory(instance.mDirectory.Entries(mNow));
}

void
RelayWorld::CutFromDirectory(size_t aInstance, Milliseconds aTime)
{
  mInstances[aInstance].mCutFromDirectoryUntil = mNow + aTime;
  Schedule(mNow + aTime, [this, aInstance] { DeliverDirectory(aInstance); });
}

std::vector<std::string>
RelayWorld::PresentDatabases() const
{
  std::vector<std::string> names;
  for (const auto& it : mDatabases) {
    if (!it.mIsGone) {
      names.push_back(it.mName);
    }
  }
  return names;
}

/// The new database holds the log of the leader.
void
RelayWorld::AddDatabase()
{
  auto database = Find(mLeader);
  // Some names come before those of the first databases, some after.
  database.mName =
    (Chance(0.5) ? "0" : "x") + std::to_string(++mAddedDatabases);
  database.mRole = Role::Replica;
  database.mFencedTerm = 0;
  database.mApplied = database.mLog.size();
  database.mToApply.clear();
  database.mIsLeaving = false;
  database.mDeafUntil = {};
  mDatabases.push_back(std::move(database));
  PublishDirectory();
}

void
RelayWorld::Leave(const std::string& aName)
{
  if (Find(aName).mIsLeaving) {
    return;
  }
  Find(aName).mIsLeaving = true;
  PublishDirectory();
  Schedule(mNow + Milliseconds(kMaxLeavingMs / 2 + RandomBelow(kMaxLeavingMs)),
           [this, aName] { EndIfReplaced(aName); });
}

void
RelayWorld::EndIfReplaced(const std::string& aName)
{
  if (aName == mLeader || PresentDatabases().size() <= 3) {
    Schedule(mNow + 500ms, [this, aName] { EndIfReplaced(aName); });
    return;
  }
  auto& database = Find(aName);
  database.mIsGone = true;
  database.mIsAlive = false;
  database.mBackAt = Instant::max();
  PublishDirectory();
}

void
RelayWorld::MakeDeaf(const std::string& aName, Milliseconds aAfter)
{
  const auto time = Milliseconds(RandomBelow(kMaxDeafMs));
  Schedule(mNow + aAfter,
           [this, aName, time] { Find(aName).mDeafUntil = mNow + time; });
}

void
RelayWorld::ChangeMembers()
{
  const auto present = PresentDatabases();
  const auto draw = [&] {
    return present[static_cast<size_t>(
      RandomBelow(static_cast<int>(present.size())))];
  };
  if (Chance(0.7)) {
    CutFromDirectory(static_cast<size_t>(RandomBelow(kInstances)),
                     Milliseconds(RandomBelow(kMaxDirectoryCutMs)));
  }
  if (Chance(0.5)) {
    MakeDeaf(draw(), Milliseconds(RandomBelow(kMaxMemberChangeIntervalMs)));
  }
  if (Chance(0.2)) {
    mUnreadable = draw();
    Schedule(mNow + Milliseconds(RandomBelow(kMaxDirectoryCutMs)), [this] {
      mUnreadable.clear();
      PublishDirectory();
    });
    PublishDirectory();
  }
  if (present.size() < 4 || (present.size() < kMaxDatabases && Chance(0.5))) {
    AddDatabase();
    if (Chance(0.2)) {
      AddDatabase();
    }
  }
  if (present.size() >= 3 && Chance(0.7)) {
    const auto leaving = Chance(0.6) ? mLeader : draw();
    Schedule(mNow + 300ms +
               Milliseconds(RandomBelow(kMaxMemberChangeIntervalMs)),
             [this, leaving] { Leave(leaving); });
  }
}

RelayEnvironment
RelayWorld::MakeEnvironment(size_t aInstance)
{
  RelayEnvironment environment;
  environment.mNow = [this] { return mNow; };
  environment.mMakeProtocol = platform::LineUpstreamProtocol::Create;
  environment.mFailureDomain = "d";
  environment.mAcknowledgement = mAcknowledgement;
  environment.mRules = mRules;
  if (mDisruption == Disruption::KeysTakenAway) {
    environment.mAuthorityTimeout = kAuthorityTimeout;
  }
  environment.mLog = [](const auto&, const auto&) {};
  environment.mLeaseGrant = [this, aInstance] {
    return mInstances[aInstance].mLease->Grant(mNow);
  };
  environment.mAcquireLease = [this, aInstance](const std::string&) {
    AcquireLease(aInstance);
  };
  environment.mOrderPromotion = [this, aInstance](const std::string&,
                                                  const std::string& aName) {
    auto& instance = mInstances[aInstance];
    const auto grant = instance.mLease->Grant(mNow);
    if (!grant) {
      return;
    }
    instance.mLease->OnPromotionOrdered(mNow);
    if (grant->mToken < mLastToken) {
      ReportViolation("ONE: a lower token was sent");
    }
    if (grant->mToken == mLastToken && aInstance != mLastHolder) {
      ReportViolation("ONE: two holders have the same token");
    }
    const bool isShared = std::ranges::any_of(mInstances, [&](const auto& it) {
      return &it != &instance && it.mLease->Grant(mNow);
    });
    if (isShared) {
      ReportViolation("ONE: two instances hold the lease");
    }
    mLastToken = grant->mToken;
    mLastHolder = aInstance;
    Schedule(mNow + Milliseconds(200 + RandomBelow(400)),
             [this, aName] { Promote(aName); });
    if (ListsDiffer() && Chance(0.5)) {
      MakeDeaf(aName, Milliseconds(RandomBelow(200)));
    }
  };
  environment.mOpenChannel = [this, aInstance](const ChannelTarget& aTarget,
                                               ChannelEvents aEvents) {
    return std::make_unique<Channel>(
      *this, aInstance, aTarget, std::move(aEvents));
  };
  return environment;
}

Milliseconds
RelayWorld::RandomStoreDelay(int aBelowMs)
{
  return Milliseconds(
    std::uniform_int_distribution<>(0, aBelowMs - 1)(mStoreRandom));
}

void
RelayWorld::ObserveEra(size_t aInstance)
{
  auto& lease = *mInstances[aInstance].mLease;
  if (lease.ObserveEra(mRevision.mEra, mNow) && mLeaseObject) {
    lease.ObserveRecord(*mLeaseObject, mNow);
  }
}

void
RelayWorld::AcquireLease(size_t aInstance)
{
  Schedule(mNow + 4ms, [this, aInstance] {
    auto& instance = mInstances[aInstance];
    const auto group = instance.mRouter->FindGroup("g");
    const auto retry = mNow + 200ms;
    if (!mIsStoreUp) {
      group->OnLeaseRefused(retry);
      return;
    }
    const auto sentAt = mNow;
    instance.mLease->ObserveEra(mRevision.mEra, mNow);
    const auto decision = instance.mLease->Decide(mLeaseObject, mNow);
    const auto* take = std::get_if<WriteLease>(&decision);
    if (!take) {
      group->OnLeaseRefused(std::get<WaitForLeaseHolder>(decision).mUntil);
      return;
    }
    // The write runs 4 ms after the read. Its answer may be lost, and it may
    // run seconds later.
    Schedule(mNow + 4ms, [this, aInstance, sentAt, retry, put = *take] {
      auto& holder = mInstances[aInstance];
      const auto isLost = Chance(0.1);
      if (isLost && RandomStoreDelay(2) == 0ms) {
        Schedule(mNow + RandomStoreDelay(kMaxLateWriteMs),
                 [this, put] { PutLease(put); });
      } else if (PutLease(put) && !isLost &&
                 holder.mLease->OnAcquired(mLeaseObject->mRevision, sentAt)) {
        return;
      }
      holder.mRouter->FindGroup("g")->OnLeaseRefused(retry);
    });
  });
}

bool
RelayWorld::PutLease(const WriteLease& aPut)
{
  const auto present = mLeaseObject ? mLeaseObject->mRevision.mNumber : 0;
  if (present != aPut.mExpectedRevision.mNumber) {
    return false;
  }
  ++mRevision.mNumber;
  mLeaseObject = StoredLease{ aPut.mRecord, mRevision };
  return true;
}

void
RelayWorld::ReleaseLease(Instance& aInstance)
{
  if (const auto release = aInstance.mLease->ReleaseIfDue(mNow)) {
    const bool isLate = RandomStoreDelay(4) == 0ms;
    Schedule(mNow + 4ms + (isLate ? RandomStoreDelay(kMaxLateWriteMs) : 0ms),
             [this, put = *release] { PutLease(put); });
  }
}

void
RelayWorld::RestoreStore()
{
  ++mRestores;
  const auto n = static_cast<size_t>(
    RandomStoreDelay(static_cast<int>(mStoreCopies.size())).count());
  const auto copy = mStoreCopies[n];
  mRevision = { mRevision.mEra + 1, copy.mNumber };
  mLeaseObject = copy.mLease;
  if (mLeaseObject) {
    mLeaseObject->mRevision.mEra = mRevision.mEra;
  }
  mStoreCopies.clear();
  for (size_t it = 0; it < mInstances.size(); ++it) {
    // Every other instance learns of it only when it needs the lease.
    if (RandomStoreDelay(2) == 0ms) {
      Schedule(mNow + RandomStoreDelay(kMaxLearningDelayMs),
               [this, it] { ObserveEra(it); });
    }
  }
}

void
RelayWorld::PublishAccounts()
{
  std::vector<ClientAccount> accounts(kAccounts);
  for (size_t it = 0; it < kAccounts; ++it) {
    accounts[it].mName = "account-" + std::to_string(it);
  }
  for (size_t it = 0; it < mCallers.size(); ++it) {
    if (!mCallers[it].mKeyTakenAt) {
      accounts[it % kAccounts].mKeys.push_back(mCallers[it].mKey);
    }
  }
  ++mConfiguration.mVersion;
  mConfiguration.mAccounts =
    std::make_shared<const ClientAccounts>(std::move(accounts));
}

void
RelayWorld::TakeKey()
{
  const auto draw = [this](int aBelow) {
    return std::uniform_int_distribution<>(0, aBelow - 1)(mKeyRandom);
  };
  mNextKeyChange = mNow + Milliseconds(draw(kMaxKeyChangeIntervalMs));
  auto& caller =
    mCallers[static_cast<size_t>(draw(static_cast<int>(mCallers.size())))];
  auto& instance = mInstances[static_cast<size_t>(draw(kInstances))];
  instance.mCutFromStoreUntil = mNow + Milliseconds(draw(kMaxKeyTakenMs));
  if (caller.mKeyTakenAt) {
    return;
  }
  caller.mKeyTakenAt = mNow;
  PublishAccounts();
  Schedule(mNow + Milliseconds(draw(kMaxKeyTakenMs)), [this, &caller] {
    caller.mKeyTakenAt.reset();
    PublishAccounts();
  });
}

void
RelayWorld::ConfirmConfigurations()
{
  for (auto& it : mInstances) {
    const bool isInContact =
      mIsStoreUp && mNow >= it.mCutFromStoreUntil && mNow >= it.mSuspendedUntil;
    if (isInContact) {
      it.mRouter->ApplyConfigurationIfNewer(mConfiguration);
      it.mRouter->ConfirmConfiguration(mNow);
    }
  }
}

/// A statement runs for the account of its caller, and not after its key was
/// taken away for longer than the authority timeout.
void
RelayWorld::CheckAuthority(const std::string& aId, const std::string& aAccount)
{
  const auto& caller = mCallers[mRequests.at(aId).mCaller];
  if (aAccount != caller.mAccount) {
    ReportViolation("UNASKED: " + aId + " ran for \"" + aAccount + "\"");
  }
  if (caller.mKeyTakenAt &&
      mNow - *caller.mKeyTakenAt > kAuthorityTimeout + kOneWayDelay) {
    ReportViolation("CONFIG: " + aId + " ran after its key was taken away");
  }
}

void
RelayWorld::Schedule(Instant aAt, std::function<void()> aRun)
{
  mEvents.push_back({ aAt, mOrder++, std::move(aRun) });
  std::ranges::push_heap(mEvents, std::greater{});
}

bool
RelayWorld::Chance(double aProbability)
{
  return std::uniform_real_distribution<>(0, 1)(mRandom) < aProbability;
}

int
RelayWorld::RandomBelow(int aBelow)
{
  return std::uniform_int_distribution<>(0, aBelow - 1)(mRandom);
}

RelayWorld::Database&
RelayWorld::Find(const std::string& aName)
{
  return *std::ranges::find(mDatabases, aName, &Database::mName);
}

LogPosition
RelayWorld::EndOf(const Database& aDatabase, size_t aSize)
{
  return { aSize == 0 ? 0 : aDatabase.mLog[aSize - 1].mTerm, aSize };
}

void
RelayWorld::ReportViolation(const std::string& aText)
{
  mViolations.push_back(aText);
}

void
RelayWorld::Promote(const std::string& aName)
{
  auto& database = Find(aName);
  const bool isLeading = mLeader == aName && database.mRole == Role::Primary;
  if (!database.mIsAlive || isLeading) {
    return;
  }
  ++mPromotions;
  mLeader = aName;
  uint64_t term = 0;
  for (auto& it : mDatabases) {
    term = std::max(term, it.mTerm + 1);
    it.mFencedTerm = 0;
  }
  database.mRole = Role::Primary;
  database.mTerm = term;
  database.mApplied = database.mLog.size();
  std::set<std::string> kept;
  for (const auto& it : database.mLog) {
    kept.insert(it.mWrite);
  }
  for (const auto& it : mCommitted) {
    if (kept.contains(it)) {
      continue;
    }
    mRolledBack.insert(it);
    if (mAcknowledgement == Acknowledgement::Majority &&
        mAcknowledged.contains(it)) {
      ReportViolation("LOST: " + it + " at the promotion of " + aName);
    }
  }
}

void
RelayWorld::Replicate()
{
  auto& source = Find(mLeader);
  for (auto& it : mDatabases) {
    if (!it.mIsAlive) {
      if (mNow >= it.mBackAt) {
        it.mIsAlive = true;
        if (it.mName != mLeader && it.mRole == Role::Primary) {
          it.mRole = Role::Replica;
        }
      }
      continue;
    }
    while (!it.mToApply.empty() && it.mToApply.front().first <= mNow) {
      it.mApplied = std::min(std::max(it.mApplied, it.mToApply.front().second),
                             it.mLog.size());
      it.mToApply.pop_front();
    }
    const bool isPartitioned =
      mPartitions.contains(std::minmax(it.mName, source.mName));
    const bool isDeaf = mNow < it.mDeafUntil;
    const bool hasSteppedDown = ListsDiffer() && source.mRole != Role::Primary;
    if (it.mName == mLeader || !source.mIsAlive || isPartitioned || isDeaf ||
        hasSteppedDown || it.mFencedTerm != 0) {
      continue;
    }
    const bool followsLeader =
      it.mTerm == source.mTerm && it.mLog.size() <= source.mLog.size();
    if (!followsLeader) {
      // Joins the new term and truncates the entries that the leader lacks.
      it.mRole = Role::Replica;
      it.mTerm = source.mTerm;
      it.mLog.resize(std::min(it.mLog.size(), source.mLog.size()));
      while (!it.mLog.empty() &&
             it.mLog.back().mWrite != source.mLog[it.mLog.size() - 1].mWrite) {
        it.mLog.pop_back();
      }
      it.mApplied = std::min(it.mApplied, it.mLog.size());
      it.mToApply.clear();
      it.mToApply.emplace_back(mNow + it.mLag, it.mLog.size());
    }
    while (it.mLog.size() < source.mLog.size()) {
      it.mLog.push_back(source.mLog[it.mLog.size()]);
      it.mToApply.emplace_back(mNow + it.mLag, it.mLog.size());
    }
  }
}

void
RelayWorld::Commit(Database& aDatabase, const std::string& aWrite)
{
  if (!mCommitted.insert(aWrite).second) {
    ReportViolation("TWICE: " + aWrite);
  }
  if (aDatabase.mName != mLeader) {
    mCommittedAtReplaced.insert(aWrite);
    mRolledBack.insert(aWrite);
  }
  aDatabase.mLog.push_back({ aDatabase.mTerm, aWrite });
  aDatabase.mApplied = aDatabase.mLog.size();
}

void
RelayWorld::CheckRead(const Database& aDatabase, const std::string& aId)
{
  ++mReads;
  const auto& request = mRequests.at(aId);
  const auto limit =
    mFreshness == Freshness::Latest ? request.mSince : request.mSince - kMaxAge;
  std::set<std::string> seen;
  for (size_t it = 0; it < aDatabase.mApplied; ++it) {
    seen.insert(aDatabase.mLog[it].mWrite);
  }
  const auto isMissing = [&](const std::string& aWrite) {
    return !seen.contains(aWrite) && !mRolledBack.contains(aWrite);
  };
  for (const auto& [write, at] : mAcknowledged) {
    if (at < limit && isMissing(write)) {
      ReportViolation("STALE: " + aId + " at " + aDatabase.mName + " lacks " +
                      write);
    }
  }
  const auto& written = mCallers[request.mCaller].mOwnWrites;
  if (mFreshness == Freshness::ReadYourWrites &&
      std::any_of(written.begin(),
                  written.begin() + static_cast<ptrdiff_t>(request.mOwnWrites),
                  isMissing)) {
    ReportViolation("STALE: " + aId + " lacks a write of its session");
  }
}

StatementAnswer
RelayWorld::Execute(Database& aDatabase,
                    const UpstreamCommand& aCommand,
                    DatabaseSession& aSession,
                    const std::string& aAccount)
{
  auto& state = aSession.mState;
  auto& isReadOnly = aSession.mIsReadOnly;
  auto& staged = aSession.mStaged;
  StatementAnswer answer;
  answer.mSignature = "s";
  const auto applied = EndOf(aDatabase, aDatabase.mApplied);
  const bool isPrimary = aDatabase.mRole == Role::Primary;
  const auto fail = [&](ErrorKind aKind) {
    answer.mError = Error{ aKind, "" };
    aSession.mState = aSession.mState == TransactionState::Open
                        ? TransactionState::Failed
                        : aSession.mState;
    aSession.mStaged.clear();
  };
  const bool isLagging =
    aCommand.mMinPosition && applied < *aCommand.mMinPosition;
  switch (aCommand.mType) {
    case CommandType::Forward: {
      CheckAuthority(aCommand.mId, aAccount);
      const bool isWrite = aCommand.mText.starts_with("WRITE");
      const bool isCommit = aCommand.mText == "COMMIT";
      const bool isRefusedByReplica =
        isWrite || (isCommit ? !staged.empty()
                             : state == TransactionState::Open && !isReadOnly);
      if (isLagging) {
        fail(ErrorKind::TooStale);
      } else if (isRefusedByReplica && !isPrimary) {
        fail(ErrorKind::NotPrimary);
      } else if (isCommit) {
        for (const auto& it : staged) {
          Commit(aDatabase, it);
        }
        staged.clear();
        state = TransactionState::None;
      } else if (isWrite && state == TransactionState::Open) {
        staged.push_back(aCommand.mText);
      } else if (isWrite) {
        Commit(aDatabase, aCommand.mText);
      } else {
        CheckRead(aDatabase, aCommand.mId);
      }
      break;
    }
    case CommandType::Begin:
      isReadOnly = false;
      isPrimary ? void(state = TransactionState::Open)
                : fail(ErrorKind::NotPrimary);
      break;
    case CommandType::BeginReadOnly:
      isReadOnly = true;
      isLagging ? fail(ErrorKind::TooStale)
                : void(state = TransactionState::Open);
      break;
    case CommandType::Rollback:
      staged.clear();
      state = TransactionState::None;
      break;
    case CommandType::Fence:
      if (!isPrimary && aCommand.mTerm > aDatabase.mTerm) {
        aDatabase.mFencedTerm = std::max(aDatabase.mFencedTerm, aCommand.mTerm);
      }
      break;
    case CommandType::Resume:
      aDatabase.mFencedTerm = 0;
      break;
    case CommandType::StepDown:
      if (isPrimary && aCommand.mTerm > aDatabase.mTerm) {
        aDatabase.mRole = Role::Replica;
      }
      break;
    default:
      break;
  }
  if (!answer.mError) {
    const auto received = EndOf(aDatabase, aDatabase.mLog.size());
    answer.mRows = {
      std::string(aDatabase.mRole == Role::Primary ? "primary" : "replica") +
      " " + std::to_string(aDatabase.mTerm) + " " +
      std::to_string(received.mTerm) + "." + std::to_string(received.mOffset) +
      " " + std::to_string(aDatabase.mFencedTerm) + " 0 0 3"
    };
  }
  answer.mTransactionState = state;
  const bool isPositionStated =
    mDisruption != Disruption::AnswersWithoutPosition ||
    std::bernoulli_distribution(0.5)(mPositionRandom);
  if (isPositionStated) {
    answer.mPosition = EndOf(aDatabase, aDatabase.mApplied);
    aSession.mLastPosition = answer.mPosition;
  } else if (mPastFault == PastFault::MissingPositionIsTheLast) {
    answer.mPosition = aSession.mLastPosition;
  }
  return answer;
}

void
RelayWorld::SendNextStatement(size_t aCaller)
{
  auto& caller = mCallers[aCaller];
  const auto id = "q" + std::to_string(++mLastRequest);
  if (caller.mStep == 0) {
    caller.mIsTransaction = Chance(0.4);
    caller.mIsReadOnly = (mDisruption != Disruption::None && Chance(0.5)) ||
                         mNow < mInstances[caller.mInstance].mReadsOnlyUntil;
  }
  const auto newWrite = [&] {
    caller.mPendingWrite = "WRITE 1 " + id;
    return caller.mPendingWrite;
  };
  std::string text;
  if (!caller.mIsTransaction) {
    const bool isWrite = Chance(0.5) && !caller.mIsReadOnly;
    text = isWrite ? newWrite() : "READ 1";
  } else if (caller.mStep == 0) {
    text = caller.mIsReadOnly ? "BEGIN READ" : "BEGIN";
    caller.mBeganAt = mNow;
  } else if (caller.mStep == 1 || (caller.mIsReadOnly && caller.mStep == 2)) {
    text = "READ 1";
  } else {
    text = caller.mStep == 2 ? newWrite() : "COMMIT";
  }
  caller.mStatement = text;
  mRequests[id] = { aCaller,
                    caller.mIsTransaction ? caller.mBeganAt : mNow,
                    caller.mOwnWrites.size() };
  caller.mSession->Handle(platform::ParseStatement(id, text).Value());
}

void
RelayWorld::OnResponse(size_t aCaller, const StatementAnswer& aAnswer)
{
  auto& caller = mCallers[aCaller];
  caller.mNextAt = mNow + Milliseconds(2 + RandomBelow(40));
  const bool isEnd = caller.mStatement == "COMMIT" || !caller.mIsTransaction;
  const bool isWrite = isEnd && !caller.mPendingWrite.empty();
  if (aAnswer.mError) {
    mUnauthorized += aAnswer.mError->mKind == ErrorKind::AuthenticationFailed ||
                         aAnswer.mError->mKind == ErrorKind::AuthorityExpired
                       ? 1
                       : 0;
    const bool saysNotRun =
      AnswerFor(aAnswer.mError->mKind).mOutcome == Outcome::NotRun;
    if (saysNotRun && !caller.mPendingWrite.empty() &&
        mCommitted.contains(caller.mPendingWrite)) {
      ReportViolation("REFUSED: " + caller.mPendingWrite);
    }
    if (aAnswer.mTransactionState != TransactionState::None) {
      caller.mStatement = "ROLLBACK";
      caller.mPendingWrite.clear();
      caller.mSession->Handle(
        platform::ParseStatement("rollback", "ROLLBACK").Value());
    }
    caller.mStep = 0;
    caller.mPendingWrite.clear();
    return;
  }
  if (isWrite) {
    if (mCommittedAtReplaced.contains(caller.mPendingWrite)) {
      ReportViolation("ONE: " + caller.mPendingWrite);
    } else if (mAcknowledgement == Acknowledgement::Majority &&
               mRolledBack.contains(caller.mPendingWrite)) {
      ReportViolation("LOST: acknowledged after a promotion without it: " +
                      caller.mPendingWrite);
    }
    mAcknowledged[caller.mPendingWrite] = mNow;
    caller.mOwnWrites.push_back(caller.mPendingWrite);
  }
  if (isEnd || caller.mStatement == "ROLLBACK") {
    caller.mPendingWrite.clear();
  }
  caller.mStep =
    isEnd || caller.mStatement == "ROLLBACK" ? 0 : caller.mStep + 1;
}

void
RelayWorld::PartitionReplication(const std::string& aFirst,
                                 const std::string& aSecond,
                                 Milliseconds aTime)
{
  const std::pair<std::string, std::string> pair = std::minmax(aFirst, aSecond);
  mPartitions.insert(pair);
  Schedule(mNow + aTime, [this, pair] { mPartitions.erase(pair); });
}

/// Lets the primary leave while a replica receives nothing. The callers of one
/// instance only read, and in half of the cases this instance does not reach
/// the database that is to be promoted.
void
RelayWorld::ReplacePrimary()
{
  std::vector<std::string> replicas;
  for (const auto& it : mDatabases) {
    if (it.mName != mLeader) {
      replicas.push_back(it.mName);
    }
  }
  const auto first = static_cast<size_t>(RandomBelow(2));
  const auto deaf = replicas[first];
  const auto next = replicas[1 - first];
  PartitionReplication(deaf, mLeader, kDeafTime);
  PartitionReplication(deaf, next, kDeafTime);
  auto& instance = mInstances[static_cast<size_t>(RandomBelow(kInstances))];
  instance.mReadsOnlyUntil = mNow + kDeafTime;
  if (Chance(0.5)) {
    instance.mPartitionedFrom.insert(next);
    Schedule(mNow + kDeafTime,
             [&instance, next] { instance.mPartitionedFrom.erase(next); });
  }
  Schedule(mNow + 100ms, [this, leaving = mLeader] { SetLeaving(leaving); });
  Schedule(mNow + kDeafTime, [this] { SetLeaving({}); });
}

void
RelayWorld::InjectFault()
{
  const auto length = Milliseconds(200 + RandomBelow(2500));
  auto& instance = mInstances[static_cast<size_t>(RandomBelow(kInstances))];
  const auto draw = [this]() -> Database& {
    return mDatabases[static_cast<size_t>(
      RandomBelow(static_cast<int>(mDatabases.size())))];
  };
  auto& database = draw();
  switch (RandomBelow(6)) {
    case 0:
      if (!database.mIsGone) {
        database.mIsAlive = false;
        database.mBackAt = mNow + length;
      }
      break;
    case 1:
      instance.mPartitionedFrom.insert(database.mName);
      Schedule(mNow + length, [&instance, name = database.mName] {
        instance.mPartitionedFrom.erase(name);
      });
      break;
    case 2: {
      const auto& other = draw();
      PartitionReplication(database.mName, other.mName, length);
      break;
    }
    case 3:
      instance.mSuspendedUntil = mNow + length;
      break;
    case 4:
      mIsStoreUp = false;
      Schedule(mNow + length, [this] { mIsStoreUp = true; });
      break;
    default: {
      // Partitions the primary and one instance from all others.
      const auto leader = mLeader;
      for (auto& it : mInstances) {
        for (const auto& at : mDatabases) {
          if ((&it == &instance) != (at.mName == leader)) {
            it.mPartitionedFrom.insert(at.mName);
          }
        }
      }
      for (const auto& at : mDatabases) {
        mPartitions.insert(std::minmax(leader, at.mName));
      }
      Schedule(mNow + length, [this] {
        mPartitions.clear();
        for (auto& it : mInstances) {
          it.mPartitionedFrom.clear();
        }
      });
      break;
    }
  }
}

void
RelayWorld::Run(Milliseconds aTime)
{
  const auto until = mNow + aTime;
  for (; mNow < until; mNow += 1ms) {
    Replicate();
    while (!mEvents.empty() && mEvents.front().mAt <= mNow) {
      std::ranges::pop_heap(mEvents, std::greater{});
      const auto event = std::move(mEvents.back());
      mEvents.pop_back();
      event.mRun();
    }
    const auto sinceEpoch = mNow.time_since_epoch();
    if (sinceEpoch % kCopyInterval == 0ms) {
      mStoreCopies.push_back({ mLeaseObject, mRevision.mNumber });
      // Other writes, so that numbers are assigned to other changes again.
      mRevision.mNumber += RandomStoreDelay(3).count();
      if (mStoreCopies.size() > kMaxCopies) {
        mStoreCopies.pop_front();
      }
    }
    if (mNow >= mNextRestore && !mStoreCopies.empty()) {
      mNextRestore = mNow + RandomStoreDelay(kMaxRestoreIntervalMs);
      RestoreStore();
    }
    if (mNow >= mNextFault) {
      mNextFault = mNow + Milliseconds(300 + RandomBelow(2000));
      InjectFault();
    }
    if (mDisruption == Disruption::KeysTakenAway) {
      if (sinceEpoch % kConfirmationInterval == 0ms) {
        ConfirmConfigurations();
      }
      if (mNow >= mNextKeyChange) {
        TakeKey();
      }
    }
    if (mDisruption == Disruption::ReplacementsBesideDeafReplicas &&
        mNow >= mNextReplacement) {
      mNextReplacement = mNow + kReplacementInterval;
      ReplacePrimary();
    }
    if (ListsDiffer() && mNow >= mNextReplacement) {
      mNextReplacement =
        mNow + Milliseconds(RandomBelow(kMaxMemberChangeIntervalMs));
      ChangeMembers();
    }
    for (auto& it : mInstances) {
      const bool isTick = sinceEpoch % kTick == 0ms;
      if (isTick && it.mDirectory.HasPendingRemovals()) {
        it.mRouter->SetDirectory(it.mDirectory.Entries(mNow));
      }
      if (isTick && mNow >= it.mSuspendedUntil) {
        it.mRouter->Tick();
        ReleaseLease(it);
      }
    }
    for (size_t it = 0; it < mCallers.size(); ++it) {
      auto& caller = mCallers[it];
      if (mNow >= caller.mNextAt && !caller.mSession->IsBusy() &&
          mNow >= mInstances[caller.mInstance].mSuspendedUntil) {
        SendNextStatement(it);
      }
    }
  }
}

}
