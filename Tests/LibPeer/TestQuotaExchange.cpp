#include "QuotaWorld.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>

using namespace papayaline;
using namespace std::chrono_literals;

class TestQuotaExchange : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestQuotaExchange);
  CPPUNIT_TEST(UsualLoadIsAdmittedWithFewMessages);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t kInstances = 81;
  static constexpr size_t kHomes = 24;
  /// The quota of an account, as a multiple of its usual load.
  static constexpr double kHeadroom = 1.6;
  static constexpr double kTotalLoad = 1076;

  static ClientAccount Account(const std::string& aName, double aRate)
  {
    ClientAccount account;
    account.mName = aName;
    account.mQuota = { aRate, aRate };
    account.mKeys = { "key " + aName };
    return account;
  }

  /// 83 accounts whose loads fall with their rank to the power of 1.2.
  static void AddUsualLoad(QuotaWorld& aWorld,
                           std::optional<size_t> aWithout = {})
  {
    constexpr int kAccounts = 83;
    std::vector<ClientAccount> accounts;
    double sum = 0;
    for (int n = 1; n <= kAccounts; ++n) {
      sum += std::pow(n, -1.2);
    }
    const auto homes = aWorld.Homes(kHomes, aWithout);
    for (int n = 1; n <= kAccounts; ++n) {
      const auto load = kTotalLoad * std::pow(n, -1.2) / sum;
      const auto name = "account" + std::to_string(n);
      accounts.push_back(Account(name, load * kHeadroom));
      aWorld.mLoads.push_back({ name, load, homes });
    }
    aWorld.SetAccounts(accounts);
  }

public:
  void UsualLoadIsAdmittedWithFewMessages()
  {
    QuotaWorld world(kInstances, 1);
    world.StartAll();
    AddUsualLoad(world);
    const auto loads = std::exchange(world.mLoads, {});
    world.Run(3s);
    world.mLoads = loads;
    world.Run(10s);
    const auto m = world.Messages();
    world.Run(10s);
    for (const auto& it : world.mLoads) {
      printf("%s %.1f adm %zu ref %zu\n",
             it.mAccount.c_str(),
             it.mPerSecond,
             world.Admitted(it.mAccount),
             world.Refused(it.mAccount));
    }
    printf("messages/s %f\n", double(world.Messages() - m) / 10);
    uint64_t w = 0, c = 0;
    for (size_t n = 0; n < kInstances; ++n) {
      w += world.At(n).mQuota->Counts().mWithdrawals;
      c += world.At(n).mQuota->Counts().mCollections;
    }
    printf("withdrawals %f collections %f\n", w / 20., c / 20.);
    world.CheckBounds();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestQuotaExchange);
