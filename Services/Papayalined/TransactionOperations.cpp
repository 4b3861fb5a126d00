#include "TransactionOperations.h"

#include "Clock.h"
#include "GroupEngine.h"
#include "LibDecision/Overloaded.h"
#include "LibDecision/ReadPolicy.h"
#include "Metrics.h"

namespace papayaline {

TransactionStart::TransactionStart(GroupEngine& aEngine,
                                   Request aRequest,
                                   TransactionAccess aAccess,
                                   Acquired aOnAcquired,
                                   AnswerHandler aOnRefused)
  : Operation(aEngine, std::move(aRequest), std::move(aOnRefused))
  , mAccess(aAccess)
  , mOnAcquired(std::move(aOnAcquired))
{
}

std::optional<std::string>
TransactionStart::Choose(Instant aNow) const
{
  if (mAccess == TransactionAccess::ReadWrite) {
    return mEngine.WritablePrimary(aNow);
  }
  const auto candidates = mEngine.Candidates(GroupEngine::Usable::Idle);
  const ReadNeed need{ mRequest.mToken,
                       mRequest.mClass.mMaxAge,
                       mRequest.mArrivedAt };
  const auto choice =
    ChooseRead(need, candidates, mEngine.Frontiers(), {}, aNow);
  // What the primary shows would need a majority first, which a transaction
  // can't wait for after each statement; so a replica serves it.
  if (choice.mVerdict != ReadVerdict::UseReplica) {
    return std::nullopt;
  }
  return candidates[choice.mIndex].mReport.mUpstream;
}

StartResult
TransactionStart::TryStart(Instant aNow)
{
  const auto upstream = Choose(aNow);
  if (!upstream) {
    return StartResult::Waiting;
  }
  auto connection = mEngine.TryAcquire(*upstream, ConnectionUse::Transaction);
  if (!connection) {
    return StartResult::Waiting;
  }
  const auto self = shared_from_this();
  TakeHandler();
  mOnAcquired(std::move(connection), *upstream);
  return StartResult::Started;
}

void
TransactionStart::OnDeadline()
{
  Refuse({ ErrorKind::NoUpstream, "no connection became free in time" });
}

TransactionCommit::TransactionCommit(GroupEngine& aEngine,
                                     Request aRequest,
                                     AnswerHandler aHandler,
                                     PooledConnection aConnection,
                                     std::string aUpstream,
                                     bool aNeedsLedgerRow)
  : Operation(aEngine, std::move(aRequest), std::move(aHandler))
  , mMachine(RetryPolicy::Never)
  , mConnection(std::move(aConnection))
  , mUpstream(std::move(aUpstream))
  , mNeedsLedgerRow(aNeedsLedgerRow)
{
}

void
TransactionCommit::Start()
{
  mEngine.Track(shared_from_this());
  const auto& dialect = UpstreamDialect::Default();
  std::vector<UpstreamStatement> batch;
  if (mNeedsLedgerRow) {
    batch.push_back(dialect.InsertLedger(mRequest.mRequestId, WallSeconds()));
  }
  batch.push_back(PlainStatement("COMMIT"));
  batch.push_back(dialect.LastCommit());
  Feed(CommitSent{});
  const auto self = shared_from_this();
  mConnection.Run(
    batch, [this, self](const BatchResult& aBatch) { OnCommitAnswer(aBatch); });
}

void
TransactionCommit::OnCommitAnswer(const BatchResult& aBatch)
{
  if (aBatch.mIsLost || IsFinished()) {
    mConnection.Discard();
    Feed(WriteLost{});
    return;
  }
  const auto n = aBatch.mResults.size();
  const auto& commit = aBatch.mResults[n - 2];
  const auto position =
    UpstreamDialect::Default().ParsePosition(aBatch.mResults[n - 1]);
  if (commit.mTag == "COMMIT" && !position.IsError()) {
    mConnection.ReturnClean();
    mPosition = position.Value();
    Feed(WriteCommitted{ mPosition });
    mEngine.RequestEvidence();
    return;
  }
  // Whatever was refused, the ledger tells whether the transaction took effect.
  mConnection.Discard();
  Feed(WriteLost{});
}

StartResult
TransactionCommit::TryStart(Instant aNow)
{
  auto primary = mEngine.TryAcquirePrimary(aNow);
  if (!primary) {
    return StartResult::Waiting;
  }
  mIsQueued = false;
  mConnection = std::move(primary->mConnection);
  mUpstream = primary->mUpstream;
  const auto self = shared_from_this();
  auto batch = ResolutionBatch(mRequest.mRequestId, mEngine.NextRequestId());
  mConnection.Run(batch, [this, self](const BatchResult& aBatch) {
    OnResolutionAnswer(aBatch);
  });
  return StartResult::Started;
}

void
TransactionCommit::OnResolutionAnswer(const BatchResult& aBatch)
{
  const auto resolution = ParseResolution(mUpstream, aBatch);
  if (resolution.IsError() && LacksLedger(aBatch) && !IsFinished()) {
    const auto self = shared_from_this();
    mConnection.Run(LedgerCreationBatch(), [this, self](const BatchResult&) {
      mConnection.Discard();
      Feed(ResolutionLost{});
    });
    return;
  }
  if (resolution.IsError()) {
    mConnection.Discard();
    Feed(ResolutionLost{});
    return;
  }
  mConnection.ReturnClean();
  const auto& row = resolution.Value().mRow;
  mPosition = resolution.Value().mPosition;
  Feed(ResolutionRead{
    row.mKind == LedgerRow::Kind::Done, row.mNonce.toStdString(), mPosition });
  mEngine.RequestEvidence();
}

void
TransactionCommit::Feed(const WriteEvent& aEvent)
{
  if (IsFinished()) {
    return;
  }
  const auto action = mMachine.Handle(aEvent);
  if (!action) {
    return;
  }
  std::visit(
    Overloaded{ [&](const StartWrite&) {
                 // A transaction's statements are the caller's to
                 // repeat.
                 FinishWith(WriteVerdict::NotRun);
               },
                [&](const StartResolution&) {
                  Metrics::Instance().Add(Counter::WriteResolutions);
                  mIsQueued = true;
                  mEngine.Requeue(*this);
                },
                [&](const FinishWrite& aIt) { FinishWith(aIt.mVerdict); } },
    *action);
}

void
TransactionCommit::OnEvidence(Instant)
{
  const auto self = shared_from_this();
  Feed(EvidenceChanged{ mEngine.Reports(), mEngine.GroupSize() });
}

void
TransactionCommit::OnDeadline()
{
  const auto self = shared_from_this();
  Feed(WriteDeadlinePassed{});
  mConnection.Discard();
}

bool
TransactionCommit::AwaitsEvidence() const
{
  return mIsQueued || mMachine.AwaitsEvidence();
}

void
TransactionCommit::FinishWith(WriteVerdict aVerdict)
{
  auto& metrics = Metrics::Instance();
  switch (aVerdict) {
    case WriteVerdict::Done:
    case WriteVerdict::DoneEarlier: {
      metrics.Add(Counter::WritesDone);
      Answer answer;
      answer.mTag = "COMMIT";
      answer.mWritten = mPosition;
      Finish(answer);
      return;
    }
    case WriteVerdict::NotRun:
      metrics.Add(Counter::WritesNotRun);
      Refuse({ ErrorKind::WriteNotRun, "the transaction was rolled back" });
      return;
    case WriteVerdict::Unknown:
      metrics.Add(Counter::WritesUnknown);
      Refuse(
        { ErrorKind::OutcomeUnknown, "the transaction may have committed" });
      return;
  }
}

}
