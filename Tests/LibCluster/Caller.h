#pragma once

#include <libpq-fe.h>

#include <memory>
#include <string>
#include <vector>

namespace papayaline {

/// The result of one statement as received by the caller.
struct CallerResult
{
  bool mIsOk = false;
  std::string mSqlState;
  std::string mMessage;
  std::string mTag;
  std::vector<std::vector<std::string>> mRows;
  /// No complete response arrived, so the caller does not know the outcome.
  bool mIsLost = false;

  /// The first cell of the first row; empty without rows.
  std::string Cell() const;
};

/// A blocking caller that uses libpq. Without a connection each statement fails
/// with an empty SQLSTATE.
class Caller
{
public:
  /// Connects to aPort on the loopback address; check with IsConnected().
  /// aOptions holds settings in the form "-c name=value".
  Caller(unsigned short aPort,
         const std::string& aGroup,
         const std::string& aOptions = {},
         const std::string& aUser = "agents");

  /// Timeout of a statement, after which the connection is closed.
  static constexpr int kTimeoutMs = 10'000;

  bool IsConnected() const;
  CallerResult Run(const std::string& aSql);
  CallerResult RunParams(const std::string& aSql,
                         const std::vector<std::string>& aValues);
  /// The session token that the instance reported most recently.
  std::string Token() const;
  std::string ErrorText() const;
  PGconn* Handle() const { return mConnection.get(); }

private:
  CallerResult AwaitResult();

  struct Closer
  {
    void operator()(PGconn* aIt) const { PQfinish(aIt); }
  };
  std::unique_ptr<PGconn, Closer> mConnection;
};

}
