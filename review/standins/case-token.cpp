#include "Deployment.h"
#include "Record.h"

#include <QCoreApplication>

using namespace review;

namespace {

/// The longest time for which a site file cuts a machine off (node_cut).
constexpr int kCutMs = 5'500;
/// From the first order of the holder to the crash of the second primary, and
/// to the cut.
constexpr int kSecondCrashMs = 1'200;
constexpr int kCutAfterMs = 1'500;

/// Counts the orders whose token is lower than one that the platform has seen.
int
CountLowerTokens(const std::vector<PromotionOrder>& aOrders)
{
  const PromotionOrder* highest = nullptr;
  int lower = 0;
  for (const auto& it : aOrders) {
    if (highest && it.mToken < highest->mToken) {
      ++lower;
      Record("LOWER TOKEN: at " + QByteArray::number(it.mAtMs) + " " +
             it.mHolder + " sent " + QByteArray::number(it.mToken) + " for " +
             it.mGroup + " " + it.mDatabase + " after " + highest->mHolder +
             " had sent " + QByteArray::number(highest->mToken) + " at " +
             QByteArray::number(highest->mAtMs));
    } else {
      highest = &it;
    }
  }
  return lower;
}

}

/// The primaries of two services crash one after the other, and the instance
/// that promotes is cut off from the platform in between.
int
main(int aCount, char** aArguments)
{
  QCoreApplication application(aCount, aArguments);
  Deployment deployment;
  auto& orders = deployment.AddGroup("orders", 20, 1'000);
  auto& stock = deployment.AddGroup("stock", 20, 1'000);
  for (auto* it : { &orders, &stock }) {
    it->Add("i-" + it->mName + "-a", "zone-a");
    it->Add("i-" + it->mName + "-b", "zone-b");
    it->Add("i-" + it->mName + "-c", "zone-c");
  }
  deployment.Configure("primary", 1'000);
  for (const char* it : { "a", "b", "c" }) {
    deployment.AddInstance(QByteArray("edge-") + it, QByteArray("zone-") + it);
  }
  if (!deployment.Start()) {
    return 2;
  }
  auto& api = deployment.mPromotion;
  Record("primary of orders crashes");
  orders.Leader()->Crash();
  if (!Await(10'000, [&] { return !api.mOrders.empty(); })) {
    return 2;
  }
  const auto holder = api.mOrders.front().mHolder;
  size_t index = 0;
  while (deployment.mInstances[index]->mSettings.mName != holder) {
    ++index;
  }
  Wait(kSecondCrashMs);
  Record("primary of stock crashes");
  stock.Leader()->Crash();
  Wait(kCutAfterMs - kSecondCrashMs);
  if (!IsCalm()) {
    Record(holder + " is cut off from the platform");
    deployment.mStoreProxies[index]->SetPartitioned(true);
    deployment.mPromotionProxies[index]->SetPartitioned(true);
  }
  Wait(kCutMs);
  if (!IsCalm()) {
    deployment.mStoreProxies[index]->SetPartitioned(false);
    deployment.mPromotionProxies[index]->SetPartitioned(false);
  }
  Wait(10'000);
  const int lower = CountLowerTokens(api.mOrders);
  Record(QByteArray::number(quint64(api.mOrders.size())) + " orders, " +
         QByteArray::number(lower) + " with a lower token than seen before");
  Record(lower > 0 ? "BROKEN: ONE" : "held");
  return lower > 0 ? 1 : 0;
}
