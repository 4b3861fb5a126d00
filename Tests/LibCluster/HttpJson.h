#pragma once

#include <QJsonObject>
#include <QString>

namespace papayaline {

/// The answer of a blocking HTTP call of a test; status 0 means no answer.
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
