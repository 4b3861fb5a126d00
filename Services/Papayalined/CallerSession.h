#pragma once

#include "CallerTransaction.h"
#include "LibDecision/StatementKind.h"
#include "LibWire/FrameReader.h"
#include "LibWire/MessageParser.h"
#include "ScramServer.h"
#include "SessionParameters.h"
#include "WorkerPool.h"

#include <QSslConfiguration>
#include <QSslSocket>
#include <QTimer>

namespace papayaline {

/// State shared by all caller sessions of an instance. Immutable after start.
struct CallerContext
{
  ControlState& mControlState;
  WorkerPool& mWorkers;
  std::optional<QSslConfiguration> mTls;
};

/// A caller's connection. Implements the server side of the PostgreSQL v3
/// protocol and submits requests to the engine of the caller's group. Starts on
/// any worker and moves to the group's worker after authentication.
/// Thread safety: the thread of its worker.
class CallerSession : public QObject
{
public:
  /// Takes ownership of the socket descriptor.
  /// Precondition: called on the thread of aWorker.
  CallerSession(CallerContext& aContext, Worker& aWorker, qintptr aDescriptor);
  ~CallerSession() override;

  /// Closes the connection with SQLSTATE 57P01 if no request, transaction or
  /// unsent response is pending.
  void CloseIfIdle();

  const QByteArray& Group() const { return mParameters.Group(); }

  /// Cancels the queued read of the session with this key, on whichever worker
  /// it runs. A request that has been dispatched continues.
  static void Cancel(CallerContext& aContext,
                     quint32 aProcessId,
                     quint32 aSecret);

private:
  enum class State
  {
    Startup,
    Authenticating,
    Ready,
    /// A request is in flight; messages behind it stay in the buffer.
    Busy,
    Closing,
  };
  enum class Protocol
  {
    Simple,
    Extended,
  };
  struct PreparedStatement
  {
    ParseMessage mParse;
    ClassifiedStatement mClassified;
  };
  struct Portal
  {
    BindMessage mBind;
    PreparedStatement mStatement;
    bool mIsDescribed = false;
  };

  void ProcessInput();
  void HandleStartup(const QByteArray& aBody);
  void StartTls();
  void StartAuthentication();
  void HandleAuthentication(const Frame& aFrame);
  void ScheduleMoveToGroupWorker();
  void MoveToGroupWorker();
  void FinishStartup();
  void HandleFrame(const Frame& aFrame);
  void CancelQueuedRequest();

  void HandleQuery(const Frame& aFrame);
  void HandleParse(const Frame& aFrame);
  void HandleBind(const Frame& aFrame);
  void HandleDescribe(const Frame& aFrame);
  void HandleExecute(const Frame& aFrame);
  void HandleClose(const Frame& aFrame);
  void HandleSync();

  void Execute(const UpstreamStatement& aStatement,
               const ClassifiedStatement& aClassified);
  void ExecuteRequest(const UpstreamStatement& aStatement, StatementKind aKind);
  void ExecuteSet(const ClassifiedStatement& aClassified);
  void ExecuteShow(const ClassifiedStatement& aClassified);
  void BeginTransaction(StatementKind aKind);
  void EndTransaction(StatementKind aKind);
  Request MakeRequest(const UpstreamStatement& aStatement);
  ResponseHandler MakeResponseHandler();
  void OnResponse(const Response& aResponse);
  void WriteResponse(const Response& aResponse);
  void FinishStatement();
  void FailStatement(const Error& aError);
  void CloseWithError(const Error& aError);
  void SendReady();
  void Flush();
  TransactionStatus Status() const;

  CallerContext& mContext;
  Worker* mWorker;
  /// A QSslSocket if TLS is configured.
  QTcpSocket* mSocket;
  QTimer mStartupTimer;
  FrameReader mReader;
  MessageWriter mWriter;
  SessionParameters mParameters;
  std::optional<ScramServer> mScram;
  bool mIsScramChallenged = false;
  State mState = State::Startup;
  Protocol mProtocol = Protocol::Simple;
  /// After an error, extended-protocol messages are ignored up to the next
  /// Sync.
  bool mSkipToSync = false;
  QMap<QByteArray, PreparedStatement> mStatements;
  QMap<QByteArray, Portal> mPortals;
  bool mSendsRowDescription = true;
  std::shared_ptr<CallerTransaction> mTransaction;
  std::optional<LogPosition> mLastWritePosition;
  bool mIsTokenChanged = false;
  quint32 mProcessId = 0;
  quint32 mSecret = 0;
  uint64_t mCurrentOperation = 0;
  bool mIsProcessing = false;
};

}
