#include "ReadOperation.h"

#include "Clock.h"
#include "GroupEngine.h"
#include "LibUpstream/UpstreamDialect.h"

#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

/// The part of an allowed age that is left for the way to the replica.
constexpr int kAgeMarginDivisor = 10;
constexpr Duration kMaxAgeMargin = 50ms;
constexpr size_t kStatementIndex = 1;
constexpr size_t kStatusIndex = 3;
constexpr size_t kStatusAfterRead = 1;

bool
WasRefusedAsWrite(const StatementResult& aResult)
{
  return aResult.mSqlState == "25006";
}

}

ReadNeed
ReadOperation::Need() const
{
  ReadNeed need{ mRequest.mToken,
                 mRequest.mClass.mMaxAge,
                 mRequest.mArrivedAt };
  const auto routing = mEngine.Board().GetSettings().mReadRouting;
  // A caller that presented no token may have written through another
  // connection, so this connection's own writes are not all it must see.
  if (routing == ReadRouting::TokenOnly || need.mToken || need.mMaxAge) {
    need.mToken = std::max(need.mToken, mRequest.mOwnWrites);
  }
  if (need.mMaxAge) {
    *need.mMaxAge -= std::min(*need.mMaxAge / kAgeMarginDivisor, kMaxAgeMargin);
  }
  return need;
}

StartResult
ReadOperation::TryStart(Instant aNow)
{
  ReadSettings settings;
  settings.mRouting = mEngine.Board().GetSettings().mReadRouting;
  const auto need = Need();
  const auto idle = mEngine.Candidates(GroupEngine::Usable::Idle);
  auto choice = ChooseRead(need, idle, mEngine.Frontiers(), settings, aNow);
  if (choice.mVerdict == ReadVerdict::UsePrimary) {
    // A replica that only lacks a free connection is worth waiting for.
    const auto up = mEngine.Candidates(GroupEngine::Usable::Up);
    const auto better =
      ChooseRead(need, up, mEngine.Frontiers(), settings, aNow);
    if (better.mVerdict == ReadVerdict::UseReplica) {
      return StartResult::Waiting;
    }
  }
  if (choice.mVerdict == ReadVerdict::Wait) {
    return StartResult::Waiting;
  }
  mChosen = idle[choice.mIndex].mReport;
  mConnection = mEngine.TryAcquire(mChosen.mUpstream);
  if (!mConnection) {
    return StartResult::Waiting;
  }
  mPhase = Phase::Running;
  mStartedAt = aNow;
  if (choice.mVerdict == ReadVerdict::UseReplica) {
    RunAtReplica(choice.mFreshAt);
  } else {
    RunAtPrimary();
  }
  return StartResult::Started;
}

void
ReadOperation::RunAtReplica(std::optional<Instant> aFreshAt)
{
  const auto self = shared_from_this();
  mConnection.Run({ mRequest.mStatement, UpstreamDialect::Default().Status() },
                  [this, self, aFreshAt](const BatchResult& aBatch) {
                    OnReplicaAnswer(aBatch, aFreshAt);
                  });
}

void
ReadOperation::OnReplicaAnswer(const BatchResult& aBatch,
                               std::optional<Instant> aFreshAt)
{
  if (aBatch.mIsLost) {
    mConnection.Discard();
    TryAgain();
    return;
  }
  mConnection.ReturnClean();
  const auto now = Now();
  mEngine.ObserveService(now - mStartedAt);
  const auto& result = aBatch.mResults.front();
  if (WasRefusedAsWrite(result)) {
    BecomeWrite();
    return;
  }
  // The statement may have waited long before it ran, so the age counts up to
  // the answer.
  const auto& maxAge = mRequest.mClass.mMaxAge;
  if (maxAge && aFreshAt && now - *aFreshAt > *maxAge) {
    TryAgain();
    return;
  }
  if (result.IsError()) {
    Finish(AnswerOf(result));
    return;
  }
  const auto after = UpstreamDialect::Default().ParseReport(
    mChosen.mUpstream, aBatch.mResults[kStatusAfterRead], mStartedAt);
  if (after.IsError() || !MayShowReplicaRead(mChosen, after.Value())) {
    TryAgain();
    return;
  }
  Count(Counter::ReadsAtReplica, Counter::AgedReadsAtReplica);
  mEngine.Retries().ObserveSuccess();
  Finish(AnswerOf(result));
}

