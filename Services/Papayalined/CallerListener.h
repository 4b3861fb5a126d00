#pragma once

#include "CallerSession.h"

#include <QTcpServer>

namespace papayaline {

/// Accepts callers and hands them to the workers.
/// Thread safety: control thread.
class CallerListener : public QTcpServer
{
public:
  explicit CallerListener(CallerContext& aContext);

  /// Errors: Unreachable when the address can't be listened on.
  Result<Done> Listen(const Address& aAddress);

protected:
  void incomingConnection(qintptr aDescriptor) override;

private:
  CallerContext& mContext;
};

/// Reads the certificate and key of the caller port; nothing when the settings
/// name none. Errors: BadInput.
Result<std::optional<QSslConfiguration>>
LoadTls(const Settings& aSettings);

}
