#pragma once

#include "LibCore/Result.h"

#include <QJsonObject>
#include <QNetworkAccessManager>
#include <functional>

namespace papayaline {

/// Calls other instances over HTTP with JSON bodies. Every body carries the
/// hybrid time of its sender. Thread safety: one thread.
class PeerClient : public QObject
{
public:
  using Handler = std::function<void(const Result<QJsonObject>&)>;

  /// aAddress is "host:port". The handler gets the answer's body. Errors:
  /// Unreachable, also if no answer arrives within the timeout.
  void Get(const std::string& aAddress, const QString& aPath, Handler aHandler);
  void Post(const std::string& aAddress,
            const QString& aPath,
            const QJsonObject& aBody,
            Handler aHandler);

private:
  QNetworkRequest MakeRequest(const std::string& aAddress,
                              const QString& aPath) const;
  void HandleReply(QNetworkReply* aReply, const Handler& aHandler);

  QNetworkAccessManager mNetwork;
};

/// Returns the message with the hybrid time of this process added.
QJsonObject
WithHybridTime(QJsonObject aMessage);
/// Advances the hybrid clock of this process past the time in the message.
void
ObserveHybridTime(const QJsonObject& aMessage);

}
