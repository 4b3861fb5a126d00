#include "QuotaWorld.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <numeric>

using namespace papayaline;
using namespace std::chrono_literals;

/// A fleet of 81 instances of which 24 are homes, as one failure at a time is
/// brought about.
class TestQuotaExchange : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestQuotaExchange);
  CPPUNIT_TEST(UsualLoadOfManyAccountsIsAdmittedWithFewMessages);
  CPPUNIT_TEST(BankKilledUnderLoadNothingIsRefused);
  CPPUNIT_TEST(BankFallsSilentUnderLoadNothingIsRefused);
  CPPUNIT_TEST(HotAccountIsCutToItsLimitAndOthersAreNotTouched);
  CPPUNIT_TEST(HotAccountWithFaultsOfTheNetworkStaysWithinTheBound);
  CPPUNIT_TEST(DifferingViewsOfTheBankStayWithinTheBound);
  CPPUNIT_TEST(FrozenBankThatWakesStaysWithinTheBound);
  CPPUNIT_TEST(LateAnswersStayWithinTheBound);
  CPPUNIT_TEST(InstancesCutOffFromPeersStayWithinTheBound);
  CPPUNIT_TEST(AllRestartedStaysWithinTheBound);
  CPPUNIT_TEST(FleetThatStartsForTheFirstTimeStaysWithinTheBound);
  CPPUNIT_TEST(FleetThatStartsMintsBeforeItsCallersCome);
  CPPUNIT_TEST(InstancesAddedStayWithinTheBound);
  CPPUNIT_TEST(RestoredStoreListsFewInstancesStaysWithinTheBound);
  CPPUNIT_TEST(LoweredLimitHoldsAfterOneWindow);
  CPPUNIT_TEST(AccountThatIsRemovedOrNewIsHandled);
  CPPUNIT_TEST(InstanceOfAnOlderVersionReceivesNoRequest);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t kInstances = 81;
  static constexpr size_t kHomes = 24;
  /// The quota of an account, as a multiple of its usual load.
  static constexpr double kHeadroom = 1.6;
  static constexpr double kHot = 7.5;
  static constexpr double kTotalLoad = 1076;

  static ClientAccount Account(const std::string& aName,
                               double aRate,
                               double aBurst)
  {
    ClientAccount account;
    account.mName = aName;
    account.mQuota = { aRate, aBurst };
    account.mKeys = { "key " + aName };
    return account;
  }

  /// 83 accounts whose loads fall with their rank to the power of 1.2. The
  /// smallest sends 1.5 operations per second, which arrive at 24 homes.
  static void AddUsualLoad(QuotaWorld& aWorld)
  {
    constexpr int kAccounts = 83;
    std::vector<ClientAccount> accounts;
    double sum = 0;
    for (int n = 1; n <= kAccounts; ++n) {
      sum += std::pow(n, -1.2);
    }
    const auto homes = aWorld.Homes(kHomes, aWorld.FirstBank());
    for (int n = 1; n <= kAccounts; ++n) {
      const auto load = kTotalLoad * std::pow(n, -1.2) / sum;
      const auto name = "account" + std::to_string(n);
      accounts.push_back(Account(name, load * kHeadroom, 2 * load * kHeadroom));
      aWorld.mLoads.push_back({ name, load, homes });
    }
    aWorld.SetAccounts(accounts);
  }

  /// Accounts of three sizes, each at kHot times its usual load.
  static void AddHotLoad(QuotaWorld& aWorld)
  {
    const auto homes = aWorld.Homes(kHomes);
    std::vector<ClientAccount> accounts;
    for (const auto& [name, load] :
         { std::pair("large", 100.0), std::pair("middle", 10.0) }) {
      accounts.push_back(Account(name, load * kHeadroom, load));
      aWorld.mLoads.push_back({ name, load * kHot, homes });
    }
    accounts.push_back(Account("small", 1, 1));
    aWorld.mLoads.push_back({ "small", kHot, homes });
    aWorld.SetAccounts(accounts);
  }

  static size_t RefusedOfAll(QuotaWorld& aWorld)
  {
    size_t n = 0;
    for (const auto& it : aWorld.mLoads) {
      n += aWorld.Refused(it.mAccount);
    }
    return n;
  }

  static void RunBankFailure(QuotaWorld::Death aDeath)
  {
    QuotaWorld world(kInstances, 3);
    AddUsualLoad(world);
    world.StartAll();
    const auto loads = std::exchange(world.mLoads, {});
    world.Run(3s);
    world.mLoads = loads;
    world.Run(5s);
    const auto before = RefusedOfAll(world);
    world.Kill(world.FirstBank(), aDeath);
    world.Run(5s);
    CPPUNIT_ASSERT_EQUAL(before, RefusedOfAll(world));
    world.CheckBounds();
  }

