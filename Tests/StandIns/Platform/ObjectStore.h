#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <QMap>
#include <deque>
#include <optional>

namespace papayaline {

/// Stores versioned objects, with conditional updates and a bounded history of
/// changes.
class ObjectStore
{
public:
  static constexpr size_t kMaxHistoryChanges = 1000;

  struct Change
  {
    qint64 mVersion;
    QString mKind;
    QJsonObject mObject;
  };

  std::optional<QJsonObject> Get(const QString& aKind,
                                 const QString& aName) const;
  QJsonArray List(const QString& aKind) const;

  /// Stores aSpec if the object's current version equals aVersion, where 0
  /// means that the object doesn't exist. Returns the stored object, or nothing
  /// on a conflict.
  std::optional<QJsonObject> Put(const QString& aKind,
                                 const QString& aName,
                                 qint64 aVersion,
                                 const QJsonObject& aSpec);

  qint64 Version() const { return mVersion; }
  /// Returns the changes after aVersion, or nothing if the history doesn't
  /// reach back to it.
  std::optional<QJsonArray> ChangesAfter(const QString& aKind,
                                         qint64 aVersion) const;

private:
  qint64 mVersion = 0;
  QMap<QPair<QString, QString>, QJsonObject> mObjects;
  std::deque<Change> mHistory;
};

}
