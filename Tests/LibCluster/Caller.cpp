#include "Caller.h"

#include <chrono>
#include <poll.h>

namespace papayaline {

namespace {

CallerResult
ConvertResult(PGresult* aResult)
{
  CallerResult result;
  const auto status = PQresultStatus(aResult);
  result.mIsOk = status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK;
  const char* state = PQresultErrorField(aResult, PG_DIAG_SQLSTATE);
  result.mSqlState = state ? state : "";
  result.mMessage = PQresultErrorMessage(aResult);
  result.mTag = PQcmdStatus(aResult);
  for (int row = 0; row < PQntuples(aResult); ++row) {
    auto& cells = result.mRows.emplace_back();
    for (int it = 0; it < PQnfields(aResult); ++it) {
      cells.emplace_back(PQgetvalue(aResult, row, it));
    }
  }
  PQclear(aResult);
  return result;
}

}

std::string
CallerResult::Cell() const
{
  return mRows.empty() || mRows[0].empty() ? std::string() : mRows[0][0];
}

Caller::Caller(unsigned short aPort,
               const std::string& aGroup,
               const std::string& aOptions,
               const std::string& aUser)
{
  const auto port = std::to_string(aPort);
  const char* keys[] = { "hostaddr", "port",    "dbname",     "user",
                         "options",  "sslmode", "gssencmode", "connect_timeout",
                         nullptr };
  const char* values[] = { "127.0.0.1",      port.c_str(),
                           aGroup.c_str(),   aUser.c_str(),
                           aOptions.c_str(), "disable",
                           "disable",        "5",
                           nullptr };
  mConnection.reset(PQconnectdbParams(keys, values, 0));
}

bool
Caller::IsConnected() const
{
  return PQstatus(mConnection.get()) == CONNECTION_OK;
}

/// Reads all results of the command. Returns the first failure, or the last
/// result if none failed.
CallerResult
Caller::AwaitResult()
{
  CallerResult result;
  result.mIsLost = true;
  const auto deadline =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(kTimeoutMs);
  for (;;) {
    while (PQisBusy(mConnection.get()) != 0) {
      const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
          deadline - std::chrono::steady_clock::now());
      pollfd waiting{ PQsocket(mConnection.get()), POLLIN, 0 };
      const bool isReadable =
        remaining.count() > 0 &&
        poll(&waiting, 1, static_cast<int>(remaining.count())) > 0;
      if (!isReadable || PQconsumeInput(mConnection.get()) == 0) {
        result.mIsOk = false;
        result.mIsLost = true;
        mConnection.reset();
        return result;
      }
    }
    PGresult* next = PQgetResult(mConnection.get());
    if (!next) {
      break;
    }
    const bool hasFailed = !result.mIsLost && !result.mIsOk;
    if (hasFailed) {
      PQclear(next);
    } else {
      result = ConvertResult(next);
    }
  }
  if (PQstatus(mConnection.get()) != CONNECTION_OK &&
      result.mSqlState.empty()) {
    result.mIsOk = false;
    result.mIsLost = true;
  }
  return result;
}

CallerResult
Caller::Run(const std::string& aSql)
{
  if (!IsConnected() || PQsendQuery(mConnection.get(), aSql.c_str()) == 0) {
    CallerResult lost;
    lost.mIsLost = true;
    return lost;
  }
  return AwaitResult();
}

CallerResult
Caller::RunParams(const std::string& aSql,
                  const std::vector<std::string>& aValues)
{
  std::vector<const char*> values;
  for (const auto& it : aValues) {
    values.push_back(it.c_str());
  }
  if (!IsConnected() || PQsendQueryParams(mConnection.get(),
                                          aSql.c_str(),
                                          static_cast<int>(values.size()),
                                          nullptr,
                                          values.data(),
                                          nullptr,
                                          nullptr,
                                          0) == 0) {
    CallerResult lost;
    lost.mIsLost = true;
    return lost;
  }
  return AwaitResult();
}

std::string
Caller::Token() const
{
  const char* token =
    PQparameterStatus(mConnection.get(), "papayaline.session_token");
  return token ? token : "";
}

std::string
Caller::ErrorText() const
{
  return PQerrorMessage(mConnection.get());
}

}
