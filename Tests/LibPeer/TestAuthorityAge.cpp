#include "SimulatedFleet.h"

#include "LibDecision/WatchPlan.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// How confirmations of the configuration reach the instances of a fleet, and
/// what runs by them.
class TestAuthorityAge : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestAuthorityAge);
  CPPUNIT_TEST(FleetHealthyAllInstancesKeepTheirAuthority);
  CPPUNIT_TEST(FleetSmallAllInstancesKeepTheirAuthority);
  CPPUNIT_TEST(FleetIdleConfirmationsCountFromTheSending);
  CPPUNIT_TEST(AgeNotLimitedWatchesTellNoAges);
  CPPUNIT_TEST(AgeLimitedTheStoreIsCalledNoMoreOften);
  CPPUNIT_TEST(WatchersKilledTheOthersKeepTheirAuthority);
  CPPUNIT_TEST(WatcherFrozenTheOthersKeepTheirAuthority);
  CPPUNIT_TEST(WatcherFrozenAfterAChangeTheOthersKeepTheirAuthority);
  CPPUNIT_TEST(StoreSlowAfterAChangeNoInstanceLosesItsAuthority);
  CPPUNIT_TEST(StoreRefusesAThirdOfTheInstancesNoneLosesItsAuthority);
  CPPUNIT_TEST(StoreServesOneInstanceConfirmationsPassInAChain);
  CPPUNIT_TEST(StoreDownNoInstanceCountsALaterConfirmation);
  CPPUNIT_TEST(StoreBackAuthorityIsBackAtOnce);
  CPPUNIT_TEST(InstancePartitionedFromAllRefusesAtOnce);
  CPPUNIT_TEST(StatementForwardedExpiresWhileItWaitsAtTheHome);
  CPPUNIT_TEST(HomeFrozenStatementOnTheWayDoesNotRun);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Milliseconds kLimit = 5000ms;
  /// The time in which a fleet that starts has settled.
  static constexpr Milliseconds kStartup = 8000ms;
  static constexpr const char* kKey = "key-of-meadow";

  std::unique_ptr<SimulatedFleet> mFleet;

  Instant Now() { return mFleet->Databases().Now(); }

  void Start(size_t aInstances)
  {
    mFleet = std::make_unique<SimulatedFleet>(
      aInstances, std::vector<std::string>{ "d1", "d2", "d3" }, kLimit);
    mFleet->SetAccounts({ { "meadow", 1, std::nullopt, { kKey } } });
    mFleet->WatchConfiguration();
    mFleet->Run(kStartup);
  }

  template<typename Use>
  void ForEach(Use aUse)
  {
    for (size_t n = 0; n < mFleet->Size(); ++n) {
      aUse(mFleet->At(n));
    }
  }

  bool IsWatcher(const SimulatedFleet::Instance& aInstance)
  {
    return PlanWatches(aInstance.mInfo, mFleet->ListInstances()).mIsWatcher;
  }

  SimulatedFleet::Instance& FirstWatcher(const std::string& aDomain)
  {
    for (size_t n = 0; n < mFleet->Size(); ++n) {
      auto& it = mFleet->At(n);
      if (it.mInfo.mFailureDomain == aDomain && IsWatcher(it)) {
        return it;
      }
    }
    throw std::logic_error("no watcher");
  }

  /// Runs the fleet; no instance that runs may lose its authority.
  void RunKeepingAuthority(Milliseconds aTime)
  {
    for (Milliseconds time{ 0 }; time < aTime; time += 100ms) {
      mFleet->Run(100ms);
      ForEach([&](SimulatedFleet::Instance& it) {
        const bool isExempt = !it.mIsAlive || Now() < it.mFrozenUntil;
        CPPUNIT_ASSERT_MESSAGE(it.mInfo.mName,
                               isExempt || it.mRouter->HasAuthority());
      });
    }
  }

  /// Lets an instance get no confirmation until the last one has an age.
  void AgeConfirmation(SimulatedFleet::Instance& aInstance, Duration aAge)
  {
    aInstance.mDirectStore->mIsSilent = true;
    aInstance.mStore->SetFleet({ aInstance.mInfo });
    while (*aInstance.mRouter->AuthorityAge() < aAge) {
      mFleet->Run(10ms);
    }
  }

  size_t CountStoreCalls(std::optional<Duration> aLimit)
  {
    SimulatedFleet fleet(40, { "d1", "d2", "d3" }, aLimit);
    fleet.WatchConfiguration();
    const auto count = [&] {
      size_t n = 0;
      for (size_t it = 0; it < fleet.Size(); ++it) {
        n += fleet.At(it).mDirectStore->mCalls;
      }
      return n;
    };
    fleet.Run(kStartup);
    const auto before = count();
    fleet.Run(20s);
    return count() - before;
  }

