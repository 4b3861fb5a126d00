#pragma once

#include "CallerSession.h"

#include <QTcpServer>

namespace papayaline {

/// Accepts connections of callers and distributes them over the workers.
/// Thread safety: the control thread.
class CallerListener : public QTcpServer
{
public:
  explicit CallerListener(CallerContext& aContext);

  /// Errors: Unreachable when the address can't be bound.
  Result<Done> Listen(const Address& aAddress);

protected:
  void incomingConnection(qintptr aDescriptor) override;

private:
  CallerContext& mContext;
};

/// Loads the TLS certificate and key of the caller port. Returns nothing when
/// the settings name no certificate. Errors: BadInput.
Result<std::optional<QSslConfiguration>>
LoadTlsConfiguration(const Settings& aSettings);

}
