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

/// A non-blocking libpq connection in pipeline mode that runs one batch at a
/// time. A connection with an unfinished answer is Busy and can't be given
/// another batch. Thread safety: one thread.
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

  /// Starts to connect. aOnReady is called once; aOnClosed at most once, after
  /// the handler of a batch that was lost. Neither is called from within this
  /// constructor or after destruction.
  UpstreamConnection(const Address& aAddress,
                     const GroupConfiguration& aGroup,
                     QObject* aParent,
                     StateHandler aOnReady,
                     StateHandler aOnClosed);
  ~UpstreamConnection() override;

  State GetState() const { return mState; }

  /// Sends all statements with one sync at the end.
  /// Precondition: GetState() == Ready and aBatch is not empty.
  void Run(const std::vector<UpstreamStatement>& aBatch, BatchHandler aHandler);

  /// Closes at once; a batch under way is reported as lost.
  void Close();

  /// Why the connection closed or could not be made.
  const std::string& LastError() const { return mLastError; }

private:
  void Start(const Address& aAddress, const GroupConfiguration& aGroup);
  void PollConnect();
  void Watch(bool aForWrite);
  void OnReadable();
  void ReadResults();
  void TakeResult(PGresult* aResult);
  void FinishBatch();
  void Flush();
  void Fail();

  struct Closer
  {
    void operator()(PGconn* aIt) const { PQfinish(aIt); }
  };

  std::unique_ptr<PGconn, Closer> mConnection;
  std::unique_ptr<QSocketNotifier> mReadNotifier;
  std::unique_ptr<QSocketNotifier> mWriteNotifier;
  QTimer mConnectTimer;
  State mState = State::Connecting;
  StateHandler mOnReady;
  StateHandler mOnClosed;
  BatchHandler mHandler;
  BatchResult mBatch;
  size_t mCurrent = 0;
  std::string mLastError;
};

}
