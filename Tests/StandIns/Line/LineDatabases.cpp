#include "LineDatabases.h"

#include <QHostAddress>
#include <algorithm>

namespace papayaline {

namespace {

QByteArray
FormatPosition(const LineDatabases::Database& aDatabase)
{
  return QByteArray::number(quint64(aDatabase.mTerm)) + "." +
         QByteArray::number(quint64(aDatabase.mOffset));
}

}

LineDatabases::LineDatabases()
{
  for (const auto* it : { "db-a", "db-b", "db-c" }) {
    auto database = std::make_unique<Database>();
    database->mName = it;
    database->mIsPrimary = mDatabases.empty();
    database->mServer = std::make_unique<QTcpServer>();
    database->mServer->listen(QHostAddress::LocalHost);
    database->mPort = database->mServer->serverPort();
    connect(database->mServer.get(),
            &QTcpServer::newConnection,
            this,
            [this, at = database.get()] { Accept(*at); });
    mDatabases.push_back(std::move(database));
  }
}

LineDatabases::~LineDatabases()
{
  for (const auto& it : mDatabases) {
    for (auto* socket : it->mSockets) {
      socket->disconnect(this);
    }
  }
}

LineDatabases::Database&
LineDatabases::At(const std::string& aName)
{
  return **std::ranges::find_if(
    mDatabases, [&](const auto& aIt) { return aIt->mName == aName; });
}

LineDatabases::Database&
LineDatabases::Primary()
{
  return **std::ranges::max_element(mDatabases, {}, [](const auto& aIt) {
    return std::pair(aIt->mIsPrimary, aIt->mTerm);
  });
}

QJsonObject
LineDatabases::DirectoryEntryOf(const Database& aDatabase, quint16 aPort)
{
  return { { "backend", "group-1" },
           { "address", "127.0.0.1:" + QString::number(aPort) },
           { "zone", "z" },
           { "slots", 3 },
           { "state", "ready" },
           { "coldLeftMs", 0 },
           { "dbRole", aDatabase.mIsPrimary ? "primary" : "replica" },
           { "born", 1 } };
}

void
LineDatabases::Kill(const std::string& aName)
{
  auto& database = At(aName);
  database.mIsAlive = false;
  database.mServer->close();
  const auto sockets = std::exchange(database.mSockets, {});
  for (auto* it : sockets) {
    it->abort();
  }
}

bool
LineDatabases::Promote(const std::string& aName)
{
  auto& database = At(aName);
  if (!database.mIsAlive) {
    return false;
  }
  if (database.mIsPrimary && &database == &Primary()) {
    return true;
  }
  uint64_t term = 0;
  for (const auto& it : mDatabases) {
    term = std::max(term, it->mTerm + 1);
  }
  database.mIsPrimary = true;
  database.mTerm = term;
  database.mFencedTerm = 0;
  for (auto& it : mDatabases) {
    if (it.get() != &database && it->mIsAlive && !it->mIsIsolated) {
      it->mFencedTerm = 0;
      CatchUp(*it);
    }
  }
  return true;
}

void
LineDatabases::Restart(const std::string& aName)
{
  auto& database = At(aName);
  database.mIsAlive = true;
  database.mFencedTerm = 0;
  database.mServer->listen(QHostAddress::LocalHost, database.mPort);
  CatchUp(database);
}

void
LineDatabases::SetIsolated(const std::string& aName, bool aIsIsolated)
{
  At(aName).mIsIsolated = aIsIsolated;
  // A primary that was promoted while it was isolated is followed from now on.
  std::ranges::for_each(mDatabases, [this](const auto& it) { CatchUp(*it); });
}

bool
LineDatabases::IsReceiving(const Database& aDatabase)
{
  const auto& primary = Primary();
  return &aDatabase != &primary && aDatabase.mIsAlive &&
         !aDatabase.mIsIsolated && aDatabase.mFencedTerm == 0 &&
         primary.mIsPrimary && primary.mIsAlive && !primary.mIsIsolated;
}

void
LineDatabases::CatchUp(Database& aDatabase)
{
  if (!IsReceiving(aDatabase)) {
    return;
  }
  const auto& primary = Primary();
  aDatabase.mIsPrimary = false;
  aDatabase.mTerm = primary.mTerm;
  aDatabase.mOffset = primary.mOffset;
  aDatabase.mRows = primary.mRows;
  aDatabase.mLog = primary.mLog;
}

void
LineDatabases::Accept(Database& aDatabase)
{
  while (auto* socket = aDatabase.mServer->nextPendingConnection()) {
    aDatabase.mSockets.push_back(socket);
    const auto connection = std::make_shared<Connection>();
    connect(socket, &QTcpSocket::readyRead, this, [=, this, &aDatabase] {
      connection->mBuffer += socket->readAll();
      qsizetype end = 0;
      while ((end = connection->mBuffer.indexOf("\r\n")) >= 0) {
        const auto line = connection->mBuffer.left(end);
        connection->mBuffer.remove(0, end + 2);
        aDatabase.mReceived.push_back(line);
        const auto answer = HandleLine(aDatabase, *connection, line);
        if (!aDatabase.mIsSilent) {
          socket->write(answer);
        }
      }
    });
    connect(socket, &QTcpSocket::disconnected, this, [socket, &aDatabase] {
      std::erase(aDatabase.mSockets, socket);
      socket->deleteLater();
    });
  }
}

QByteArray
LineDatabases::HandleLine(Database& aDatabase,
                          Connection& aConnection,
                          const QByteArray& aLine)
{
  const auto ready = [&] {
    return QByteArray("READY ") + (aConnection.mIsInTransaction ? "T " : "I ") +
           FormatPosition(aDatabase) + "\r\n";
  };
  const auto words = aLine.split(' ');
  if (words[0] == "STARTUP") {
    aConnection.mAccount = words.value(2).toStdString();
  }
  if (mOnLine) {
    mOnLine(aConnection.mAccount, aLine);
  }
  if (words[0] == "STARTUP") {
    const bool isExpectedDatabase = words.size() == 4 &&
                                    words[1] == "group-1" &&
                                    words[3].toStdString() == aDatabase.mName;
    return isExpectedDatabase ? ready() : QByteArray("ERROR MOVED -\r\n");
  }
  const auto text = aLine.mid(aLine.indexOf(' ', 6) + 1);
  const auto answer = RunStatement(aDatabase, aConnection, text);
  return answer + ready();
}

QByteArray
LineDatabases::RunStatement(Database& aDatabase,
                            Connection& aConnection,
                            QByteArray aText)
{
  if (aText.startsWith("AFTER ")) {
    aText = aText.mid(aText.indexOf(' ', 6) + 1);
  }
  const auto words = aText.split(' ');
  const auto& word = words[0];
  const QByteArray completion = "COMPLETE -\r\n";
  const QByteArray signedCompletion =
    "COMPLETE signed-by-" + QByteArray::fromStdString(aDatabase.mName) + "\r\n";
  if (word == "STATUS" || word == "PAUSE" || word == "RESUME" ||
      word == "STEPDOWN") {
    if (word == "PAUSE") {
      aDatabase.mFencedTerm = words[1].toULongLong();
    } else if (word == "RESUME") {
      aDatabase.mFencedTerm = 0;
      CatchUp(aDatabase);
    } else if (word == "STEPDOWN") {
      aDatabase.mIsPrimary = false;
      CatchUp(aDatabase);
    }
    return QByteArray("ROW ") +
           (aDatabase.mIsPrimary ? "primary " : "replica ") +
           QByteArray::number(quint64(aDatabase.mTerm)) + " " +
           FormatPosition(aDatabase) + " " +
           QByteArray::number(quint64(aDatabase.mFencedTerm)) + " 0 0 " +
           QByteArray::number(aDatabase.mSockets.size()) + "\r\n" + completion;
  }
  if (word == "WRITE" || aText == "BEGIN") {
    if (!aDatabase.mIsPrimary) {
      return "ERROR READONLY -\r\n";
    }
  }
  if (word == "BEGIN" || word == "ROLLBACK") {
    aConnection.mIsInTransaction = word == "BEGIN";
    aConnection.mStaged.clear();
    return completion;
  }
  if (word == "WRITE") {
    const auto item = words[1].toStdString();
    const auto value = aText.mid(aText.indexOf(' ', 6) + 1).toStdString();
    if (aConnection.mIsInTransaction) {
      aConnection.mStaged.emplace_back(item, value);
    } else {
      Commit(aDatabase, item, value);
    }
    return signedCompletion;
  }
  if (word == "COMMIT") {
    if (!aConnection.mStaged.empty() && !aDatabase.mIsPrimary) {
      aConnection.mStaged.clear();
      aConnection.mIsInTransaction = false;
      return "ERROR READONLY -\r\n";
    }
    for (const auto& [item, value] : aConnection.mStaged) {
      Commit(aDatabase, item, value);
    }
    aConnection.mStaged.clear();
    aConnection.mIsInTransaction = false;
    return signedCompletion;
  }
  if (word == "READ") {
    const auto row = aDatabase.mRows[words[1].toStdString()];
    return "ROW " + QByteArray::fromStdString(row) + "\r\n" + signedCompletion;
  }
  return completion;
}

void
LineDatabases::Commit(Database& aDatabase,
                      const std::string& aItem,
                      const std::string& aValue)
{
  ++aDatabase.mWrites;
  ++aDatabase.mOffset;
  aDatabase.mRows[aItem] = aValue;
  aDatabase.mLog.push_back(aValue);
  if (&aDatabase != &Primary()) {
    return;
  }
  for (auto& it : mDatabases) {
    if (!IsReceiving(*it)) {
      continue;
    }
    if (it->mTerm != aDatabase.mTerm || it->mOffset + 1 != aDatabase.mOffset) {
      CatchUp(*it);
      continue;
    }
    it->mOffset = aDatabase.mOffset;
    it->mRows[aItem] = aValue;
    it->mLog.push_back(aValue);
  }
}

}
