#pragma once

#include <libpq-fe.h>

#include <memory>
#include <string>
#include <vector>

namespace papayaline {

/// What a caller saw of one statement.
struct CallerResult
{
  bool mIsOk = false;
  std::string mSqlState;
  std::string mMessage;
  std::string mTag;
  std::vector<std::vector<std::string>> mRows;
  /// No whole answer came: the outcome is not known to the caller.
  bool mIsLost = false;

  /// The only cell, or an empty text.
  std::string Cell() const;
};

/// A caller through libpq. Without a connection each statement fails with an
/// empty SQLSTATE.
class Caller
{
public:
  /// aOptions are "-c name=value" settings.
  Caller(unsigned short aPort,
         const std::string& aGroup,
         const std::string& aOptions = {},
         const std::string& aUser = "agents");

  /// How long a statement may take; then the connection is given up.
  static constexpr int kTimeoutMs = 10'000;

  bool IsConnected() const;
  CallerResult Run(const std::string& aSql);
  CallerResult RunParams(const std::string& aSql,
                         const std::vector<std::string>& aValues);
  /// The session token that the instance reported last.
  std::string Token() const;
  std::string ErrorText() const;
  PGconn* Handle() const { return mConnection.get(); }

private:
  CallerResult Await();

  struct Closer
  {
    void operator()(PGconn* aIt) const { PQfinish(aIt); }
  };
  std::unique_ptr<PGconn, Closer> mConnection;
};

}
