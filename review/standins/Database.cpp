#include "Database.h"

#include "Record.h"

#include <QDateTime>
#include <QHostAddress>
#include <algorithm>

namespace review {

namespace {

constexpr int kSynchronizeMs = 2;
constexpr int kRebootResetMs = 200;
/// An old primary continues until a second after it can reach the new one.
constexpr qint64 kOldPrimaryMs = 1000;

}

Database::Database(DatabaseGroup& aGroup, QByteArray aName, QByteArray aZone)
  : mGroup(aGroup)
  , mName(std::move(aName))
  , mZone(std::move(aZone))
  , mBorn(QDateTime::currentMSecsSinceEpoch())
{
  mServer.listen(QHostAddress::LocalHost);
  mPort = mServer.serverPort();
  connect(&mServer, &QTcpServer::newConnection, this, [this] { Accept(); });
}

Database::~Database()
{
  for (const auto& [socket, it] : mConnections) {
    socket->disconnect(this);
  }
}

size_t
Database::AppliedCount() const
{
  return mIsPrimary ? mLog.size() : mApplied;
}

QByteArray
Database::PositionOf(size_t aCount) const
{
  const auto term = aCount > 0 ? mLog[aCount - 1].mTerm : 1;
  return QByteArray::number(term) + "." + QByteArray::number(quint64(aCount));
}

bool
Database::HasPosition(const QByteArray& aPosition) const
{
  const auto parts = aPosition.split('.');
  const auto count = parts[1].toULongLong();
  const auto own = PositionOf(AppliedCount()).split('.');
  return std::pair(own[0].toULongLong(), own[1].toULongLong()) >=
         std::pair(parts[0].toULongLong(), count);
}

void
Database::Crash()
{
  mIsRunning = false;
  mServer.close();
  const auto connections = std::exchange(mConnections, {});
  for (const auto& [socket, it] : connections) {
    it->mIsDead = true;
    socket->disconnect(this);
    socket->abort();
    socket->deleteLater();
  }
}

void
Database::Restart()
{
  mIsRunning = true;
  mBorn = QDateTime::currentMSecsSinceEpoch();
  mFencedTerm = 0;
  ReviseRole();
  mServer.listen(QHostAddress::LocalHost, mPort);
}

void
Database::ReviseRole()
{
  if (mIsPrimary && mGroup.Leader() != this) {
    mIsPrimary = false;
    mApplied = mLog.size();
  }
}

void
Database::GoDark()
{
  mIsDark = true;
}

void
Database::ReturnFromDark()
{
  mIsDark = false;
  mBorn = QDateTime::currentMSecsSinceEpoch();
  mFencedTerm = 0;
  ReviseRole();
  for (const auto& [socket, it] : mConnections) {
    it->mIsDead = true;
    if (!it->mLines.empty() || !it->mIsStarted) {
      // What was sent into the dark is sent again and meets a reset.
      QTimer::singleShot(
        kRebootResetMs, socket, [socket = socket] { socket->abort(); });
    }
  }
}

void
Database::Accept()
{
  while (auto* socket = mServer.nextPendingConnection()) {
    const auto connection = std::make_shared<Connection>();
    mConnections[socket] = connection;
    connect(socket, &QTcpSocket::readyRead, this, [=, this] {
      ReadInput(socket, connection);
    });
    connect(socket, &QTcpSocket::disconnected, this, [=, this] {
      connection->mIsDead = true;
      mConnections.erase(socket);
      socket->deleteLater();
    });
  }
}

void
Database::ReadInput(QTcpSocket* aSocket, const ConnectionPointer& aConnection)
{
  aConnection->mBuffer += aSocket->readAll();
  qsizetype end = 0;
  while ((end = aConnection->mBuffer.indexOf("\r\n")) >= 0) {
    aConnection->mLines.push_back(aConnection->mBuffer.left(end));
    mGroup.mArrived.insert(aConnection->mLines.back().split(' ').value(1));
    aConnection->mBuffer.remove(0, end + 2);
  }
  if (aConnection->mIsDead) {
    aSocket->abort();
    return;
  }
  RunNext(aSocket, aConnection);
}

/// Runs one statement at a time; reads, writes and commits take work time.
void
Database::RunNext(QTcpSocket* aSocket, const ConnectionPointer& aConnection)
{
  if (aConnection->mIsRunning || aConnection->mLines.empty() || mIsDark ||
      aConnection->mIsDead) {
    return;
  }
  const auto& line = aConnection->mLines.front();
  if (line == "BYE") {
    aSocket->disconnectFromHost();
    return;
  }
  const bool isWork = line.contains("READ ") || line.contains("WRITE ") ||
                      line.contains("EXECUTE ") || line.endsWith(" COMMIT");
  const int delay = line.contains("PARSE ") || !isWork ? 0 : mGroup.mWorkMs;
  aConnection->mIsRunning = true;
  QTimer::singleShot(delay, aSocket, [=, this] {
    aConnection->mIsRunning = false;
    if (mIsDark || aConnection->mIsDead) {
      return;
    }
    const auto next = aConnection->mLines.front();
    aConnection->mLines.pop_front();
    aSocket->write(RunLine(*aConnection, next));
    RunNext(aSocket, aConnection);
  });
}

QByteArray
Database::Ready(const Connection& aConnection) const
{
  const char* state = aConnection.mHasFailed         ? "E "
                      : aConnection.mIsInTransaction ? "T "
                                                     : "I ";
  return QByteArray("READY ") + state + PositionOf(AppliedCount()) + "\r\n";
}

QByteArray
Database::Complete() const
{
  return "COMPLETE signed." + mName + "\r\n";
}

QByteArray
Database::RunLine(Connection& aConnection, const QByteArray& aLine)
{
  const auto words = aLine.split(' ');
  if (words[0] == "STARTUP") {
    if (words.value(1) != mGroup.mName || words.value(3, mName) != mName) {
      return "ERROR MOVED " + mName + "\r\n";
    }
    aConnection.mIsStarted = true;
    return Ready(aConnection);
  }
  const auto id = words.value(1);
  const auto text = aLine.mid(7 + id.size());
  auto answer = RunText(aConnection, id, text);
  return answer + Ready(aConnection);
}

QByteArray
Database::Fail(Connection& aConnection, const QByteArray& aError)
{
  aConnection.mHasFailed = aConnection.mIsInTransaction;
  aConnection.mStaged.clear();
  return "ERROR " + aError + " " + mName + "\r\n";
}

QByteArray
Database::RunControl(const QList<QByteArray>& aWords)
{
  const auto term = aWords.value(1).toULongLong();
  if (aWords[0] == "PAUSE" && !mIsPrimary && term > mTerm) {
    mFencedTerm = std::max(mFencedTerm, term);
  } else if (aWords[0] == "RESUME") {
    mFencedTerm = 0;
  } else if (aWords[0] == "STEPDOWN" && mIsPrimary && mTerm < term) {
    mIsPrimary = false;
    mApplied = mLog.size();
    mApplyQueue.clear();
    mGroup.mOnRoleChanged(*this);
  }
  return QByteArray("ROW ") + (mIsPrimary ? "primary " : "replica ") +
         QByteArray::number(mTerm) + " " + PositionOf(mLog.size()) + " " +
         QByteArray::number(mFencedTerm) + " 0 0 " +
         QByteArray::number(qint64(mConnections.size())) + "\r\nCOMPLETE -\r\n";
}

QByteArray
Database::RunText(Connection& aConnection,
                  const QByteArray& aId,
                  QByteArray aText)
{
  static const QList<QByteArray> kControl{
    "STATUS", "PAUSE", "RESUME", "STEPDOWN"
  };
  if (kControl.contains(aText.split(' ')[0])) {
    return RunControl(aText.split(' '));
  }
  if (aConnection.mHasFailed && aText != "ROLLBACK" && aText != "COMMIT") {
    return "ERROR MALFORMED the transaction has failed\r\n";
  }
  if (aText.startsWith("AFTER ")) {
    const auto position = aText.split(' ')[1];
    aText = aText.mid(7 + position.size());
    if (!HasPosition(position)) {
      return Fail(aConnection, "LAGGING");
    }
  }
  auto words = aText.split(' ');
  if (words[0] == "EXECUTE") {
    const auto it = aConnection.mPrepared.find(words.value(1));
    if (it == aConnection.mPrepared.end()) {
      return Fail(aConnection, "NOSTMT");
    }
    words = { it->second, words.value(2), words.value(3) };
  }
  if (words[0] == "SET" || words[0] == "CLOSE" || words[0] == "DISCARD") {
    return "COMPLETE -\r\n";
  }
  if (words[0] == "PARSE") {
    aConnection.mPrepared[words.value(1)] = words.value(2);
    return "COMPLETE -\r\n";
  }
  const bool isPlain = aConnection.mIsInTransaction && !aConnection.mIsReadOnly;
  const bool isEmptyCommit =
    words[0] == "COMMIT" && aConnection.mStaged.empty();
  const bool needsPrimary =
    words[0] == "WRITE" || aText == "BEGIN" || (isPlain && !isEmptyCommit);
  if (needsPrimary && !mIsPrimary && words[0] != "ROLLBACK") {
    const auto answer = Fail(aConnection, "READONLY");
    if (words[0] == "COMMIT") {
      aConnection.mIsInTransaction = false;
      aConnection.mHasFailed = false;
    }
    return answer;
  }
  if (words[0] == "BEGIN") {
    aConnection.mIsInTransaction = true;
    aConnection.mIsReadOnly = words.size() > 1;
    return "COMPLETE -\r\n";
  }
  if (words[0] == "ROLLBACK" ||
      (words[0] == "COMMIT" && aConnection.mHasFailed)) {
    aConnection.mIsInTransaction = false;
    aConnection.mHasFailed = false;
    aConnection.mStaged.clear();
    return "COMPLETE -\r\n";
  }
  mGroup.mRuns.push_back({ aId, aText, mName, AppliedCount(), NowMs() });
  if (words[0] == "READ") {
    QByteArray data = "none";
    for (size_t n = 0; n < AppliedCount(); ++n) {
      if (mLog[n].mItem == words.value(1)) {
        data = mLog[n].mData;
      }
    }
    return "ROW " + data + "\r\n" + Complete();
  }
  if (words[0] == "WRITE") {
    const LogEntry entry{ mTerm, words.value(1), words.value(2), aId };
    if (aConnection.mIsInTransaction) {
      aConnection.mStaged.push_back(entry);
    } else {
      mGroup.Commit(*this, { entry });
    }
    return Complete();
  }
  // COMMIT.
  mGroup.Commit(*this, aConnection.mStaged);
  aConnection.mStaged.clear();
  aConnection.mIsInTransaction = false;
  return Complete();
}

DatabaseGroup::DatabaseGroup(QByteArray aName, int aLagMs, int aPromoteMs)
  : mName(std::move(aName))
  , mLagMs(aLagMs)
  , mPromoteMs(aPromoteMs)
{
  mOnRoleChanged = [](Database&) {};
  mTimer.setTimerType(Qt::PreciseTimer);
  connect(&mTimer, &QTimer::timeout, this, [this] { Synchronize(); });
  mTimer.start(kSynchronizeMs);
}

Database&
DatabaseGroup::Add(const QByteArray& aName, const QByteArray& aZone)
{
  mDatabases.push_back(std::make_unique<Database>(*this, aName, aZone));
  auto& database = *mDatabases.back();
  if (mDatabases.size() == 1) {
    database.mIsPrimary = true;
    for (const auto* it : { "1", "2", "3" }) {
      database.mLog.push_back({ 1, QByteArray("seed") + it, "x", "seed" });
    }
  }
  return database;
}

Database*
DatabaseGroup::Find(const QByteArray& aName)
{
  const auto it = std::ranges::find_if(
    mDatabases, [&](const auto& aOther) { return aOther->mName == aName; });
  return it != mDatabases.end() ? it->get() : nullptr;
}

Database&
DatabaseGroup::At(const QByteArray& aName)
{
  return *Find(aName);
}

Database*
DatabaseGroup::Leader()
{
  Database* leader = nullptr;
  for (const auto& it : mDatabases) {
    if (it->mIsPrimary && (!leader || it->mTerm > leader->mTerm)) {
      leader = it.get();
    }
  }
  return leader;
}

int
DatabaseGroup::Promote(const QByteArray& aName)
{
  auto* database = Find(aName);
  if (!database || !database->mIsRunning || database->mIsDark) {
    return 409;
  }
  if (Leader() != database) {
    QTimer::singleShot(mPromoteMs, this, [this, database] { Lead(*database); });
  }
  return 200;
}

void
DatabaseGroup::Lead(Database& aDatabase)
{
  if (Leader() == &aDatabase || !aDatabase.mIsRunning) {
    return;
  }
  quint64 term = 0;
  for (const auto& it : mDatabases) {
    term = std::max(term, it->mTerm);
  }
  aDatabase.mTerm = term + 1;
  aDatabase.mIsPrimary = true;
  aDatabase.mFencedTerm = 0;
  aDatabase.mApplied = aDatabase.mLog.size();
  aDatabase.mApplyQueue.clear();
  Record("promotion in effect: " + aDatabase.mName + " leads term " +
         QByteArray::number(aDatabase.mTerm) + " of " + mName + " at " +
         aDatabase.PositionOf(aDatabase.mLog.size()));
  mOnRoleChanged(aDatabase);
}

void
DatabaseGroup::Commit(Database& aPrimary, const std::vector<LogEntry>& aEntries)
{
  for (auto it : aEntries) {
    it.mTerm = aPrimary.mTerm;
    aPrimary.mLog.push_back(it);
  }
  // The replicas receive a commit no later than a caller could ask them for it.
  Synchronize();
}

/// Replicates from the primary of the highest term that runs.
void
DatabaseGroup::Synchronize()
{
  const auto now = NowMs();
  auto* leader = Leader();
  const bool isSending = leader && leader->mIsRunning && !leader->mIsDark;
  for (const auto& it : mDatabases) {
    auto& queue = it->mApplyQueue;
    while (!queue.empty() && queue.front().first <= now) {
      it->mApplied = std::max(it->mApplied, queue.front().second);
      queue.pop_front();
    }
    const bool isFenced =
      it->mFencedTerm != 0 && leader && it->mFencedTerm > leader->mTerm;
    if (!isSending || it.get() == leader || !it->mIsRunning || it->mIsDark ||
        it->mIsDeaf || isFenced) {
      continue;
    }
    if (it->mIsPrimary) {
      if (it->mOtherPrimarySinceMs < 0) {
        it->mOtherPrimarySinceMs = now;
      }
      if (now - it->mOtherPrimarySinceMs < kOldPrimaryMs) {
        continue;
      }
      it->mIsPrimary = false;
      it->mApplied = it->mLog.size();
      mOnRoleChanged(*it);
    }
    it->mTerm = leader->mTerm;
    it->mFencedTerm = 0;
    size_t common = 0;
    while (common < std::min(it->mLog.size(), leader->mLog.size()) &&
           it->mLog[common].mId == leader->mLog[common].mId &&
           it->mLog[common].mTerm == leader->mLog[common].mTerm) {
      ++common;
    }
    if (common < it->mLog.size() || it->mLog.size() < leader->mLog.size()) {
      it->mApplied = std::min(it->mApplied, common);
      it->mLog = leader->mLog;
      queue.emplace_back(now + mLagMs, it->mLog.size());
    }
  }
}

}
