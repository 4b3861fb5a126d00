#include "Databases.h"

#include <QTimer>
#include <algorithm>

namespace review {

namespace {

/// A connection whose remote end is unreachable is dropped after this time.
constexpr double kUnreachableMs = 3000;
constexpr int kReplicationMs = 2;

QByteArray
Format(const Position& aPosition)
{
  return QByteArray::number(aPosition.mTerm) + "." +
         QByteArray::number(aPosition.mNumber);
}

Position
ParsePosition(const QByteArray& aText)
{
  const auto parts = aText.split('.');
  return { parts.value(0).toULongLong(), parts.value(1).toULongLong() };
}

}

Database::Database(Databases& aAll,
                   std::string aService,
                   std::string aName,
                   std::string aZone)
  : mService(std::move(aService))
  , mName(std::move(aName))
  , mZone(std::move(aZone))
  , mLagMs(aAll.mSettings.mLagMs)
  , mAll(aAll)
{
  auto* timer = new QTimer(this);
  connect(timer, &QTimer::timeout, this, [this] {
    const auto connections = mConnections;
    for (const auto& it : connections) {
      if (!*it->mIsCut) {
        it->mCutSince.reset();
      } else if (NowMs() - it->mCutSince.value_or(NowMs()) >= kUnreachableMs) {
        it->mPipe->Close();
        mConnections.remove(it);
      } else {
        it->mCutSince = it->mCutSince.value_or(NowMs());
      }
    }
  });
  timer->start(50);
}

QJsonObject
Database::Directory() const
{
  return { { "backend", QString::fromStdString(mService) },
           { "address", "127.0.0.1:1" },
           { "zone", QString::fromStdString(mZone) },
           { "configVersion", "v1" },
           { "slots", mAll.mSettings.mSlots },
           { "state", mIsLeaving ? "draining" : "ready" },
           { "coldLeftMs", 0 },
           { "dbRole", mIsPrimary ? "primary" : "replica" },
           { "born", qint64(1'700'000'000'000) },
           { "sequence", 1 } };
}

void
Database::Accept(const std::shared_ptr<Pipe>& aPipe)
{
  const auto connection = std::make_shared<Connection>();
  connection->mPipe = aPipe;
  connection->mIsCut = &aPipe->mIsCut;
  mConnections.push_back(connection);
  const std::weak_ptr weak = connection;
  aPipe->mOnBytes = [this, weak](const QByteArray& aBytes) {
    const auto it = weak.lock();
    if (!it) {
      return;
    }
    it->mBuffer += aBytes;
    qsizetype end = 0;
    while ((end = it->mBuffer.indexOf("\r\n")) >= 0) {
      it->mLines.push_back(it->mBuffer.left(end));
      it->mBuffer.remove(0, end + 2);
    }
    Next(it);
  };
  aPipe->mOnEnd = [this, weak] {
    QTimer::singleShot(0, this, [this, weak] {
      if (const auto it = weak.lock()) {
        mConnections.remove(it);
      }
    });
  };
}

void
Database::Crash()
{
  const auto connections = std::exchange(mConnections, {});
  for (const auto& it : connections) {
    it->mPipe->Close();
  }
}

void
Database::Next(const ConnectionPointer& aConnection)
{
  if (aConnection->mIsBusy || aConnection->mLines.empty()) {
    return;
  }
  aConnection->mIsBusy = true;
  const auto line = aConnection->mLines.front();
  aConnection->mLines.pop_front();
  const auto& settings = mAll.mSettings;
  const auto ms =
    aConnection->mIsOpen ? settings.mWorkMs : settings.mHandshakeMs;
  QTimer::singleShot(static_cast<int>(ms), Qt::PreciseTimer, this, [=, this] {
    // A connection that has ended rolls back, so nothing of it runs any more.
    if (mIsRunning && !aConnection->mPipe->HasEnded()) {
      Handle(aConnection, line);
    }
  });
}

void
Database::Reply(const ConnectionPointer& aConnection, const QByteArray& aText)
{
  aConnection->mPipe->Send(aText);
  aConnection->mIsBusy = false;
  Next(aConnection);
}

void
Database::Handle(const ConnectionPointer& aConnection, const QByteArray& aLine)
{
  const auto words = aLine.split(' ');
  if (words[0] == "BYE") {
    aConnection->mPipe->Close();
    return;
  }
  if (words[0] == "STARTUP") {
    if (words.value(1).toStdString() != mService ||
        (words.size() > 3 && words[3].toStdString() != mName)) {
      Reply(aConnection, "ERROR MOVED -\r\n");
      return;
    }
    if (static_cast<int>(mConnections.size()) >
        mAll.mSettings.mMaxConnections) {
      Reply(aConnection, "ERROR CONNLIMIT -\r\n");
      return;
    }
    aConnection->mIsOpen = true;
    Reply(aConnection, "READY I " + Format(Applied()) + "\r\n");
    return;
  }
  const auto id = words.value(1).toStdString();
  const auto text = aLine.mid(7 + static_cast<qsizetype>(id.size()));
  const auto before = mLog.size();
  const auto answer = RunQuery(aConnection, id, text);
  const auto reply = [=, this] {
    auto bytes = answer.mError.isEmpty()
                   ? answer.mRows + "COMPLETE " + answer.mSignature + "\r\n"
                   : "ERROR " + answer.mError + "\r\n";
    bytes += QByteArray("READY ") + aConnection->mState + " " +
             PositionAfter(text) + "\r\n";
    Reply(aConnection, bytes);
  };
  if (mLog.size() == before || mAll.mSettings.mSyncReplicas == 0) {
    reply();
    return;
  }
  // The commit is acknowledged once a replica has received it.
  const auto number = mLog.back().mNumber;
  auto* timer = new QTimer(this);
  connect(timer, &QTimer::timeout, this, [=, this] {
    const auto all = mAll.OfService(mService);
    const bool isReceived = std::ranges::any_of(all, [&](const auto* it) {
      return it != this && it->mIsRunning && it->mTerm == mTerm &&
             !it->mIsPrimary && it->Received().mNumber >= number;
    });
    if (!mIsRunning || aConnection->mPipe->HasEnded()) {
      timer->deleteLater();
    } else if (isReceived) {
      timer->stop();
      timer->deleteLater();
      reply();
    }
  });
  timer->start(2);
}

Position
Database::Received() const
{
  return { mTerm, mLog.empty() ? 0 : mLog.back().mNumber };
}

size_t
Database::AppliedCount() const
{
  if (mIsPrimary) {
    mApplied = mLog.size();
    return mApplied;
  }
  const auto since = NowMs() - mLagMs;
  while (mApplied < mLog.size() && mReceivedAt[mApplied] <= since) {
    ++mApplied;
  }
  return mApplied;
}

QByteArray
Database::PositionAfter(const QByteArray& aText) const
{
  const auto word = aText.split(' ').first();
  const bool changesSession =
    word == "SET" || word == "PARSE" || word == "CLOSE" || word == "DISCARD";
  return mAll.mSettings.mIsTerse && changesSession ? QByteArray("-")
                                                   : Format(Applied());
}

Position
Database::Applied() const
{
  const auto n = AppliedCount();
  return { mTerm, n == 0 ? 0 : mLog[n - 1].mNumber };
}

/// Whether the applied log includes a position. One of an earlier term that was
/// rolled back needs what was kept of that term.
bool
Database::Holds(const Position& aPosition) const
{
  if (aPosition.mTerm > mTerm) {
    return false;
  }
  auto needed = aPosition.mNumber;
  if (aPosition.mTerm < mTerm) {
    quint64 kept = 0;
    for (const auto& it : mLog) {
      kept = it.mTerm <= aPosition.mTerm ? it.mNumber : kept;
    }
    needed = std::min(needed, kept);
  }
  return Applied().mNumber >= needed;
}

/// Copies what is missing, and rolls back what the other does not hold.
void
Database::Receive(const Database& aFrom)
{
  size_t same = 0;
  while (same < mLog.size() && same < aFrom.mLog.size() &&
         mLog[same].mId == aFrom.mLog[same].mId &&
         mLog[same].mTerm == aFrom.mLog[same].mTerm) {
    ++same;
  }
  mLog.resize(same);
  mReceivedAt.resize(same);
  mApplied = std::min(mApplied, same);
  mTerm = aFrom.mTerm;
  for (auto n = same; n < aFrom.mLog.size(); ++n) {
    mLog.push_back(aFrom.mLog[n]);
    mReceivedAt.push_back(NowMs());
  }
}

void
Database::Lead(quint64 aTerm)
{
  mIsPrimary = true;
  mTerm = aTerm;
  mFencedTerm = 0;
  mReachesNewerSince.reset();
}

QByteArray
Database::Sign()
{
  return "7." + QByteArray::fromStdString(mName) + "." +
         QByteArray::number(++mNextSignature, 16);
}

std::vector<std::string>
Database::Commit(const ConnectionPointer&, std::vector<Entry> aEntries)
{
  std::vector<std::string> ids;
  for (auto& it : aEntries) {
    it.mTerm = mTerm;
    it.mNumber = (mLog.empty() ? 0 : mLog.back().mNumber) + 1;
    ids.push_back(it.mId);
    mLog.push_back(it);
    mReceivedAt.push_back(NowMs());
  }
  return ids;
}

Database::Answer
Database::Control(const QList<QByteArray>& aWords)
{
  const auto term = aWords.value(1).toULongLong();
  const auto& word = aWords[0];
  if (word == "PAUSE" && !mIsPrimary && term > mTerm) {
    mFencedTerm = std::max(mFencedTerm, term);
  } else if (word == "RESUME") {
    mFencedTerm = 0;
  } else if (word == "STEPDOWN" && mIsPrimary && term > mTerm) {
    mIsPrimary = false;
    mAll.mRecord.Write("database: " + QString::fromStdString(mName) +
                       " steps down for " + QString::number(term));
    mAll.Announce(*this);
  }
  Answer answer;
  answer.mRows = QByteArray("ROW ") + (mIsPrimary ? "primary " : "replica ") +
                 QByteArray::number(mTerm) + " " + Format(Received()) + " " +
                 QByteArray::number(mFencedTerm) + " " +
                 QByteArray::number(mIsPrimary ? 0 : static_cast<int>(mLagMs)) +
                 " 0 " + QByteArray::number(mConnections.size()) + "\r\n";
  return answer;
}

Database::Answer
Database::RunQuery(const ConnectionPointer& aConnection,
                   const std::string& aId,
                   QByteArray aText)
{
  auto& connection = *aConnection;
  const auto refuse = [&](const QByteArray& aCode) {
    Answer answer;
    answer.mError = aCode + " " + QByteArray::fromStdString(mName);
    if (connection.mState == 'T') {
      connection.mState = 'E';
      connection.mStaged.clear();
    }
    return answer;
  };
  const auto words0 = aText.split(' ');
  if (words0[0] == "STATUS" || words0[0] == "PAUSE" || words0[0] == "RESUME" ||
      words0[0] == "STEPDOWN") {
    return Control(words0);
  }
  if (aText.startsWith("AFTER ")) {
    const auto end = aText.indexOf(' ', 6);
    const auto needed = ParsePosition(aText.mid(6, end - 6));
    aText = aText.mid(end + 1);
    if (!Holds(needed)) {
      return refuse("LAGGING");
    }
  }
  auto words = aText.split(' ');
  Run run{ NowMs(), mName, aId, aText, false, {} };
  if (words[0] == "EXECUTE") {
    const auto it = connection.mPrepared.find(words.value(1).toStdString());
    if (it == connection.mPrepared.end()) {
      return refuse("NOSTMT");
    }
    words.removeAt(1);
    words[0] = QByteArray::fromStdString(it->second.first);
  }
  const auto& word = words[0];
  if (word == "ROLLBACK") {
    connection.mState = 'I';
    connection.mStaged.clear();
    return {};
  }
  if (connection.mState == 'E') {
    if (word == "COMMIT") {
      connection.mState = 'I';
      return refuse("ABORTED");
    }
    return refuse("MALFORMED");
  }
  const bool isPlain = connection.mState == 'T' && !connection.mIsReadOnly;
  const bool hasLostLead =
    isPlain && (!mIsPrimary || mTerm != connection.mBegunInTerm);
  if (hasLostLead && (word != "COMMIT" || !connection.mStaged.empty())) {
    if (word == "COMMIT") {
      connection.mState = 'I';
      connection.mStaged.clear();
    }
    return refuse("READONLY");
  }
  if (word == "BEGIN") {
    connection.mIsReadOnly = words.value(1) == "READ";
    if (!connection.mIsReadOnly && !mIsPrimary) {
      return refuse("READONLY");
    }
    connection.mState = 'T';
    connection.mBegunInTerm = mTerm;
    connection.mStaged.clear();
    return {};
  }
  if (word == "SET") {
    connection.mValues[words.value(1).toStdString()] =
      words.value(2).toStdString();
    return {};
  }
  if (word == "PARSE") {
    connection.mPrepared[words.value(1).toStdString()] = {
      words.value(2).toStdString(), words.value(3).toStdString()
    };
    return {};
  }
  if (word == "CLOSE") {
    connection.mPrepared.erase(words.value(1).toStdString());
    return {};
  }
  if (word == "DISCARD") {
    connection.mPrepared.clear();
    connection.mValues.clear();
    return {};
  }
  Answer answer;
  answer.mSignature = Sign();
  if (word == "READ") {
    std::string value;
    const auto n = AppliedCount();
    for (size_t it = 0; it < n; ++it) {
      run.mLog.push_back(mLog[it].mId);
      if (mLog[it].mItem == words.value(1).toStdString()) {
        value = mLog[it].mValue;
      }
    }
    for (const auto& it : connection.mStaged) {
      if (it.mItem == words.value(1).toStdString()) {
        value = it.mValue;
      }
    }
    answer.mRows = "ROW " + QByteArray::fromStdString(value) + "\r\n";
  } else if (word == "WRITE") {
    if (!mIsPrimary || (connection.mState == 'T' && connection.mIsReadOnly)) {
      return refuse("READONLY");
    }
    const Entry entry{
      0, 0, words.value(1).toStdString(), words.value(2).toStdString(), aId
    };
    if (connection.mState == 'T') {
      connection.mStaged.push_back(entry);
    } else {
      Commit(aConnection, { entry });
      run.mIsCommit = true;
    }
  } else if (word == "COMMIT") {
    connection.mState = 'I';
    auto staged = std::exchange(connection.mStaged, {});
    run.mIsCommit = !staged.empty();
    Commit(aConnection, std::move(staged));
  } else {
    return refuse("MALFORMED");
  }
  mAll.mRecord.Write(QString("database: %1 %2 term %3 ran %4 %5 -> %6")
                       .arg(QString::fromStdString(mName),
                            mIsPrimary ? "primary" : "replica",
                            QString::number(mTerm),
                            QString::fromStdString(aId),
                            QString::fromUtf8(aText),
                            QString::fromUtf8(answer.mRows.trimmed() + " at " +
                                              Format(Applied()))));
  mAll.mRuns.push_back(std::move(run));
  return answer;
}

Databases::Databases(Network& aNetwork,
                     Platform& aPlatform,
                     Record& aRecord,
                     DatabaseSettings aSettings)
  : mNetwork(aNetwork)
  , mPlatform(aPlatform)
  , mRecord(aRecord)
  , mSettings(aSettings)
{
  mPlatform.mOnPromote = [this](const std::string& aId) {
    return Promote(aId);
  };
  mPlatform.mViewOf = [this](const std::string& aInstance,
                             const QString& aKind,
                             const QJsonObject& aSpec) {
    auto spec = aSpec;
    const auto id = aSpec["id"].toString().toStdString();
    if (aKind == "servers" && !id.empty()) {
      spec.remove("id");
      spec["address"] =
        "127.0.0.1:" + QString::number(At(id).mPorts[aInstance]);
    }
    return spec;
  };
  auto* timer = new QTimer(this);
  timer->setTimerType(Qt::PreciseTimer);
  connect(timer, &QTimer::timeout, this, [this] { Replicate(); });
  timer->start(kReplicationMs);
}

Database&
Databases::Add(const std::string& aService,
               const std::string& aName,
               const std::string& aZone,
               bool aIsPrimary)
{
  mDatabases.push_back(
    std::make_unique<Database>(*this, aService, aName, aZone));
  auto& database = *mDatabases.back();
  database.mIsPrimary = aIsPrimary;
  for (const auto& it : mInstances) {
    database.mPorts[it] = mNetwork.Listen(
      it, aName, [&](const auto& aPipe) { database.Accept(aPipe); });
  }
  Announce(database);
  return database;
}

Database&
Databases::At(const std::string& aName)
{
  return **std::ranges::find_if(
    mDatabases, [&](const auto& it) { return it->mName == aName; });
}

std::vector<Database*>
Databases::OfService(const std::string& aService)
{
  std::vector<Database*> all;
  for (const auto& it : mDatabases) {
    if (it->mService == aService) {
      all.push_back(it.get());
    }
  }
  return all;
}

Database*
Databases::Primary(const std::string& aService)
{
  Database* primary = nullptr;
  for (auto* it : OfService(aService)) {
    if (it->mIsPrimary && it->mIsRunning &&
        (!primary || it->mTerm > primary->mTerm)) {
      primary = it;
    }
  }
  return primary;
}

void
Databases::ConnectInstance(const std::string& aInstance)
{
  mInstances.push_back(aInstance);
  for (const auto& it : mDatabases) {
    auto& database = *it;
    database.mPorts[aInstance] =
      mNetwork.Listen(aInstance, database.mName, [&](const auto& aPipe) {
        database.Accept(aPipe);
      });
  }
}

void
Databases::Announce(Database& aDatabase)
{
  auto spec = aDatabase.Directory();
  spec["id"] = QString::fromStdString(aDatabase.mName);
  mPlatform.Put("servers", QString::fromStdString(aDatabase.mName), spec);
}

void
Databases::Leave(const std::string& aName)
{
  auto& database = At(aName);
  mRecord.Write("database: " + QString::fromStdString(aName) + " is draining");
  database.mIsLeaving = true;
  Announce(database);
}

void
Databases::Crash(const std::string& aName)
{
  auto& database = At(aName);
  mRecord.Write("database: " + QString::fromStdString(aName) + " crashes");
  database.mIsRunning = false;
  mNetwork.SetListening(aName, false);
  database.Crash();
}

bool
Databases::CanReach(const Database& aOne, const Database& aOther) const
{
  return aOne.mIsRunning && aOther.mIsRunning &&
         !mNetwork.IsCut(aOne.mName, aOther.mName);
}

bool
Databases::Promote(const std::string& aName)
{
  const auto found = std::ranges::find_if(
    mDatabases, [&](const auto& it) { return it->mName == aName; });
  if (found == mDatabases.end() || !(*found)->mIsRunning) {
    return false;
  }
  auto& database = **found;
  if (Primary(database.mService) == &database ||
      !mPromoting.insert(aName).second) {
    return true;
  }
  QTimer::singleShot(
    static_cast<int>(mSettings.mPromoteMs), this, [&database, this] {
      mPromoting.erase(database.mName);
      quint64 term = 0;
      for (const auto* it : OfService(database.mService)) {
        term = std::max(term, it->mTerm);
      }
      database.Lead(term + 1);
      Promotion promotion{ NowMs(), database.mName, term + 1, {} };
      for (const auto& it : database.mLog) {
        promotion.mLog.insert(it.mId);
      }
      mPromotions.push_back(promotion);
      mRecord.Write(QString("database: %1 leads term %2 from %3 on")
                      .arg(QString::fromStdString(database.mName))
                      .arg(term + 1)
                      .arg(database.mLog.size()));
      for (auto* it : OfService(database.mService)) {
        if (!it->mIsPrimary && CanReach(*it, database)) {
          it->mFencedTerm = 0;
        }
      }
      Announce(database);
    });
  return true;
}

/// Replicas receive from the primary of the highest term that they reach. An
/// old primary follows a newer one a second after it reaches it.
void
Databases::Replicate()
{
  for (const auto& it : mDatabases) {
    auto& database = *it;
    if (!database.mIsRunning || database.mFencedTerm != 0) {
      continue;
    }
    Database* from = nullptr;
    for (auto* other : OfService(database.mService)) {
      if (other != &database && other->mIsPrimary &&
          CanReach(database, *other) && (!from || other->mTerm > from->mTerm)) {
        from = other;
      }
    }
    if (database.mIsPrimary) {
      if (!from || from->mTerm < database.mTerm) {
        database.mReachesNewerSince.reset();
        continue;
      }
      const auto since = database.mReachesNewerSince.value_or(NowMs());
      database.mReachesNewerSince = since;
      if (NowMs() - since < mSettings.mOldPrimaryMs) {
        continue;
      }
      database.mIsPrimary = false;
      Announce(database);
    }
    const bool isNewer = from && (from->mTerm > database.mTerm ||
                                  (from->mTerm == database.mTerm &&
                                   from->mLog.size() > database.mLog.size()));
    if (isNewer && !database.mIsDeaf) {
      database.Receive(*from);
    }
  }
}

}
