#include "LibUpstream/UpstreamConnection.h"

#include <QPointer>
#include <algorithm>
#include <utility>

namespace papayaline {

namespace {

constexpr int kConnectTimeoutMs = 2000;

std::vector<Column>
DecodeColumns(const PGresult* aResult)
{
  std::vector<Column> columns;
  for (int it = 0; it < PQnfields(aResult); ++it) {
    columns.push_back({ PQfname(aResult, it),
                        PQftype(aResult, it),
                        static_cast<qint16>(PQfsize(aResult, it)),
                        PQfmod(aResult, it),
                        static_cast<qint16>(PQfformat(aResult, it)) });
  }
  return columns;
}

Row
DecodeRow(const PGresult* aResult, int aRow)
{
  Row row;
  for (int it = 0; it < PQnfields(aResult); ++it) {
    if (PQgetisnull(aResult, aRow, it) != 0) {
      row.emplace_back(std::nullopt);
    } else {
      row.emplace_back(QByteArray(PQgetvalue(aResult, aRow, it),
                                  PQgetlength(aResult, aRow, it)));
    }
  }
  return row;
}

void
StoreRows(const PGresult* aResult, StatementResult& aStatementResult)
{
  MessageWriter writer;
  const int n = PQntuples(aResult);
  for (int it = 0; it < n; ++it) {
    const auto row = DecodeRow(aResult, it);
    writer.DataRow(row);
    if (it == 0) {
      aStatementResult.mFirstRow = row;
    }
  }
  aStatementResult.mRowCount = static_cast<size_t>(n);
  aStatementResult.mEncodedRows = writer.Take();
}

}

UpstreamConnection::UpstreamConnection(const Address& aAddress,
                                       const GroupConfiguration& aGroup,
                                       QObject* aParent,
                                       StateHandler aOnReady,
                                       StateHandler aOnClosed)
  : QObject(aParent)
  , mOnReady(std::move(aOnReady))
  , mOnClosed(std::move(aOnClosed))
{
  Start(aAddress, aGroup);
}

UpstreamConnection::~UpstreamConnection() = default;

void
UpstreamConnection::Start(const Address& aAddress,
                          const GroupConfiguration& aGroup)
{
  const auto port = std::to_string(aAddress.mPort);
  const std::array keys = { "hostaddr",
                            "port",
                            "dbname",
                            "user",
                            "password",
                            "sslmode",
                            "gssencmode",
                            "application_name",
                            static_cast<const char*>(nullptr) };
  const std::array values = { aAddress.mHost.c_str(),
                              port.c_str(),
                              aGroup.mDatabase.c_str(),
                              aGroup.mUser.c_str(),
                              aGroup.mPassword.c_str(),
                              "prefer",
                              "disable",
                              "papayaline",
                              static_cast<const char*>(nullptr) };
  mConnection.reset(PQconnectStartParams(keys.data(), values.data(), 0));
  connect(&mConnectTimer, &QTimer::timeout, this, [this] {
    mLastError = "connection timed out";
    Fail();
  });
  mConnectTimer.setSingleShot(true);
  mConnectTimer.start(kConnectTimeoutMs);
  if (PQstatus(mConnection.get()) == CONNECTION_BAD) {
    QMetaObject::invokeMethod(
      this, [this] { Fail(); }, Qt::QueuedConnection);
    return;
  }
  RecreateNotifiers(true);
}

/// Libpq may change its socket while it connects, so each step recreates the
/// notifiers.
void
UpstreamConnection::RecreateNotifiers(bool aForWrite)
{
  const int fd = PQsocket(mConnection.get());
  const auto discard = [](std::unique_ptr<QSocketNotifier>& aNotifier) {
    if (aNotifier) {
      aNotifier->setEnabled(false);
      aNotifier.release()->deleteLater();
    }
  };
  discard(mReadNotifier);
  discard(mWriteNotifier);
  mReadNotifier = std::make_unique<QSocketNotifier>(fd, QSocketNotifier::Read);
  mWriteNotifier =
    std::make_unique<QSocketNotifier>(fd, QSocketNotifier::Write);
  mReadNotifier->setEnabled(!aForWrite);
  mWriteNotifier->setEnabled(aForWrite);
  for (auto* it : { mReadNotifier.get(), mWriteNotifier.get() }) {
    connect(it, &QSocketNotifier::activated, this, [this] {
      mState == State::Connecting ? PollConnect() : OnReadable();
    });
  }
}

void
UpstreamConnection::PollConnect()
{
  switch (PQconnectPoll(mConnection.get())) {
    case PGRES_POLLING_READING:
      RecreateNotifiers(false);
      return;
    case PGRES_POLLING_WRITING:
      RecreateNotifiers(true);
      return;
    case PGRES_POLLING_OK:
      break;
    default:
      Fail();
      return;
  }
  mConnectTimer.stop();
  PQsetnonblocking(mConnection.get(), 1);
  PQenterPipelineMode(mConnection.get());
  mState = State::Ready;
  RecreateNotifiers(false);
  mOnReady();
}

void
UpstreamConnection::Run(const std::vector<UpstreamStatement>& aBatch,
                        BatchHandler aHandler)
{
  mState = State::Busy;
  mHandler = std::move(aHandler);
  mBatch = {};
  mBatch.mResults.resize(aBatch.size());
  mCurrentStatement = 0;
  for (const auto& it : aBatch) {
    std::vector<const char*> values;
    std::vector<int> lengths;
    std::vector<int> formats;
    std::vector<Oid> types(it.mTypes.begin(), it.mTypes.end());
    types.resize(it.mValues.size());
    for (size_t at = 0; at < it.mValues.size(); ++at) {
      const auto& value = it.mValues[at];
      values.push_back(value ? value->constData() : nullptr);
      lengths.push_back(value ? static_cast<int>(value->size()) : 0);
      const auto& all = it.mFormats;
      formats.push_back(all.size() == 1   ? all.front()
                        : at < all.size() ? all[at]
                                          : 0);
    }
    PQsendQueryParams(mConnection.get(),
                      it.mSql.constData(),
                      static_cast<int>(values.size()),
                      types.data(),
                      values.data(),
                      lengths.data(),
                      formats.data(),
                      it.mResultFormat);
  }
  PQpipelineSync(mConnection.get());
  Flush();
}

void
UpstreamConnection::Flush()
{
  const int pending = PQflush(mConnection.get());
  if (pending < 0) {
    QMetaObject::invokeMethod(
      this, [this] { Fail(); }, Qt::QueuedConnection);
    return;
  }
  mWriteNotifier->setEnabled(pending > 0);
}

void
UpstreamConnection::OnReadable()
{
  if (mState == State::Closed) {
    return;
  }
  if (PQconsumeInput(mConnection.get()) == 0) {
    Fail();
    return;
  }
  Flush();
  ReadResults();
}

void
UpstreamConnection::ReadResults()
{
  while (mState == State::Busy && PQisBusy(mConnection.get()) == 0) {
    PGresult* result = PQgetResult(mConnection.get());
    if (!result) {
      if (PQstatus(mConnection.get()) == CONNECTION_BAD) {
        Fail();
        return;
      }
      ++mCurrentStatement;
      continue;
    }
    const bool isSync = PQresultStatus(result) == PGRES_PIPELINE_SYNC;
    if (!isSync) {
      StoreResult(result);
    }
    PQclear(result);
    if (PQstatus(mConnection.get()) == CONNECTION_BAD) {
      Fail();
      return;
    }
    if (isSync) {
      FinishBatch();
      return;
    }
  }
}

void
UpstreamConnection::StoreResult(PGresult* aResult)
{
  if (mCurrentStatement >= mBatch.mResults.size()) {
    return;
  }
  auto& stored = mBatch.mResults[mCurrentStatement];
  switch (PQresultStatus(aResult)) {
    case PGRES_TUPLES_OK:
      stored.mColumns = DecodeColumns(aResult);
      StoreRows(aResult, stored);
      stored.mTag = PQcmdStatus(aResult);
      return;
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY:
      stored.mTag = PQcmdStatus(aResult);
      return;
    case PGRES_PIPELINE_ABORTED:
      stored.mIsSkipped = true;
      return;
    default: {
      const char* state = PQresultErrorField(aResult, PG_DIAG_SQLSTATE);
      const char* text = PQresultErrorField(aResult, PG_DIAG_MESSAGE_PRIMARY);
      stored.mSqlState = state ? state : "XX000";
      stored.mMessage = text ? text : PQresultErrorMessage(aResult);
    }
  }
}

void
UpstreamConnection::FinishBatch()
{
  mState = State::Ready;
  const auto handler = std::exchange(mHandler, {});
  handler(std::exchange(mBatch, {}));
}

void
UpstreamConnection::Fail()
{
  if (mState == State::Closed) {
    return;
  }
  if (mLastError.empty()) {
    mLastError = PQerrorMessage(mConnection.get());
  }
  Close();
}

void
UpstreamConnection::Close()
{
  if (mState == State::Closed) {
    return;
  }
  mState = State::Closed;
  mConnectTimer.stop();
  for (auto* it : { &mReadNotifier, &mWriteNotifier }) {
    if (*it) {
      (*it)->setEnabled(false);
      it->release()->deleteLater();
    }
  }
  mConnection.reset();
  const QPointer<UpstreamConnection> self(this);
  if (const auto handler = std::exchange(mHandler, {})) {
    mBatch.mIsLost = true;
    handler(std::exchange(mBatch, {}));
  }
  if (self && mOnClosed) {
    std::exchange(mOnClosed, {})();
  }
}

}
