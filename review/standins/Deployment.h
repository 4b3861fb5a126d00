#pragma once

#include "Caller.h"
#include "Database.h"
#include "HoldingProxy.h"
#include "Instance.h"
#include "LineStore.h"
#include "PromotionApi.h"

namespace review {

/// The platform's store, the promotion call, groups of databases and the
/// instances of a small deployment.
class Deployment
{
public:
  Deployment();
  ~Deployment();

  DatabaseGroup& AddGroup(const QByteArray& aName, int aLagMs, int aPromoteMs);
  /// Writes the configuration: one route "d-GROUP" of aKind for each group.
  void Configure(const QByteArray& aKind, int aTimeoutMs);
  /// Writes the entry of a database to the store.
  void Register(const Database& aDatabase);
  void Unregister(const Database& aDatabase);
  Instance& AddInstance(const QByteArray& aName, const QByteArray& aZone);
  /// Starts all instances; returns whether they became ready.
  bool Start();

  papayaline::LineStore mStore;
  PromotionApi mPromotion;
  std::vector<std::unique_ptr<DatabaseGroup>> mGroups;
  std::vector<std::unique_ptr<Instance>> mInstances;
  std::vector<std::unique_ptr<HoldingProxy>> mStoreProxies;
  std::vector<std::unique_ptr<HoldingProxy>> mPromotionProxies;
  std::vector<int> mSequences;

private:
  int mVersion = 0;
};

}
