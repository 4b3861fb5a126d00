#include "DatabaseServer.h"

#include "DatabaseSession.h"

#include <QFile>
#include <QPointer>
#include <QTimer>
#include <algorithm>

namespace papayaline {

namespace {

QByteArray
RoleName(Role aRole)
{
  constexpr std::array kNames = { "primary", "replica", "fenced" };
  return kNames[static_cast<size_t>(aRole)];
}

}

DatabaseServer::DatabaseServer(DatabaseOptions aOptions)
  : mOptions(std::move(aOptions))
  , mState(mOptions.mName)
  , mJournal(mOptions.mJournalFile)
  , mReceiver(*this)
{
  mClock.start();
  mJournal.Restore(mState);
  Rebuild();
}

DatabaseServer::~DatabaseServer()
{
  // Sessions refer to members of this class, so they are destroyed first.
  const auto sessions = findChildren<QObject*>(Qt::FindDirectChildrenOnly);
  qDeleteAll(sessions);
}

std::unique_ptr<SqlEngine>
DatabaseServer::OpenEngine() const
{
  const auto name = QString("data-%1.sqlite").arg(mGeneration);
  return std::make_unique<SqlEngine>(mDirectory.filePath(name));
}

/// Rebuilds the tables in a new file by replaying the log.
void
DatabaseServer::Rebuild()
{
  ++mGeneration;
  mEngine = OpenEngine();
  mEngine->RunSql("BEGIN");
  for (const auto& it : mState.Log()) {
    for (const auto& sql : it.mStatements) {
      mEngine->RunSql(sql);
    }
  }
  mEngine->RunSql("COMMIT");
}

void
DatabaseServer::incomingConnection(qintptr aDescriptor)
{
  mSessions.insert(new DatabaseSession(*this, aDescriptor));
}

void
DatabaseServer::RemoveSession(DatabaseSession* aSession)
{
  mSessions.erase(aSession);
  std::erase_if(mWriterQueue,
                [&](const auto& it) { return it.first == aSession; });
  ReleaseWriteLock(aSession);
}

void
DatabaseServer::RunInSlot(QObject* aOwner, std::function<void()> aWork)
{
  mSlotQueue.push_back(
    [this, owner = QPointer(aOwner), work = std::move(aWork)] {
      ++mBusySlots;
      ++mStatementsServed;
      const auto finish = [this, owner, work] {
        --mBusySlots;
        if (owner) {
          work();
        }
        StartNextSlot();
      };
      if (mOptions.mStatementMs == 0) {
        finish();
        return;
      }
      QTimer::singleShot(mOptions.mStatementMs, Qt::PreciseTimer, this, finish);
    });
  StartNextSlot();
}

void
DatabaseServer::StartNextSlot()
{
  while (mBusySlots < mOptions.mSlots && !mSlotQueue.empty()) {
    const auto next = std::move(mSlotQueue.front());
    mSlotQueue.pop_front();
    next();
  }
}

void
DatabaseServer::RunWithWriteLock(DatabaseSession* aOwner,
                                 std::function<void()> aWork)
{
  if (!mWriter || mWriter == aOwner) {
    mWriter = aOwner;
    aWork();
    return;
  }
  mWriterQueue.emplace_back(aOwner, std::move(aWork));
}

void
DatabaseServer::ReleaseWriteLock(DatabaseSession* aOwner)
{
  if (mWriter != aOwner) {
    return;
  }
  mWriter = nullptr;
  if (mWriterQueue.empty()) {
    return;
  }
  const auto [owner, work] = std::move(mWriterQueue.front());
  mWriterQueue.pop_front();
  mWriter = owner;
  work();
}

bool
DatabaseServer::RefusesWrites() const
{
  return !mState.IsPrimary() || mClock.elapsed() < mQuiescedUntilMs;
}

LogPosition
DatabaseServer::Commit(std::vector<std::string> aStatements)
{
  const auto position = mState.Append(std::move(aStatements));
  mJournal.RecordEntry(mState.Log().back());
  std::ranges::for_each(mStreams, [](auto* it) { it->SendNewEntries(); });
  return position;
}

void
DatabaseServer::ApplyReplicated(const std::vector<LogEntry>& aEntries)
{
  mEngine->RunSql("BEGIN IMMEDIATE");
  for (const auto& entry : aEntries) {
    for (const auto& it : entry.mStatements) {
      mEngine->RunSql(it);
    }
    mState.AppendReplicated(entry);
    mJournal.RecordEntry(entry);
  }
  mEngine->RunSql("COMMIT");
}

void
DatabaseServer::TruncateTo(size_t aLength)
{
  if (aLength >= mState.Log().size()) {
    return;
  }
  mState.Truncate(aLength);
  mJournal.RecordTruncate(aLength);
  const auto sessions = mSessions;
  std::ranges::for_each(sessions, [](auto* it) { it->CloseConnection(); });
  Rebuild();
}

/// Rolls back all open transactions and closes the replication streams in both
/// directions, as a fence of a new term requires.
void
DatabaseServer::EndReplicationAndWrites()
{
  const auto sessions = mSessions;
  std::ranges::for_each(sessions, [](auto* it) { it->RollBackTransaction(); });
  std::ranges::for_each(mStreams, [](auto* it) { it->Close(); });
  mStreams.clear();
  mReceiver.Stop();
  mQuiescedUntilMs = 0;
}

void
DatabaseServer::SetOption(const QByteArray& aName, int aValue)
{
  if (aName == "lag_ms") {
    mOptions.mLagMs = aValue;
  } else if (aName == "statement_ms") {
    mOptions.mStatementMs = aValue;
  } else if (aName == "slots") {
    mOptions.mSlots = static_cast<unsigned>(aValue);
  }
}

SqlResult
DatabaseServer::CallFunction(const QByteArray& aName,
                             const std::vector<Cell>& aArguments)
{
  const auto argument = [&](size_t aIndex) {
    return aIndex < aArguments.size()
             ? aArguments[aIndex].value_or(QByteArray())
             : QByteArray();
  };
  if (aName == "status") {
    return StatusResult(true);
  }
  if (aName == "standin_served") {
    SqlResult result;
    result.mColumns = { Column{ "served" } };
    result.mRows = { { QByteArray::number(quint64(mStatementsServed)) } };
    result.mTag = "SELECT 1";
    return result;
  }
  if (aName == "standin_set") {
    SetOption(argument(0), argument(1).toInt());
    return StatusResult(true);
  }
  const auto term = argument(0).toULongLong();
  const auto attempt = argument(1).toStdString();
  if (aName == "fence") {
    const auto before = mState.Report();
    const bool granted = mState.Fence(term, attempt);
    if (mState.Report() != before) {
      mJournal.RecordFence(term, attempt);
      EndReplicationAndWrites();
    }
    return StatusResult(granted);
  }
  if (aName == "promote") {
    const bool wasPrimary = mState.IsPrimary();
    const bool granted = mState.Promote(term, attempt);
    if (granted && !wasPrimary) {
      mJournal.RecordEntry(mState.Log().back());
    }
    return StatusResult(granted);
  }
  if (aName == "follow") {
    const bool granted =
      mState.Follow(term, attempt, argument(2).toStdString());
    if (granted) {
      mReceiver.Follow(argument(3), argument(4).toUShort());
    }
    return StatusResult(granted);
  }
  if (aName == "quiesce") {
    const auto report = mState.Report();
    const bool granted = mState.IsPrimary() && report.mFencedTerm == term &&
                         report.mAttempt == attempt;
    if (granted) {
      mQuiescedUntilMs = mClock.elapsed() + argument(2).toLongLong();
    }
    return StatusResult(granted);
  }
  return MakeSqlError("42883", "no such function: papayaline_" + aName);
}

SqlResult
DatabaseServer::StatusResult(bool aIsGranted) const
{
  const auto report = mState.Report();
  SqlResult result;
  Row row;
  const auto add = [&](const QByteArray& aName, const QByteArray& aValue) {
    Column column;
    column.mName = aName;
    result.mColumns.push_back(column);
    row.emplace_back(aValue);
  };
  add("granted", aIsGranted ? "t" : "f");
  add("fenced_term", QByteArray::number(quint64(report.mFencedTerm)));
  add("attempt", QByteArray::fromStdString(report.mAttempt));
  add("role", RoleName(report.mRole));
  add("last_term", QByteArray::number(quint64(report.mLast.mTerm)));
  add("position", QByteArray::number(quint64(report.mLast.mOffset)));
  add("follows", QByteArray::fromStdString(report.mFollows));
  add("open_writes", mWriter ? "1" : "0");
  add("quiesced", mClock.elapsed() < mQuiescedUntilMs ? "t" : "f");
  result.mRows.push_back(std::move(row));
  result.mTag = "SELECT 1";
  return result;
}

}
