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

/// The file that lets a stand-in database keep its log and term over a restart.
/// Without a file name it keeps nothing.
class Journal
{
public:
  explicit Journal(const QString& aFile);

  void RecordFence(uint64_t aTerm, const std::string& aAttempt);
  void RecordEntry(const LogEntry& aEntry);
  void RecordTruncate(size_t aLength);

  /// Reads the file back into aState.
  void Restore(ReplicaState& aState);

private:
  void Append(const QJsonObject& aLine);

  QFile mFile;
};

}