public:
  void FleetHealthyAllInstancesKeepTheirAuthority()
  {
    Start(40);
    RunKeepingAuthority(10s);
  }

  void FleetSmallAllInstancesKeepTheirAuthority()
  {
    Start(6);
    RunKeepingAuthority(10s);
  }

  /// A watch without changes is answered when its wait is over.
  void FleetIdleConfirmationsCountFromTheSending()
  {
    constexpr Duration kWait = 2s;
    Start(20);
    for (int n = 0; n < 500; ++n) {
      mFleet->Run(10ms);
      ForEach([&](SimulatedFleet::Instance& it) {
        CPPUNIT_ASSERT(*it.mRouter->AuthorityAge() >= kWait);
      });
    }
  }

  /// Without a limit watches and their answers are as they were before.
  void AgeNotLimitedWatchesTellNoAges()
  {
    size_t watches = 0;
    SimulatedFleet fleet(20, { "d1", "d2", "d3" });
    fleet.mOnWritten = [&](const std::string& it) {
      if (it.starts_with("[\"watch\"") || it.starts_with("[\"objects\"")) {
        ++watches;
        CPPUNIT_ASSERT_MESSAGE(it, it.ends_with(",null]"));
      }
    };
    fleet.WatchConfiguration();
    fleet.Run(3s);
    CPPUNIT_ASSERT(watches > 0);
  }

  void AgeLimitedTheStoreIsCalledNoMoreOften()
  {
    const auto without = CountStoreCalls(std::nullopt);
    const auto with = CountStoreCalls(kLimit);
    CPPUNIT_ASSERT(without > 0);
    // One call may fall on either side of the end.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(with) + " calls instead of " +
                             std::to_string(without),
                           with <= without + 6);
  }

  void WatchersKilledTheOthersKeepTheirAuthority()
  {
    Start(40);
    for (const auto* it : { "d1", "d2" }) {
      mFleet->Kill(FirstWatcher(it).mInfo.mName);
    }
    RunKeepingAuthority(10s);
  }

  /// The change has answered the watches of all watchers at the same time.
  void WatcherFrozenAfterAChangeTheOthersKeepTheirAuthority()
  {
    for (const auto phase : { 5500ms, 6500ms, 7500ms, 7900ms }) {
      Start(40);
      mFleet->At(0).mDirectStore->Set("x", "1");
      mFleet->Run(phase);
      mFleet->Freeze(FirstWatcher("d1").mInfo.mName, 8s);
      RunKeepingAuthority(5s);
    }
  }

  void WatcherFrozenTheOthersKeepTheirAuthority()
  {
    Start(40);
    mFleet->Freeze(FirstWatcher("d1").mInfo.mName, 8s);
    RunKeepingAuthority(7s);
  }

  /// The change has answered the watches of all watchers at the same time.
  void StoreSlowAfterAChangeNoInstanceLosesItsAuthority()
  {
    Start(40);
    mFleet->At(0).mDirectStore->Set("x", "1");
    ForEach(
      [](SimulatedFleet::Instance& it) { it.mDirectStore->mDelay = 600ms; });
    RunKeepingAuthority(20s);
  }

  void StoreRefusesAThirdOfTheInstancesNoneLosesItsAuthority()
  {
    Start(40);
    for (size_t n = 0; n < mFleet->Size(); n += 3) {
      mFleet->At(n).mDirectStore->mIsRefusing = true;
    }
    RunKeepingAuthority(15s);
  }

  /// All sources of most instances are refused too.
  void StoreServesOneInstanceConfirmationsPassInAChain()
  {
    Start(40);
    auto& served = FirstWatcher("d2");
    ForEach([&](SimulatedFleet::Instance& it) {
      it.mDirectStore->mIsRefusing = &it != &served;
    });
    mFleet->Run(10s);
    RunKeepingAuthority(10s);
  }

  /// The safety of all that passes on confirmations: while instances freeze and
  /// wake, none believes in a confirmation that was sent for after the store
  /// had gone.
  void StoreDownNoInstanceCountsALaterConfirmation()
  {
    Start(40);
    ForEach(
      [](SimulatedFleet::Instance& it) { it.mDirectStore->mIsSilent = true; });
    const auto downSince = Now();
    for (int n = 0; n < 60; ++n) {
      if (n % 7 == 0) {
        mFleet->Freeze(mFleet->At(static_cast<size_t>(n) % 40).mInfo.mName,
                       900ms);
      }
      mFleet->Run(100ms);
      ForEach([&](SimulatedFleet::Instance& it) {
        const auto age = it.mRouter->AuthorityAge();
        CPPUNIT_ASSERT(age && Now() - *age <= downSince);
      });
    }
    ForEach([](SimulatedFleet::Instance& it) {
      CPPUNIT_ASSERT(!it.mRouter->HasAuthority());
    });
    const auto caller = mFleet->Connect(mFleet->At(0), Freshness::Latest, kKey);
    caller->Send("READ 1");
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::AuthorityExpired);
  }

  void StoreBackAuthorityIsBackAtOnce()
  {
    Start(40);
    ForEach([](SimulatedFleet::Instance& it) {
      it.mDirectStore->mIsRefusing = true;
    });
    mFleet->Run(10s);
    ForEach([](SimulatedFleet::Instance& it) {
      CPPUNIT_ASSERT(!it.mRouter->HasAuthority());
      it.mDirectStore->mIsRefusing = false;
    });
    // The longest delay of a retry.
    mFleet->Run(700ms);
    RunKeepingAuthority(5s);
  }

  void InstancePartitionedFromAllRefusesAtOnce()
  {
    Start(40);
    auto& cut = mFleet->NonHome();
    cut.mIsPartitioned = true;
    cut.mDirectStore->mIsSilent = true;
    mFleet->Run(kLimit);
    CPPUNIT_ASSERT(!cut.mRouter->HasAuthority());
    const auto caller = mFleet->Connect(cut, Freshness::Latest, kKey);
    caller->Send("READ 1");
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::AuthorityExpired);
  }

  /// The home itself keeps a newer confirmation, but does not know the key.
  void StatementForwardedExpiresWhileItWaitsAtTheHome()
  {
    Start(40);
    auto& entry = mFleet->NonHome();
    const auto caller = mFleet->Connect(entry, Freshness::Latest, kKey);
    caller->Send("WRITE 1 x");
    mFleet->Run(200ms);
    CPPUNIT_ASSERT(caller->IsAnswered() && !caller->LastError());
    AgeConfirmation(entry, kLimit - 150ms);
    for (const auto* it : { "a", "b", "c" }) {
      mFleet->Databases().At(it).mRefusal = ErrorKind::QueueFull;
      mFleet->Databases().At(it).mRefusals = 1000;
    }
    caller->Send("WRITE 2 y");
    mFleet->Run(100ms);
    CPPUNIT_ASSERT(!caller->IsAnswered());
    mFleet->Run(60ms);
    for (const auto* it : { "a", "b", "c" }) {
      mFleet->Databases().At(it).mRefusals = 0;
    }
    mFleet->Run(300ms);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::AuthorityExpired);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mFleet->CountRuns("WRITE 2 y"));
  }

  /// The homes are frozen for less than the time after which they count as
  /// failed.
  void HomeFrozenStatementOnTheWayDoesNotRun()
  {
    Start(40);
    auto& entry = mFleet->NonHome();
    const auto caller = mFleet->Connect(entry, Freshness::Latest, kKey);
    caller->Send("WRITE 1 x");
    mFleet->Run(200ms);
    CPPUNIT_ASSERT(caller->IsAnswered() && !caller->LastError());
    AgeConfirmation(entry, kLimit - 300ms);
    for (size_t n = 0; n < mFleet->Plan().mHomes; ++n) {
      mFleet->Freeze(mFleet->Plan().mRanked[n].mName, 500ms);
    }
    caller->Send("WRITE 2 y");
    mFleet->Run(800ms);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::AuthorityExpired);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mFleet->CountRuns("WRITE 2 y"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAuthorityAge);
