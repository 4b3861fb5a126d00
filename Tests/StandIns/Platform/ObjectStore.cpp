#include "ObjectStore.h"

namespace papayaline {

std::optional<QJsonObject>
ObjectStore::Get(const QString& aKind, const QString& aName) const
{
  const auto it = mObjects.find({ aKind, aName });
  return it != mObjects.end() ? std::optional(*it) : std::nullopt;
}

QJsonArray
ObjectStore::List(const QString& aKind) const
{
  QJsonArray items;
  for (auto it = mObjects.begin(); it != mObjects.end(); ++it) {
    if (it.key().first == aKind) {
      items.append(it.value());
    }
  }
  return items;
}

std::optional<QJsonObject>
ObjectStore::Put(const QString& aKind,
                 const QString& aName,
                 qint64 aVersion,
                 const QJsonObject& aSpec)
{
  const auto current = Get(aKind, aName);
  const qint64 version = current ? (*current)["version"].toInteger() : 0;
  if (version != aVersion) {
    return std::nullopt;
  }
  const QJsonObject object{ { "kind", aKind },
                            { "name", aName },
                            { "version", ++mVersion },
                            { "spec", aSpec } };
  mObjects[{ aKind, aName }] = object;
  mHistory.push_back({ mVersion, aKind, object });
  if (mHistory.size() > kMaxHistoryChanges) {
    mHistory.pop_front();
  }
  return object;
}

std::optional<QJsonArray>
ObjectStore::ChangesAfter(const QString& aKind, qint64 aVersion) const
{
  const qint64 oldest =
    mHistory.empty() ? mVersion : mHistory.front().mVersion - 1;
  if (aVersion < oldest) {
    return std::nullopt;
  }
  QJsonArray changes;
  for (const auto& it : mHistory) {
    if (it.mVersion > aVersion && it.mKind == aKind) {
      changes.append(it.mObject);
    }
  }
  return changes;
}

}
