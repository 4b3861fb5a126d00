#include "Deployment.h"

#include "Record.h"

#include <QJsonArray>

namespace review {

Deployment::Deployment()
{
  mPromotion.mOnOrder = [this](const PromotionOrder& aOrder) {
    for (const auto& it : mGroups) {
      if (it->mName == aOrder.mGroup) {
        return it->Promote(aOrder.mDatabase);
      }
    }
    return 409;
  };
}

Deployment::~Deployment()
{
  mInstances.clear();
}

DatabaseGroup&
Deployment::AddGroup(const QByteArray& aName, int aLagMs, int aPromoteMs)
{
  mGroups.push_back(std::make_unique<DatabaseGroup>(aName, aLagMs, aPromoteMs));
  mGroups.back()->mOnRoleChanged = [this](Database& aDatabase) {
    Register(aDatabase);
  };
  return *mGroups.back();
}

void
Deployment::Configure(const QByteArray& aKind, int aTimeoutMs)
{
  QJsonArray routes;
  QJsonArray backends;
  for (const auto& it : mGroups) {
    const QString name = it->mName;
    routes.append(QJsonObject{ { "name", "r-" + name },
                               { "database", "d-" + name },
                               { "pathPrefix", "/" },
                               { "routeKind", QString(aKind) },
                               { "timeoutMs", aTimeoutMs },
                               { "targetLatencyMs", 200 },
                               { "maxStalenessMs", 1500 },
                               { "priority", 1 },
                               { "backend", name } });
    backends.append(QJsonObject{
      { "name", name }, { "maxConns", 22 }, { "syncReplicas", 0 } });
  }
  mStore.Put("config",
             "main",
             { { "configVersion", ++mVersion },
               { "routes", routes },
               { "backends", backends },
               { "limits", QJsonObject{ { "txIdleMs", 3000 } } } });
}

void
Deployment::Register(const Database& aDatabase)
{
  static int sSequence = 0;
  mStore.Put("servers",
             aDatabase.mName,
             { { "backend", QString(aDatabase.mGroup.mName) },
               { "address", "127.0.0.1:" + QString::number(aDatabase.mPort) },
               { "zone", QString(aDatabase.mZone) },
               { "configVersion", "v1" },
               { "slots", 3 },
               { "state", aDatabase.mIsLeaving ? "draining" : "ready" },
               { "coldLeftMs", 0 },
               { "dbRole", aDatabase.mIsPrimary ? "primary" : "replica" },
               { "born", aDatabase.mBorn },
               { "sequence", ++sSequence } });
}

void
Deployment::Unregister(const Database& aDatabase)
{
  mStore.Remove("servers", aDatabase.mName);
}

Instance&
Deployment::AddInstance(const QByteArray& aName, const QByteArray& aZone)
{
  mStoreProxies.push_back(
    std::make_unique<HoldingProxy>(aName + " to store", mStore.Port()));
  mPromotionProxies.push_back(
    std::make_unique<HoldingProxy>(aName + " to platform", mPromotion.Port()));
  mInstances.push_back(std::make_unique<Instance>(
    InstanceSettings{ aName,
                      aZone,
                      mStoreProxies.back()->Port(),
                      mPromotionProxies.back()->Port() }));
  return *mInstances.back();
}

bool
Deployment::Start()
{
  for (const auto& group : mGroups) {
    for (const auto& it : group->mDatabases) {
      Register(*it);
    }
  }
  for (const auto& it : mInstances) {
    it->Start();
  }
  for (const auto& it : mInstances) {
    if (!Await(15'000, [&] { return it->IsReady(); })) {
      Record("not ready: " + it->mSettings.mName);
      return false;
    }
  }
  Wait(2'000);
  return true;
}

}
