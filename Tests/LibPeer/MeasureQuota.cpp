/// Measures the processor time of an admission that finds a token, and of one
/// that withdraws at a bank, with 83 accounts and 81 instances.

#include "QuotaWorld.h"

#include <cstdio>
#include <ctime>

using namespace papayaline;
using namespace std::chrono_literals;

namespace {

double
ProcessorSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

}

int
main()
{
  constexpr size_t kInstances = 81;
  constexpr int kAdmissions = 1'000'000;
  constexpr double kPerSecond = 500;
  std::vector<ClientAccount> accounts;
  for (int n = 0; n < 83; ++n) {
    ClientAccount account;
    account.mName = "account" + std::to_string(n);
    account.mKeys = { account.mName };
    account.mQuota = { 1e9, 1e9 };
    accounts.push_back(account);
  }
  QuotaWorld world(kInstances, 1);
  world.SetAccounts(accounts);
  world.StartAll();
  world.Run(1s);
  size_t admitted = 0;
  const auto before = ProcessorSeconds();
  for (int n = 0; n < kAdmissions; ++n) {
    world.At(0).mQuota->Admit("account7", [&](QuotaVerdict aVerdict) {
      admitted += aVerdict == QuotaVerdict::Admitted ? 1 : 0;
    });
  }
  std::printf("admission from the stock: %.0f ns (%zu admitted)\n",
              (ProcessorSeconds() - before) * 1e9 / kAdmissions,
              admitted);

  for (auto& it : accounts) {
    it.mQuota = { kPerSecond / 20, kPerSecond / 20 };
  }
  world.SetAccounts(accounts);
  for (int n = 0; n < 30; ++n) {
    world.mLoads.push_back({ accounts[static_cast<size_t>(n)].mName,
                             kPerSecond / 30,
                             world.Homes(24) });
  }
  world.Run(3s);
  const auto messages = world.Messages();
  const auto start = ProcessorSeconds();
  world.Run(10s);
  const auto n = world.Messages() - messages;
  std::printf("with withdrawals: %.0f us an operation of all instances, ticks "
              "included; %.1f messages an operation\n",
              (ProcessorSeconds() - start) * 1e6 / (10 * kPerSecond),
              static_cast<double>(n) / (10 * kPerSecond));
  return 0;
}
