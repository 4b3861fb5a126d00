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

/// What all caller sessions of an instance share. Immutable after start.
struct CallerContext
{
  Blackboard& mBlackboard;
  WorkerPool& mWorkers;
  std::optional<QSslConfiguration> mTls;
};

/// One caller's connection: speaks the PostgreSQL v3 protocol and hands
/// requests to the engine of its group. It starts on any worker and moves to
/// the worker of its group. Thread safety: the thread that it lives on.
class CallerSession : public QObject
{
public:
  /// Takes over the descriptor. Must be created on aWorker's thread.
  CallerSession(CallerContext& aContext, Worker& aWorker, qintptr aDescriptor);
  ~CallerSession() override;

  /// Lets the caller go with 57P01 when it is between two requests.
  void ReleaseIfIdle();

  const QByteArray& Group() const { return mParameters.Group(); }

  /// Cancels the waiting request of the session with this key, if any.
  static void Cancel(CallerContext& aContext,
                     quint32 aProcessId,
                     quint32 aSecret);

private:
  enum class State
  {
    Startup,
    Authenticating,
    Ready,
    /// A request is under way; further messages wait.
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
  void StartSession();
  void HandleAuthentication(const Frame& aFrame);
  void EnterGroup();
  void MoveToGroupWorker();
  void Welcome();
  void HandleFrame(const Frame& aFrame);
  void CancelWaiting();

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
  AnswerHandler Answering();
  void OnAnswer(const Answer& aAnswer);
  void WriteAnswer(const Answer& aAnswer);
  void FinishStatement();
  void Refuse(const Error& aError);
  void Fatal(const Error& aError);
  void SendReady();
  void Flush();
  TransactionStatus Status() const;

  CallerContext& mContext;
  Worker* mWorker;
  /// A QSslSocket when the settings name a certificate.
  QTcpSocket* mSocket;
  QTimer mStartupTimer;
  FrameReader mReader;
  MessageWriter mWriter;
  SessionParameters mParameters;
  std::optional<ScramServer> mScram;
  bool mIsScramChallenged = false;
  State mState = State::Startup;
  Protocol mProtocol = Protocol::Simple;
  bool mSkipToSync = false;
  QMap<QByteArray, PreparedStatement> mStatements;
  QMap<QByteArray, Portal> mPortals;
  bool mWantsColumns = true;
  std::shared_ptr<CallerTransaction> mTransaction;
  std::optional<LogPosition> mOwnWrites;
  bool mTokenChanged = false;
  quint32 mProcessId = 0;
  quint32 mSecret = 0;
  uint64_t mCurrentOperation = 0;
  bool mIsProcessing = false;
};

}