public:
  void UsualLoadOfManyAccountsIsAdmittedWithFewMessages()
  {
    QuotaWorld world(kInstances, 1);
    AddUsualLoad(world);
    world.StartAll();
    const auto loads = std::exchange(world.mLoads, {});
    world.Run(3s);
    world.mLoads = loads;
    world.Run(10s);
    CPPUNIT_ASSERT_EQUAL(size_t(0), RefusedOfAll(world));
    const auto before = world.Messages();
    world.Run(10s);
    // Fewer than those that forward the statements.
    const auto perSecond = (world.Messages() - before) / 10;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(perSecond) + " messages a second",
                           perSecond < 2 * kTotalLoad);
    CPPUNIT_ASSERT_EQUAL(size_t(0), RefusedOfAll(world));
    world.CheckBounds();
  }

  void BankKilledUnderLoadNothingIsRefused()
  {
    RunBankFailure(QuotaWorld::Death::ConnectionsClosed);
  }

  void BankFallsSilentUnderLoadNothingIsRefused()
  {
    RunBankFailure(QuotaWorld::Death::Silent);
  }

  void HotAccountIsCutToItsLimitAndOthersAreNotTouched()
  {
    QuotaWorld world(kInstances, 4);
    AddUsualLoad(world);
    world.StartAll();
    const auto loads = std::exchange(world.mLoads, {});
    world.Run(3s);
    world.mLoads = loads;
    world.Run(5s);
    auto& hot = world.mLoads[2];
    const auto admitted = world.Admitted(hot.mAccount);
    const auto usual = hot.mPerSecond;
    const auto messages = world.Messages();
    hot.mPerSecond *= kHot;
    world.Run(6500ms);
    // At least nine tenths of the limit are used.
    const auto used =
      static_cast<double>(world.Admitted(hot.mAccount) - admitted) / 6.5;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(used / usual),
                           used >= 0.9 * usual * kHeadroom);
    CPPUNIT_ASSERT(world.Refused(hot.mAccount) > 1000);
    CPPUNIT_ASSERT_EQUAL(world.Refused(hot.mAccount), RefusedOfAll(world));
    CPPUNIT_ASSERT(static_cast<double>(world.Messages() - messages) / 6.5 <
                   2 * kTotalLoad);
    world.CheckBounds();
  }

  void HotAccountWithFaultsOfTheNetworkStaysWithinTheBound()
  {
    for (unsigned seed = 1; seed <= 6; ++seed) {
      QuotaWorld world(kInstances, seed);
      world.mLossRate = 0.05;
      world.mRepeatRate = 0.1;
      world.mDelayRate = 0.1;
      world.StartAll();
      AddHotLoad(world);
      const auto loads = world.mLoads;
      for (int n = 0; n < 6; ++n) {
        // Stocks fill up between the phases.
        world.mLoads = n % 2 == 0 ? std::vector<QuotaWorld::Load>() : loads;
        world.Freeze((seed * 31 + n) % kInstances, 1500ms);
        world.Kill((seed * 17 + n) % kInstances, QuotaWorld::Death::Silent);
        world.Run(3s);
      }
      world.CheckBounds();
    }
  }

  /// Half of the instances have lists without the bank of the others.
  void DifferingViewsOfTheBankStayWithinTheBound()
  {
    QuotaWorld world(kInstances, 7);
    world.StartAll();
    AddHotLoad(world);
    const auto loads = std::exchange(world.mLoads, {});
    auto list = world.ListOf(kInstances);
    std::erase(list, world.At(world.FirstBank()).mInfo);
    for (int n = 0; n < 6; ++n) {
      for (size_t at = 0; at < kInstances; ++at) {
        world.SetList(at, (at + n) % 2 == 0 ? list : world.ListOf(kInstances));
      }
      world.mLoads = n % 3 == 0 ? std::vector<QuotaWorld::Load>() : loads;
      world.Run(2s);
    }
    world.CheckBounds();
  }

  void FrozenBankThatWakesStaysWithinTheBound()
  {
    QuotaWorld world(kInstances, 8);
    world.StartAll();
    AddHotLoad(world);
    world.Run(4s);
    const auto loads = world.mLoads;
    for (int n = 0; n < 3; ++n) {
      world.Freeze(world.FirstBank(), 4s);
      world.mLoads.clear();
      world.Run(3500ms);
      world.mLoads = loads;
      world.Run(3s);
    }
    world.CheckBounds();
  }

  /// Links hold back messages for seconds and deliver them at once, while the
  /// stocks that they were taken from fill up again.
  void LateAnswersStayWithinTheBound()
  {
    QuotaWorld world(kInstances, 9);
    world.StartAll();
    AddHotLoad(world);
    const auto loads = std::exchange(world.mLoads, {});
    world.Run(5s);
    for (int n = 0; n < 3; ++n) {
      world.mLoads = loads;
      world.mDelayRate = 1;
      world.mMaxDelay = 4s;
      world.Run(4s);
      world.mDelayRate = 0;
      world.Run(4s);
    }
    world.CheckBounds();
  }

  void InstancesCutOffFromPeersStayWithinTheBound()
  {
    QuotaWorld world(kInstances, 10);
    world.StartAll();
    AddHotLoad(world);
    world.Run(4s);
    for (size_t n = 0; n < kInstances; n += 3) {
      world.At(n).mIsCut = true;
    }
    world.Run(5s);
    for (size_t n = 0; n < kInstances; n += 3) {
      world.At(n).mIsCut = false;
    }
    world.Run(5s);
    world.CheckBounds();
  }

  void AllRestartedStaysWithinTheBound()
  {
    QuotaWorld world(kInstances, 11);
    world.StartAll();
    AddHotLoad(world);
    for (int n = 0; n < 4; ++n) {
      world.Run(2s);
      world.StartAll();
    }
    world.Run(2s);
    world.CheckBounds();
    // Each instance starts with an empty bucket and mints at once.
    CPPUNIT_ASSERT(world.Admitted("large") > 160 * 10 / 4);
  }

  /// The first lists of instances that start together are incomplete.
  void FleetThatStartsForTheFirstTimeStaysWithinTheBound()
  {
    QuotaWorld world(kInstances, 12);
    AddHotLoad(world);
    const auto loads = std::exchange(world.mLoads, {});
    for (size_t n = 0; n < kInstances; ++n) {
      world.Start(n, StartListing::NotListed);
      world.SetList(n, world.ListOf(n + 1));
    }
    world.mLoads = loads;
    world.Run(3s);
    CPPUNIT_ASSERT_EQUAL(size_t(0), world.Admitted("large"));
    for (size_t n = 0; n < kInstances; ++n) {
      world.SetList(n, world.ListOf(kInstances));
    }
    // It mints before the callers come, 14 s after the start.
    world.mLoads.clear();
    world.Run(11s);
    const auto before = world.Admitted("large");
    world.mLoads = loads;
    world.Run(1s);
    CPPUNIT_ASSERT(world.Admitted("large") - before > 100);
    world.Run(9s);
    world.CheckBounds();
  }

  void FleetThatStartsMintsBeforeItsCallersCome()
  {
    QuotaWorld world(kInstances, 18);
    AddHotLoad(world);
    const auto loads = std::exchange(world.mLoads, {});
    for (size_t n = 0; n < kInstances; ++n) {
      world.Start(n, StartListing::NotListed);
      world.SetList(n, world.ListOf(kInstances));
    }
    world.Run(11s);
    world.mLoads = loads;
    world.Run(1s);
    CPPUNIT_ASSERT(world.Admitted("large") > 100);
  }

  /// Twenty instances join a fleet whose members don't list them for a while.
  void InstancesAddedStayWithinTheBound()
  {
    QuotaWorld world(kInstances, 13);
    AddHotLoad(world);
    constexpr size_t kOld = kInstances - 20;
    for (size_t n = 0; n < kOld; ++n) {
      world.Start(n);
      world.SetList(n, world.ListOf(kOld));
    }
    world.Run(5s);
    for (size_t n = kOld; n < kInstances; ++n) {
      world.Start(n, StartListing::NotListed);
      world.SetList(n, world.ListOf(kInstances));
    }
    world.Run(15s);
    world.CheckBounds();
  }

  void RestoredStoreListsFewInstancesStaysWithinTheBound()
  {
    QuotaWorld world(kInstances, 14);
    world.StartAll();
    AddHotLoad(world);
    world.Run(3s);
    for (size_t n = 0; n < kInstances; ++n) {
      auto list = world.ListOf(30);
      if (n >= 30) {
        list.push_back(world.At(n).mInfo);
      }
      world.SetList(n, list);
    }
    world.Run(15s);
    world.CheckBounds();
  }

  void LoweredLimitHoldsAfterOneWindow()
  {
    QuotaWorld world(kInstances, 15);
    world.StartAll();
    AddHotLoad(world);
    const auto loads = std::exchange(world.mLoads, {});
    world.Run(5s);
    world.mLoads = loads;
    world.Run(1s);
    world.SetAccounts({ Account("large", 16, 10) });
    const auto before = world.Admitted("large");
    world.Run(5s);
    const auto admitted = world.Admitted("large") - before;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted),
                           admitted <= (16 * 5 + 10) * 1.1 + 20);
  }

  void AccountThatIsRemovedOrNewIsHandled()
  {
    QuotaWorld world(kInstances, 16);
    world.StartAll();
    AddHotLoad(world);
    world.Run(2s);
    world.SetAccounts({ Account("new", 50, 50) });
    world.mLoads = { { "new", 30, world.Homes(kHomes) },
                     { "small", 10, world.Homes(kHomes) } };
    const auto refused = world.Refused("small");
    world.Run(2s);
    // Without a quota nothing is limited.
    CPPUNIT_ASSERT_EQUAL(refused, world.Refused("small"));
    const auto refusedNew = world.Refused("new");
    world.Run(5s);
    CPPUNIT_ASSERT_EQUAL(refusedNew, world.Refused("new"));
    CPPUNIT_ASSERT(world.Admitted("new") > 100);
  }

  void InstanceOfAnOlderVersionReceivesNoRequest()
  {
    QuotaWorld world(3, 17);
    world.mFeatureLevel = 0;
    world.StartAll();
    AddHotLoadAt(world, { 0, 1, 2 });
    world.Run(3s);
    CPPUNIT_ASSERT_EQUAL(size_t(0), world.Messages());
  }

private:
  static void AddHotLoadAt(QuotaWorld& aWorld, std::vector<size_t> aHomes)
  {
    aWorld.SetAccounts({ Account("large", 10, 10) });
    aWorld.mLoads = { { "large", 100, std::move(aHomes) } };
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestQuotaExchange);
