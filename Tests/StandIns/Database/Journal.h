#pragma once

#include "LibReplica/ReplicaState.h"

#include <QFile>
#include <QJsonObject>
#include <QString>

namespace papayaline {

QJsonObject
EntryToJson(const LogEntry& aEntry);
LogEntry
EntryFromJson(const QJsonObject& aJson);

/// Persists the log and the fenced term of a stand-in database across restarts,
/// as JSON lines. With an empty file name nothing is persisted.
class Journal
{
public:
  explicit Journal(const QString& aFile);

  void RecordFence(uint64_t aTerm, const std::string& aAttempt);
  void RecordEntry(const LogEntry& aEntry);
  void RecordTruncate(size_t aLength);

  /// Replays the file into aState.
  void Restore(ReplicaState& aState);

private:
  void Append(const QJsonObject& aLine);

  QFile mFile;
};

}
