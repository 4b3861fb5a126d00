#pragma once

#include "ConfigurationDistributor.h"
#include "FailoverController.h"

#include <QHttpServer>
#include <functional>

namespace papayaline {

/// The HTTP port: health, metrics, status and events for operators, and the
/// messages between instances. Thread safety: control thread.
class AdminServer : public QObject
{
public:
  AdminServer(ControlState& aControlState,
              ConfigurationDistributor& aDistributor,
              FailoverController& aFailover,
              PlatformClient& aPlatform,
              std::function<void()> aOnDrain);

  /// Errors: Unreachable when the address can't be listened on.
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
