#include "LibConfiguration/RelayConfiguration.h"
#include "Measures.h"

#include <chrono>
#include <cstdio>

namespace papayaline {

namespace {

constexpr size_t kLookups = 1'000'000;
constexpr size_t kKeysPerAccount = 3;

std::string
KeyOf(size_t aAccount, size_t aKey)
{
  return "key-" + std::to_string(aAccount * 7919) + "-" + std::to_string(aKey);
}

RelayConfiguration
MakeConfiguration(size_t aAccounts, size_t aRoutes)
{
  RelayConfiguration configuration;
  std::vector<ClientAccount> accounts(aAccounts);
  for (size_t n = 0; n < aAccounts; ++n) {
    accounts[n].mName = "account-" + std::to_string(n);
    for (size_t key = 0; key < kKeysPerAccount; ++key) {
      accounts[n].mKeys.push_back(KeyOf(n, key));
    }
  }
  configuration.mAccounts =
    std::make_shared<const ClientAccounts>(std::move(accounts));
  configuration.mRoutes.resize(aRoutes);
  for (size_t n = 0; n < aRoutes; ++n) {
    configuration.mRoutes[n].mDatabase = "database-" + std::to_string(n);
  }
  return configuration;
}

/// Returns the nanoseconds that one call of aLookup takes, which gets a
/// different number each time.
template<typename Lookup>
double
Measure(Lookup aLookup)
{
  size_t found = 0;
  const auto start = std::chrono::steady_clock::now();
  for (size_t n = 0; n < kLookups; ++n) {
    found += aLookup(n) ? 1 : 0;
  }
  const std::chrono::duration<double, std::nano> time =
    std::chrono::steady_clock::now() - start;
  // Uses the result, so that the calls are not optimized away.
  return time.count() / kLookups + (found > kLookups ? 1 : 0);
}

}

int
MeasureKeys(const LoadOptions& aOptions)
{
  std::printf("%9s %7s %10s %10s %10s %10s\n",
              "accounts",
              "routes",
              "key ns",
              "unknown ns",
              "name ns",
              "route ns");
  QJsonObject report;
  for (const auto& [accountCount, routeCount] :
       { std::pair<size_t, size_t>(83, 24), { 83, 1700 }, { 10'000, 1700 } }) {
    const auto configuration = MakeConfiguration(accountCount, routeCount);
    const auto& accounts = *configuration.mAccounts;
    const auto& all = accounts.All();
    const auto known = Measure([&](size_t n) {
      const auto& keys = all[n % all.size()].mKeys;
      return accounts.FindByKey(keys[n % keys.size()]) != nullptr;
    });
    const auto unknown = Measure([&](size_t n) {
      return accounts.FindByKey(all[n % all.size()].mName) != nullptr;
    });
    const auto name = Measure([&](size_t n) {
      return accounts.FindByName(all[n % all.size()].mName) != nullptr;
    });
    const auto route = Measure([&](size_t n) {
      const auto& routes = configuration.mRoutes;
      return configuration.FindRoute(routes[n % routes.size()].mDatabase) !=
             nullptr;
    });
    std::printf("%9zu %7zu %10.1f %10.1f %10.1f %10.1f\n",
                accountCount,
                routeCount,
                known,
                unknown,
                name,
                route);
    report[QString("%1-%2").arg(accountCount).arg(routeCount)] =
      QJsonObject{ { "key_ns", known },
                   { "unknown_key_ns", unknown },
                   { "name_ns", name },
                   { "route_ns", route } };
  }
  (*aOptions.mReport)["keys"] = report;
  return 0;
}

}
