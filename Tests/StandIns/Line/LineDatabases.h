#pragma once

#include <QTcpServer>
#include <QTcpSocket>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayaline {

/// Three databases of one group that speak the line protocol on loopback ports.
/// Commits reach the live replicas at once. Lives in the test's event loop.
class LineDatabases : public QObject
{
public:
  struct Database
  {
    std::string mName;
    bool mIsPrimary = false;
    bool mIsAlive = true;
    uint64_t mTerm = 1;
    uint64_t mFencedTerm = 0;
    uint64_t mOffset = 0;
    std::map<std::string, std::string> mRows;
    std::unique_ptr<QTcpServer> mServer;
    std::vector<QTcpSocket*> mSockets;
    size_t mWrites = 0;
  };

  LineDatabases();
  ~LineDatabases() override;

  Database& At(const std::string& aName);
  Database& Primary();
  std::vector<std::unique_ptr<Database>>& All() { return mDatabases; }
  /// Closes the port and all connections.
  void Kill(const std::string& aName);
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
