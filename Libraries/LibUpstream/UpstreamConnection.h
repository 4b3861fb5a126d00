#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibUpstream/UpstreamStatement.h"

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>
#include <functional>
#include <libpq-fe.h>
#include <memory>

namespace papayaline {

/// A non-blocking libpq connection in pipeline mode that runs one batch of
/// statements at a time. While the results of a batch are outstanding, the
/// connection is Busy and accepts no other batch. Thread safety: one thread.
class UpstreamConnection : public QObject
{
public:
  enum class State
  {
    Connecting,
    Ready,
    Busy,
    Closed,
  };
  using BatchHandler = std::function<void(const BatchResult&)>;
  using StateHandler = std::function<void()>;

  /// Starts to connect. aOnReady is called at most once, when the connection is
  /// established; aOnClosed at most once, after the handler of the batch that
  /// was running, if any. Neither is called from within this constructor or
  /// after destruction.
  UpstreamConnection(const Address& aAddress,
                     const GroupConfiguration& aGroup,
                     QObject* aParent,
                     StateHandler aOnReady,
                     StateHandler aOnClosed);
  ~UpstreamConnection() override;

  State GetState() const { return mState; }

  /// Sends all statements in one pipeline with one Sync at the end. A statement
  /// that fails makes the database skip the rest of the batch.
  /// Precondition: GetState() == Ready and aBatch is not empty.
  void Run(const std::vector<UpstreamStatement>& aBatch, BatchHandler aHandler);

  /// Closes immediately. The handler of a running batch is called with mIsLost
  /// set.
  void Close();

  /// The reason why the connection failed or could not be established.
  const std::string& LastError() const { return mLastError; }

private:
  void Start(const Address& aAddress, const GroupConfiguration& aGroup);
  void PollConnect();
  void RecreateNotifiers(bool aForWrite);
  void OnReadable();
  void ReadResults();
  void StoreResult(PGresult* aResult);
  void FinishBatch();
  void Flush();
  void Fail();

  struct ConnectionDeleter
  {
    void operator()(PGconn* aConnection) const { PQfinish(aConnection); }
  };

  std::unique_ptr<PGconn, ConnectionDeleter> mConnection;
  std::unique_ptr<QSocketNotifier> mReadNotifier;
  std::unique_ptr<QSocketNotifier> mWriteNotifier;
  QTimer mConnectTimer;
  State mState = State::Connecting;
  StateHandler mOnReady;
  StateHandler mOnClosed;
  BatchHandler mHandler;
  BatchResult mBatch;
  size_t mCurrentStatement = 0;
  std::string mLastError;
};

}
