#pragma once

#include <QJsonObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayaline {

/// Three databases of one group that speak the line protocol on loopback ports.
/// Commits reach the replicas at once that live and are not isolated. Lives in
/// the test's event loop.
class LineDatabases : public QObject
{
public:
  struct Database
  {
    std::string mName;
    bool mIsPrimary = false;
    bool mIsAlive = true;
    /// Takes connections, but neither replicates nor learns of promotions.
    bool mIsIsolated = false;
    uint64_t mTerm = 1;
    uint64_t mFencedTerm = 0;
    uint64_t mOffset = 0;
    std::map<std::string, std::string> mRows;
    /// The values that were committed, in order.
    std::vector<std::string> mLog;
    std::unique_ptr<QTcpServer> mServer;
    quint16 mPort = 0;
    std::vector<QTcpSocket*> mSockets;
    size_t mWrites = 0;
  };

  LineDatabases();
  ~LineDatabases() override;

  Database& At(const std::string& aName);
  Database& Primary();
  std::vector<std::unique_ptr<Database>>& All() { return mDatabases; }
  /// What a database writes of itself into the store; aPort is where it is
  /// reached.
  static QJsonObject EntryOf(const Database& aDatabase, quint16 aPort);
  /// Closes the port and all connections.
  void Kill(const std::string& aName);
  /// Starts it again on its port, with the log that it had.
  void Revive(const std::string& aName);
  void SetIsolated(const std::string& aName, bool aIsIsolated);
  /// False when the database does not run.
  bool Promote(const std::string& aName);

private:
  struct Connection
  {
    QByteArray mBuffer;
    bool mIsOpen = false;
    bool mIsInTransaction = false;
    std::vector<std::pair<std::string, std::string>> mStaged;
  };

  /// Whether a database receives from the primary of the highest term.
  bool IsReceiving(const Database& aDatabase);
  /// Makes a database that lagged or went its own way equal to the primary.
  void CatchUp(Database& aDatabase);
  void Accept(Database& aDatabase);
  QByteArray Answer(Database& aDatabase,
                    Connection& aConnection,
                    const QByteArray& aLine);
  QByteArray Run(Database& aDatabase,
                 Connection& aConnection,
                 QByteArray aText);
  void Commit(Database& aDatabase,
              const std::string& aItem,
              const std::string& aValue);

  std::vector<std::unique_ptr<Database>> mDatabases;
};

}