void
ReadOperation::RunAtPrimary()
{
  const auto self = shared_from_this();
  mConnection.Run(
    { PlainStatement("BEGIN READ ONLY"),
      mRequest.mStatement,
      PlainStatement("COMMIT"),
      UpstreamDialect::Default().Status() },
    [this, self](const BatchResult& aBatch) { OnPrimaryAnswer(aBatch); });
}

void
ReadOperation::OnPrimaryAnswer(const BatchResult& aBatch)
{
  if (aBatch.mIsLost) {
    mConnection.Discard();
    TryAgain();
    return;
  }
  mEngine.ObserveService(Now() - mStartedAt);
  const auto& result = aBatch.mResults[kStatementIndex];
  if (result.IsError()) {
    // The transaction is still open in its failed state.
    const auto self = shared_from_this();
    const auto connection =
      std::make_shared<PooledConnection>(std::move(mConnection));
    connection->Run(
      { PlainStatement("ROLLBACK") }, [connection](const BatchResult& aIt) {
        aIt.mIsLost ? connection->Discard() : connection->ReturnClean();
      });
    if (WasRefusedAsWrite(result)) {
      BecomeWrite();
    } else {
      Finish(AnswerOf(result));
    }
    return;
  }
  mConnection.ReturnClean();
  const auto report = UpstreamDialect::Default().ParseReport(
    mChosen.mUpstream, aBatch.mResults[kStatusIndex], mStartedAt);
  if (report.IsError() || report.Value().mRole != Role::Primary) {
    TryAgain();
    return;
  }
  mAnswer = AnswerOf(result);
  mSeen = report.Value().mLast;
  mPhase = Phase::Confirming;
  mEngine.RequestEvidence();
}

void
ReadOperation::OnEvidence(Instant aNow)
{
  if (mPhase != Phase::Confirming) {
    return;
  }
  const auto& maxAge = mRequest.mClass.mMaxAge;
  const auto notBefore = maxAge ? aNow - *maxAge : mRequest.mArrivedAt;
  if (MayShowPrimaryRead(
        mEngine.Reports(), mEngine.GroupSize(), mSeen, notBefore)) {
    Count(Counter::ReadsAtPrimary, Counter::AgedReadsAtPrimary);
    mEngine.Retries().ObserveSuccess();
    Finish(mAnswer);
    return;
  }
  const auto* primary = FindPrimary(mEngine.Reports());
  if (primary && primary->mFencedTerm > mSeen.mTerm) {
    TryAgain();
  }
}

void
ReadOperation::TryAgain()
{
  Metrics::Instance().Add(Counter::ReadRetries);
  if (!mEngine.Retries().TrySpend()) {
    Refuse({ ErrorKind::UpstreamLost, "the retry budget is spent" });
    return;
  }
  mPhase = Phase::Queued;
  mAnswer = {};
  mEngine.Requeue(*this);
}

/// The write answers the caller from here on, since only it knows its outcome.
void
ReadOperation::BecomeWrite()
{
  const auto self = shared_from_this();
  mEngine.SubmitWrite(mRequest, TakeHandler());
}

void
ReadOperation::Count(Counter aFresh, Counter aAged) const
{
  Metrics::Instance().Add(mRequest.mClass.mMaxAge ? aAged : aFresh);
}

bool
ReadOperation::AwaitsEvidence() const
{
  return mPhase != Phase::Running;
}

void
ReadOperation::OnDeadline()
{
  const auto self = shared_from_this();
  mConnection.Discard();
  const bool hasPrimary = FindPrimary(mEngine.Reports()) != nullptr;
  Refuse({ hasPrimary ? ErrorKind::TooStale : ErrorKind::NoUpstream,
           "no upstream could show data fresh enough in time" });
}

}
