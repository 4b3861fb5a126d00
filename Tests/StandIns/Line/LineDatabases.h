#pragma once

#include <QJsonObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayaline {

/// Three in-process databases of one group that serve the line protocol on
/// loopback ports. A commit is replicated at once to all replicas that run and
/// are neither isolated nor fenced. Uses the event loop of the test's thread.
class LineDatabases : public QObject
{
public:
  struct Database
  {
    std::string mName;
    bool mIsPrimary = false;
    bool mIsAlive = true;
    /// Accepts connections, but doesn't replicate and isn't notified of
    /// promotions.
    bool mIsIsolated = false;
    /// Answers nothing.
    bool mIsSilent = false;
    uint64_t mTerm = 1;
    uint64_t mFencedTerm = 0;
    uint64_t mOffset = 0;
    std::map<std::string, std::string> mRows;
    /// The committed values, in commit order.
    std::vector<std::string> mLog;
    std::unique_ptr<QTcpServer> mServer;
    quint16 mPort = 0;
    std::vector<QTcpSocket*> mSockets;
    size_t mWrites = 0;
    /// All lines that arrived, in order.
    std::vector<QByteArray> mReceived;
  };

  LineDatabases();
  ~LineDatabases() override;

  /// Receives each line that arrives, with the client account of its
  /// connection; may be null.
  std::function<void(const std::string& aAccount, const QByteArray& aLine)>
    mOnLine;

  Database& At(const std::string& aName);
  Database& Primary();
  std::vector<std::unique_ptr<Database>>& All() { return mDatabases; }
  /// Returns the directory entry that a database writes to the store. aPort is
  /// the port at which it is reachable.
  static QJsonObject DirectoryEntryOf(const Database& aDatabase, quint16 aPort);
  /// Stops a database: closes its port and aborts all its connections.
  void Kill(const std::string& aName);
  /// Restarts a killed database on its port with its former log and without a
  /// fence, and lets it catch up with the primary.
  void Restart(const std::string& aName);
  void SetIsolated(const std::string& aName, bool aIsIsolated);
  /// Makes a database the primary of a new, highest term, unless it is that
  /// primary already. Returns false if the database doesn't run.
  bool Promote(const std::string& aName);

private:
  struct Connection
  {
    QByteArray mBuffer;
    std::string mAccount;
    bool mIsInTransaction = false;
    std::vector<std::pair<std::string, std::string>> mStaged;
  };

  /// Returns whether a database replicates from the primary of the highest
  /// term.
  bool IsReceiving(const Database& aDatabase);
  /// Replaces the state of a lagging or diverged database by the primary's.
  void CatchUp(Database& aDatabase);
  void Accept(Database& aDatabase);
  QByteArray HandleLine(Database& aDatabase,
                        Connection& aConnection,
                        const QByteArray& aLine);
  QByteArray RunStatement(Database& aDatabase,
                          Connection& aConnection,
                          QByteArray aText);
  void Commit(Database& aDatabase,
              const std::string& aItem,
              const std::string& aValue);

  std::vector<std::unique_ptr<Database>> mDatabases;
};

}
