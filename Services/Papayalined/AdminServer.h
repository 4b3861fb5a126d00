#pragma once

#include "FailoverController.h"
#include "SpreadController.h"

#include <QHttpServer>
#include <functional>

namespace papayaline {

/// The HTTP server with the health checks, the metrics, the operators' API
/// (status, events, drain, switchover) and the peer API for other instances.
/// Thread safety: control thread.
class AdminServer : public QObject
{
public:
  AdminServer(Blackboard& aBlackboard,
              SpreadController& aSpread,
              FailoverController& aFailover,
              PlatformClient& aPlatform,
              std::function<void()> aOnDrain);

  /// Errors: Unreachable if the server can't listen on the address.
  Result<Done> Listen(const Address& aAddress);

private:
  void AddOperatorRoutes();
  void AddPeerRoutes();
  QJsonObject Status() const;
  QJsonObject GroupStatus(const GroupConfiguration& aGroup) const;

  Blackboard& mBlackboard;
  SpreadController& mSpread;
  FailoverController& mFailover;
  PlatformClient& mPlatform;
  std::function<void()> mOnDrain;
  QHttpServer mServer;
};

}
