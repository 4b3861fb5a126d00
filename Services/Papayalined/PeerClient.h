#pragma once

#include "LibCore/Result.h"

#include <QJsonObject>
#include <QNetworkAccessManager>
#include <functional>

namespace papayaline {

/// HTTP+JSON calls to other instances. Every message carries the hybrid time.
/// Thread safety: one thread.
class PeerClient : public QObject
{
public:
  using Handler = std::function<void(const Result<QJsonObject>&)>;

  /// aAddress is "host:port". Errors: Unreachable.
  void Get(const std::string& aAddress, const QString& aPath, Handler aHandler);
  void Post(const std::string& aAddress,
            const QString& aPath,
            const QJsonObject& aBody,
            Handler aHandler);

private:
  QNetworkRequest Request(const std::string& aAddress,
                          const QString& aPath) const;
  void Finish(QNetworkReply* aReply, const Handler& aHandler);

  QNetworkAccessManager mNetwork;
};

/// Adds the hybrid time of this process to a message.
QJsonObject
Stamped(QJsonObject aMessage);
/// Advances the clock past the time that a message carries.
void
ObserveStamp(const QJsonObject& aMessage);

}
