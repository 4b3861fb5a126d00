#pragma once

#include <QJsonObject>
#include <QString>

namespace papayaline {

/// The response to a blocking HTTP request; status 0 means that none arrived.
struct HttpAnswer
{
  int mStatus = 0;
  QJsonObject mJson;
  QByteArray mBody;
};

HttpAnswer
HttpGet(const QString& aUrl);
HttpAnswer
HttpPut(const QString& aUrl, const QJsonObject& aBody);
HttpAnswer
HttpPost(const QString& aUrl, const QJsonObject& aBody = {});

}
