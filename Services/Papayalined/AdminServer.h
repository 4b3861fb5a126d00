#pragma once

#include "ConfigurationDistributor.h"
#include "FailoverController.h"

#include <QHttpServer>
#include <functional>

namespace papayaline {

/// The HTTP server with the health checks, the metrics, the operators' API
/// (status, events, drain, switchover) and the peer API for other instances.
/// Thread safety: control thread.
class AdminServer : public QObject
{
public:
  AdminServer(ControlState& aControlState,
              ConfigurationDistributor& aDistributor,
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

  ControlState& mControlState;
  ConfigurationDistributor& mDistributor;
  FailoverController& mFailover;
  PlatformClient& mPlatform;
  std::function<void()> mOnDrain;
  QHttpServer mServer;
};

}
