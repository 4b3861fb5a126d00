#include "Journal.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace papayaline {

QJsonObject
EntryToJson(const LogEntry& aEntry)
{
  QJsonArray statements;
  for (const auto& it : aEntry.mStatements) {
    statements.append(QString::fromStdString(it));
  }
  return { { "term", static_cast<qint64>(aEntry.mTerm) },
           { "sql", statements } };
}

LogEntry
EntryFromJson(const QJsonObject& aJson)
{
  LogEntry entry;
  entry.mTerm = static_cast<uint64_t>(aJson["term"].toInteger());
  for (const auto& it : aJson["sql"].toArray()) {
    entry.mStatements.push_back(it.toString().toStdString());
  }
  return entry;
}

Journal::Journal(const QString& aFile)
{
  if (!aFile.isEmpty()) {
    mFile.setFileName(aFile);
    mFile.open(QIODevice::ReadWrite | QIODevice::Unbuffered);
  }
}

void
Journal::Append(const QJsonObject& aLine)
{
  if (mFile.isOpen()) {
    mFile.write(QJsonDocument(aLine).toJson(QJsonDocument::Compact) + "\n");
  }
}

void
Journal::RecordFence(uint64_t aTerm, const std::string& aAttempt)
{
  Append({ { "fence", static_cast<qint64>(aTerm) },
           { "attempt", QString::fromStdString(aAttempt) } });
}

void
Journal::RecordEntry(const LogEntry& aEntry)
{
  Append(EntryToJson(aEntry));
}

void
Journal::RecordTruncate(size_t aLength)
{
  Append({ { "truncate", static_cast<qint64>(aLength) } });
}

void
Journal::Restore(ReplicaState& aState)
{
  uint64_t term = 0;
  std::string attempt;
  std::vector<LogEntry> log;
  while (mFile.isOpen() && mFile.canReadLine()) {
    const auto line = QJsonDocument::fromJson(mFile.readLine()).object();
    if (line.contains("fence")) {
      term = static_cast<uint64_t>(line["fence"].toInteger());
      attempt = line["attempt"].toString().toStdString();
    } else if (line.contains("truncate")) {
      log.resize(static_cast<size_t>(line["truncate"].toInteger()));
    } else if (line.contains("sql")) {
      log.push_back(EntryFromJson(line));
    }
  }
  aState.Restore(term, attempt, std::move(log));
}

}
