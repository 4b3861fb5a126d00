#include "Request.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace papayaline {

namespace {

constexpr qsizetype kMaxReplyBytes = 64 * 1024;

QJsonObject
ColumnToJson(const Column& aColumn)
{
  return { { "name", QString::fromUtf8(aColumn.mName) },
           { "type", static_cast<qint64>(aColumn.mTypeOid) },
           { "length", aColumn.mTypeLength },
           { "modifier", aColumn.mTypeModifier },
           { "format", aColumn.mFormat } };
}

Column
ColumnFromJson(const QJsonObject& aJson)
{
  return { aJson["name"].toString().toUtf8(),
           static_cast<quint32>(aJson["type"].toInteger()),
           static_cast<qint16>(aJson["length"].toInt()),
           static_cast<qint32>(aJson["modifier"].toInt()),
           static_cast<qint16>(aJson["format"].toInt()) };
}

}

Response
MakeErrorResponse(const Error& aError)
{
  const auto& entry = AnswerFor(aError.mKind);
  auto message = std::string(entry.mName) + ": " + aError.mMessage;
  if (entry.mOutcome == Outcome::NotRun) {
    message += " (the request was not run)";
  }
  Response response;
  response.mError =
    ResponseError{ QByteArray(entry.mSqlState.data(),
                              static_cast<qsizetype>(entry.mSqlState.size())),
                   QByteArray::fromStdString(message) };
  return response;
}

Response
MakeResponse(const StatementResult& aResult)
{
  Response response;
  if (aResult.IsError()) {
    response.mError = ResponseError{ aResult.mSqlState, aResult.mMessage };
    return response;
  }
  response.mColumns = aResult.mColumns;
  response.mEncodedRows = aResult.mEncodedRows;
  response.mTag = aResult.mTag;
  return response;
}

QByteArray
EncodeReply(const StatementResult& aResult)
{
  if (aResult.mColumns.empty() ||
      aResult.mEncodedRows.size() > kMaxReplyBytes) {
    return {};
  }
  QJsonArray columns;
  for (const auto& it : aResult.mColumns) {
    columns.append(ColumnToJson(it));
  }
  const QJsonObject reply{
    { "columns", columns },
    { "rows", QString::fromLatin1(aResult.mEncodedRows.toBase64()) }
  };
  return QJsonDocument(reply).toJson(QJsonDocument::Compact);
}

Response
DecodeReply(const QByteArray& aTag, const QByteArray& aReply)
{
  const auto json = QJsonDocument::fromJson(aReply).object();
  Response response;
  response.mTag = aTag;
  for (const auto& it : json["columns"].toArray()) {
    response.mColumns.push_back(ColumnFromJson(it.toObject()));
  }
  response.mEncodedRows =
    QByteArray::fromBase64(json["rows"].toString().toLatin1());
  return response;
}

}
