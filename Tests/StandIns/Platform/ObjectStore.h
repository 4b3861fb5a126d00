#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <QMap>
#include <deque>
#include <optional>

namespace papayaline {

/// Versioned objects with conditional update and a bounded history of changes.
class ObjectStore
{
public:
  static constexpr size_t kHistory = 1000;

  struct Change
  {
    qint64 mVersion;
    QString mKind;
    QJsonObject mObject;
  };

  std::optional<QJsonObject> Get(const QString& aKind,
                                 const QString& aName) const;
  QJsonArray List(const QString& aKind) const;

  /// Stores aSpec when the object's present version equals aVersion (0
  /// creates); returns nothing on a conflict.
  std::optional<QJsonObject> Put(const QString& aKind,
                                 const QString& aName,
                                 qint64 aVersion,
                                 const QJsonObject& aSpec);

  qint64 Version() const { return mVersion; }
  /// The changes after aVersion, or nothing when they are no longer kept.
  std::optional<QJsonArray> ChangesAfter(const QString& aKind,
                                         qint64 aVersion) const;

private:
  qint64 mVersion = 0;
  QMap<QPair<QString, QString>, QJsonObject> mObjects;
  std::deque<Change> mHistory;
};

}
