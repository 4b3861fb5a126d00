#include "Databases.h"

#include <QHostAddress>
#include <QPointer>
#include <QTimer>
#include <algorithm>

namespace review {

namespace {

/// As in the deployment's sheet: the work of a statement, how far replicas are
/// behind, and how long a promotion takes.
constexpr int kWorkMs = 8;
constexpr int kLagMs = 20;
constexpr int kMessageMs = 1;
constexpr int kPromoteMs = 1000;
/// An old primary goes on until a second after it can reach the new one.
constexpr int kOldPrimaryMs = 1000;

}

QByteArray
Position::ToText() const
{
  return QByteArray::number(mTerm) + "." + QByteArray::number(mNumber);
}

Position
Databases::Database::Received() const
{
  return mLog.empty() ? Position{ 1, 0 } : mLog.back().mPosition;
}

Position
Databases::Database::Applied() const
{
  return mApplied == 0 ? Position{ 1, 0 } : mLog[mApplied - 1].mPosition;
}

Databases::Databases(QString aService,
                     const std::vector<QString>& aNames,
                     int aSyncReplicas,
                     std::function<void(const QString&)> aRecord)
  : mService(std::move(aService))
  , mSyncReplicas(aSyncReplicas)
  , mRecord(std::move(aRecord))
{
  for (const auto& it : aNames) {
    auto database = std::make_unique<Database>();
    database->mName = it;
    database->mIsPrimary = mDatabases.empty();
    // The services have held data before.
    database->mLog.push_back({ { 1, 1 }, "0", "first" });
    database->mApplied = 1;
    Listen(*database);
    mDatabases.push_back(std::move(database));
  }
}

void
Databases::Listen(Database& aDatabase)
{
  aDatabase.mServer = std::make_unique<QTcpServer>();
  aDatabase.mServer->listen(QHostAddress::LocalHost);
  connect(aDatabase.mServer.get(),
          &QTcpServer::newConnection,
          this,
          [this, at = &aDatabase] { Accept(*at); });
}

void
Databases::Add(const QString& aName)
{
  const auto& primary = Primary();
  auto database = std::make_unique<Database>();
  database->mName = aName;
  database->mTerm = primary.mTerm;
  database->mLog = primary.mLog;
  database->mApplied = primary.mApplied;
  Listen(*database);
  mRecord("database " + aName + " starts");
  mDatabases.push_back(std::move(database));
}

void
Databases::SetDeaf(const QString& aName, bool aIsDeaf)
{
  mRecord("database " + aName +
          (aIsDeaf ? " receives nothing from now on" : " receives again"));
  Find(aName)->mIsDeaf = aIsDeaf;
  Replicate();
}

void
Databases::Deliver(Database& aDatabase,
                   const QPointer<QTcpSocket>& aSocket,
                   const QByteArray& aAnswer,
                   Position aCommitted)
{
  if (!aSocket) {
    return;
  }
  if (!aDatabase.mIsPrimary) {
    // Its outcome is unknown: the answer is lost.
    aSocket->abort();
    return;
  }
  const auto receivers = std::ranges::count_if(mDatabases, [&](const auto& it) {
    return it.get() != &aDatabase && it->mTerm == aDatabase.mTerm &&
           it->Received() >= aCommitted;
  });
  if (receivers >= mSyncReplicas) {
    aSocket->write(aAnswer);
    return;
  }
  QTimer::singleShot(kMessageMs, this, [=, this, &aDatabase] {
    Deliver(aDatabase, aSocket, aAnswer, aCommitted);
  });
}

Databases::~Databases()
{
  for (const auto& it : mDatabases) {
    for (auto* socket : it->mSockets) {
      socket->disconnect(this);
    }
  }
}

Databases::Database*
Databases::Find(const QString& aName)
{
  const auto it = std::ranges::find_if(
    mDatabases, [&](const auto& aIt) { return aIt->mName == aName; });
  return it != mDatabases.end() ? it->get() : nullptr;
}

Databases::Database&
Databases::Primary()
{
  return **std::ranges::max_element(mDatabases, {}, [](const auto& aIt) {
    return std::pair(aIt->mIsPrimary, aIt->mTerm);
  });
}

int
Databases::Promote(const QString& aName)
{
  auto* database = Find(aName);
  if (!database || !database->mIsRunning) {
    return 409;
  }
  if (database == &Primary()) {
    return 200;
  }
  QTimer::singleShot(kPromoteMs, this, [this, database] {
    auto& old = Primary();
    if (!database->mIsRunning || database == &old) {
      return;
    }
    quint64 term = 0;
    for (const auto& it : mDatabases) {
      term = std::max(term, it->mTerm + 1);
    }
    database->mIsPrimary = true;
    database->mTerm = term;
    database->mFencedTerm = 0;
    database->mApplied = database->mLog.size();
    mRecord(QString("database %1 leads term %2 from %3; %4 led before, at %5")
              .arg(database->mName)
              .arg(term)
              .arg(QString(database->Received().ToText()),
                   old.mName,
                   QString(old.Received().ToText())));
    for (const auto& it : mDatabases) {
      it->mFencedTerm = 0;
    }
    QTimer::singleShot(kOldPrimaryMs, this, [this, at = &old, term] {
      if (at->mTerm < term) {
        at->mIsPrimary = false;
        Replicate();
        mOnRoles();
      }
    });
    Replicate();
    mOnRoles();
  });
  return 200;
}

void
Databases::Replicate()
{
  const auto& primary = Primary();
  for (const auto& at : mDatabases) {
    auto& it = *at;
    if (&it == &primary || !it.mIsRunning || it.mIsPrimary ||
        it.mFencedTerm != 0 || it.mIsDeaf || !primary.mIsPrimary) {
      continue;
    }
    it.mTerm = primary.mTerm;
    // What is not in the log of the primary is rolled back.
    size_t common = 0;
    while (common < std::min(it.mLog.size(), primary.mLog.size()) &&
           it.mLog[common].mPosition == primary.mLog[common].mPosition) {
      ++common;
    }
    it.mLog.resize(common);
    it.mApplied = std::min(it.mApplied, common);
    it.mLog.insert(it.mLog.end(),
                   primary.mLog.begin() + ssize_t(common),
                   primary.mLog.end());
    CompleteApplying(it);
  }
}

void
Databases::CompleteApplying(Database& aDatabase)
{
  QTimer::singleShot(
    kLagMs, this, [at = &aDatabase, end = aDatabase.Received()] {
      while (at->mApplied < at->mLog.size() &&
             at->mLog[at->mApplied].mPosition <= end) {
        ++at->mApplied;
      }
    });
}

void
Databases::Accept(Database& aDatabase)
{
  while (auto* socket = aDatabase.mServer->nextPendingConnection()) {
    aDatabase.mSockets.push_back(socket);
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const auto session = std::make_shared<Session>();
    connect(socket, &QTcpSocket::readyRead, this, [=, this, &aDatabase] {
      session->mBuffer += socket->readAll();
      qsizetype end = 0;
      while ((end = session->mBuffer.indexOf("\r\n")) >= 0) {
        const auto line = session->mBuffer.left(end);
        session->mBuffer.remove(0, end + 2);
        const QPointer<QTcpSocket> weak(socket);
        QTimer::singleShot(WorkOf(line), this, [=, this, &aDatabase] {
          if (!weak) {
            return;
          }
          const auto before = aDatabase.mLog.size();
          const auto answer = Start(aDatabase, *session, line);
          if (aDatabase.mLog.size() > before) {
            Deliver(aDatabase, weak, answer, aDatabase.Received());
          } else {
            weak->write(answer);
          }
        });
      }
    });
    connect(socket, &QTcpSocket::disconnected, this, [socket, &aDatabase] {
      std::erase(aDatabase.mSockets, socket);
      socket->deleteLater();
    });
  }
}

int
Databases::WorkOf(const QByteArray& aText)
{
  const bool isWork = aText.contains(" READ ") || aText.contains(" WRITE ") ||
                      aText.contains(" EXECUTE ") || aText.endsWith(" COMMIT");
  // The timers keep the order of the lines of a connection: callers await each
  // answer, except to commands that take no work.
  return isWork && !aText.contains(" PARSE ") ? kWorkMs : kMessageMs;
}

QByteArray
Databases::Start(Database& aDatabase,
                 Session& aSession,
                 const QByteArray& aLine)
{
  const auto words = aLine.split(' ');
  if (words[0] == "STARTUP") {
    aSession.mIsOpen =
      words.value(1) == mService.toUtf8() &&
      (words.size() < 4 || words[3] == aDatabase.mName.toUtf8());
    return aSession.mIsOpen ? "READY I " + aDatabase.Applied().ToText() + "\r\n"
                            : QByteArray("ERROR MOVED -\r\n");
  }
  const auto text = aLine.mid(aLine.indexOf(' ', 6) + 1);
  auto answer = Run(aDatabase, aSession, text);
  if (!text.startsWith("STATUS")) {
    mRecord(QString("%1 runs %2").arg(aDatabase.mName, QString(text)));
  }
  answer += "READY ";
  answer += !aSession.mIsInTransaction ? "I" : aSession.mHasFailed ? "E" : "T";
  return answer + " " + aDatabase.Applied().ToText() + "\r\n";
}

QByteArray
Databases::RunOrder(Database& aDatabase, const QList<QByteArray>& aWords)
{
  const auto term = aWords.value(1).toULongLong();
  if (aWords[0] == "PAUSE" && term > aDatabase.mTerm && !aDatabase.mIsPrimary) {
    aDatabase.mFencedTerm = std::max(aDatabase.mFencedTerm, term);
  } else if (aWords[0] == "RESUME") {
    aDatabase.mFencedTerm = 0;
    Replicate();
  } else if (aWords[0] == "STEPDOWN" && aDatabase.mIsPrimary &&
             term > aDatabase.mTerm) {
    aDatabase.mIsPrimary = false;
    Replicate();
    mOnRoles();
  }
  return "ROW " + QByteArray(aDatabase.mIsPrimary ? "primary " : "replica ") +
         QByteArray::number(aDatabase.mTerm) + " " +
         aDatabase.Received().ToText() + " " +
         QByteArray::number(aDatabase.mFencedTerm) + " 0 0 " +
         QByteArray::number(aDatabase.mSockets.size()) + "\r\nCOMPLETE -\r\n";
}

QByteArray
Databases::Run(Database& aDatabase, Session& aSession, QByteArray aText)
{
  std::optional<Position> after;
  if (aText.startsWith("AFTER ")) {
    const auto parts = aText.split(' ')[1].split('.');
    after = Position{ parts[0].toULongLong(), parts.value(1).toULongLong() };
    aText = aText.mid(aText.indexOf(' ', 6) + 1);
  }
  auto words = aText.split(' ');
  static const QList<QByteArray> kOrders{
    "STATUS", "PAUSE", "RESUME", "STEPDOWN"
  };
  if (kOrders.contains(words[0])) {
    return RunOrder(aDatabase, words);
  }
  const auto fail = [&](const QByteArray& aCode) {
    aSession.mHasFailed = aSession.mIsInTransaction;
    return "ERROR " + aCode + " " + aDatabase.mName.toUtf8() + "\r\n";
  };
  const QByteArray done = "COMPLETE -\r\n";
  if (words[0] == "ROLLBACK") {
    aSession.mIsInTransaction = false;
    aSession.mHasFailed = false;
    aSession.mStaged.clear();
    return done;
  }
  if (aSession.mHasFailed && words[0] != "COMMIT") {
    return "ERROR MALFORMED -\r\n";
  }
  if (after && *after > aDatabase.Applied()) {
    return fail("LAGGING");
  }
  if (words[0] == "BEGIN") {
    aSession.mIsReadOnly = words.value(1) == "READ";
    if (!aSession.mIsReadOnly && !aDatabase.mIsPrimary) {
      return fail("READONLY");
    }
    aSession.mIsInTransaction = true;
    return done;
  }
  if (words[0] == "COMMIT") {
    return Commit(aDatabase, aSession);
  }
  if (words[0] == "PARSE") {
    aSession.mPrepared[words.value(1)] = { words.value(2) == "WRITE",
                                           words.mid(3).join(' ') };
    return done;
  }
  if (words[0] == "DISCARD") {
    aSession.mPrepared.clear();
    return done;
  }
  if (words[0] == "EXECUTE") {
    const auto it = aSession.mPrepared.find(words.value(1));
    if (it == aSession.mPrepared.end()) {
      return fail("NOSTMT");
    }
    words.removeAt(1);
    words[0] = it->second.first ? "WRITE" : "READ";
  }
  const auto signature = [&] {
    return "COMPLETE " + QByteArray::number(aDatabase.mTerm) + "." +
           QByteArray::number(++mSignatures) + ".s\r\n";
  };
  const bool isPlain = aSession.mIsInTransaction && !aSession.mIsReadOnly;
  if ((words[0] == "WRITE" || isPlain) && !aDatabase.mIsPrimary) {
    return fail("READONLY");
  }
  if (words[0] == "WRITE") {
    const auto data = words.mid(2).join(' ');
    if (aSession.mIsInTransaction) {
      aSession.mStaged.emplace_back(words.value(1), data);
    } else {
      Append(aDatabase, words.value(1), data);
    }
    return signature();
  }
  if (words[0] == "READ") {
    QByteArray row = "-";
    for (size_t n = 0; n < aDatabase.mApplied; ++n) {
      const auto& it = aDatabase.mLog[n];
      row = it.mItem == words.value(1) ? it.mData : row;
    }
    return "ROW " + row + "\r\n" + signature();
  }
  return done;
}

QByteArray
Databases::Commit(Database& aDatabase, Session& aSession)
{
  const auto staged = std::exchange(aSession.mStaged, {});
  const bool hasFailed = std::exchange(aSession.mHasFailed, false);
  aSession.mIsInTransaction = false;
  if (hasFailed) {
    return "ERROR ABORTED -\r\n";
  }
  if (!staged.empty() && !aDatabase.mIsPrimary) {
    return "ERROR READONLY " + aDatabase.mName.toUtf8() + "\r\n";
  }
  for (const auto& [item, data] : staged) {
    Append(aDatabase, item, data);
  }
  return "COMPLETE " + QByteArray::number(aDatabase.mTerm) + "." +
         QByteArray::number(++mSignatures) + ".c\r\n";
}

void
Databases::Append(Database& aDatabase,
                  const QByteArray& aItem,
                  const QByteArray& aData)
{
  const auto number = aDatabase.Received().mNumber + 1;
  aDatabase.mLog.push_back({ { aDatabase.mTerm, number }, aItem, aData });
  aDatabase.mApplied = aDatabase.mLog.size();
  QTimer::singleShot(kMessageMs, this, [this] { Replicate(); });
}

}
