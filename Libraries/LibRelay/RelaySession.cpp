#include "LibRelay/RelaySession.h"

#include <array>
#include <utility>

namespace papayaline {

RelaySession::RelaySession(RelayRouter& aRouter,
                           std::string aDatabase,
                           std::string aKey,
                           Responder aRespond)
  : mRouter(aRouter)
  , mDatabase(std::move(aDatabase))
  , mKey(std::move(aKey))
  , mRespond(std::move(aRespond))
  , mState(std::make_shared<SessionState>())
{
}

RelaySession::~RelaySession()
{
  if (mRunner) {
    mRunner->Cancel(*mState);
  }
  EndTransaction();
}

void
RelaySession::Handle(const CallerStatement& aStatement)
{
  mIsBusy = true;
  using Handler = void (RelaySession::*)(const CallerStatement&);
  struct Entry
  {
    StatementType mType;
    Handler mHandle;
  };
  static constexpr std::array kHandlers = {
    Entry{ StatementType::Begin, &RelaySession::Begin },
    Entry{ StatementType::BeginReadOnly, &RelaySession::Begin },
    Entry{ StatementType::Commit, &RelaySession::Commit },
    Entry{ StatementType::Rollback, &RelaySession::Rollback },
    Entry{ StatementType::Read, &RelaySession::Run },
    Entry{ StatementType::Write, &RelaySession::Run },
    Entry{ StatementType::SetValue, &RelaySession::SetValue },
    Entry{ StatementType::Prepare, &RelaySession::Prepare },
    Entry{ StatementType::ExecutePrepared, &RelaySession::Run },
    Entry{ StatementType::ClosePrepared, &RelaySession::ClosePrepared },
  };
  const auto* entry =
    std::ranges::find(kHandlers, aStatement.mType, &Entry::mType);
  const bool isEnd = aStatement.mType == StatementType::Commit ||
                     aStatement.mType == StatementType::Rollback;
  if (mPhase == Phase::Failed && !isEnd) {
    Fail(
      mFailure.mKind == ErrorKind::BadInput
        ? Error{ ErrorKind::BadInput, "the transaction has failed" }
        : std::exchange(mFailure,
                        { ErrorKind::BadInput, "the transaction has failed" }));
    return;
  }
  if (!IsAdmitted(aStatement)) {
    Fail({ ErrorKind::ShuttingDown, "this instance is shutting down" });
    return;
  }
  (this->*entry->mHandle)(aStatement);
}

bool
RelaySession::IsAdmitted(const CallerStatement& aStatement) const
{
  if (mPhase != Phase::None) {
    return true;
  }
  switch (aStatement.mType) {
    case StatementType::Begin:
    case StatementType::BeginReadOnly:
      return mRouter.GetAdmission() == Admission::Everything;
    case StatementType::Read:
    case StatementType::Write:
    case StatementType::ExecutePrepared:
      return mRouter.GetAdmission() != Admission::Nothing;
    default:
      return true;
  }
}

bool
RelaySession::Abandon()
{
  if (!mIsBusy) {
    return false;
  }
  const bool isUnsent = mRunner->Cancel(*mState);
  const auto kind = mMayHaveEffect && !isUnsent ? ErrorKind::OutcomeUnknown
                    : mPhase != Phase::None     ? ErrorKind::WriteNotRun
                                                : ErrorKind::ShuttingDown;
  Fail({ kind, "this instance is shutting down" });
  return true;
}

void
RelaySession::HandleInvalid(const Error& aError)
{
  mIsBusy = true;
  Fail(aError);
}

bool
RelaySession::ResolveRoute()
{
  const auto* configuration = mRouter.Configuration();
  const auto* route =
    configuration ? configuration->FindRoute(mDatabase) : nullptr;
  auto runner = route ? mRouter.FindRunner(route->mGroup) : nullptr;
  if (!runner) {
    Fail({ ErrorKind::UnknownGroup, mDatabase });
    return false;
  }
  mRoute = *route;
  mRunner = std::move(runner);
  return Identify();
}

/// Looks up the account of the caller's key in the active configuration.
bool
RelaySession::Identify()
{
  const auto authority = mRouter.FindAuthority(mRoute, mKey);
  if (authority.IsError()) {
    Fail(authority.GetError());
    return false;
  }
  mAuthority = authority.Value();
  return true;
}

std::optional<Error>
RelaySession::FindDenial() const
{
  return mRouter.CheckAuthority(mRoute, mAuthority);
}

void
RelaySession::Begin(const CallerStatement& aStatement)
{
  if (mPhase != Phase::None) {
    Fail({ ErrorKind::BadInput, "a transaction is open" });
    return;
  }
  if (!ResolveRoute()) {
    return;
  }
  mPhase = Phase::Begun;
  mMode = aStatement.mType == StatementType::Begin ? TransactionMode::ReadWrite
                                                   : TransactionMode::ReadOnly;
  mTransactionStartedAt = mRouter.Now();
  mHasWritten = false;
  RespondSuccess();
}

RelayRequest
RelaySession::MakeRequest(const CallerStatement& aStatement) const
{
  RelayRequest request;
  request.mStatement = aStatement;
  request.mSession = mState;
  request.mRoute = mRoute;
  request.mAuthority = mAuthority;
  request.mMode = mMode;
  request.mReceivedAt = mRouter.Now();
  request.mStartedAt =
    mPhase == Phase::None ? request.mReceivedAt : mTransactionStartedAt;
  return request;
}

void
RelaySession::Run(const CallerStatement& aStatement)
{
  if (mPhase == Phase::None) {
    if (!ResolveRoute()) {
      return;
    }
    mMode = TransactionMode::None;
  } else if (const auto denial = FindDenial()) {
    Fail(*denial);
    return;
  }
  auto request = MakeRequest(aStatement);
  request.mAccess =
    aStatement.mType == StatementType::Write ? Access::Write : Access::Read;
  if (aStatement.mType == StatementType::ExecutePrepared) {
    const auto it = mState->mPrepared.find(aStatement.mName);
    if (it == mState->mPrepared.end()) {
      Fail({ ErrorKind::NotFound, aStatement.mName });
      return;
    }
    request.mPreparedQuery = it->second;
    request.mAccess = it->second.mAccess;
  }
  if (request.mAccess == Access::Write && mMode == TransactionMode::ReadOnly) {
    Fail({ ErrorKind::NotPrimary, "the transaction is read-only" });
    return;
  }
  Send(std::move(request));
}

void
RelaySession::Commit(const CallerStatement& aStatement)
{
  if (mPhase == Phase::None) {
    Fail({ ErrorKind::BadInput, "no transaction is open" });
    return;
  }
  if (mPhase == Phase::Failed) {
    EndTransaction();
    Fail({ ErrorKind::WriteNotRun, "the transaction was rolled back" });
    return;
  }
  if (const auto denial = FindDenial()) {
    EndTransaction();
    Fail(*denial);
    return;
  }
  Send(MakeRequest(aStatement));
}

void
RelaySession::Rollback(const CallerStatement&)
{
  if (mPhase == Phase::None) {
    Fail({ ErrorKind::BadInput, "no transaction is open" });
    return;
  }
  EndTransaction();
  RespondSuccess();
}

void
RelaySession::SetValue(const CallerStatement& aStatement)
{
  auto& values = mState->mValues;
  if (values.size() >= SessionState::kMaxValues &&
      !values.contains(aStatement.mName)) {
    Fail({ ErrorKind::MessageTooLarge, "too many session values" });
    return;
  }
  values[aStatement.mName] = aStatement.mValue;
  RespondSuccess();
}

void
RelaySession::Prepare(const CallerStatement& aStatement)
{
  auto& prepared = mState->mPrepared;
  if (prepared.size() >= SessionState::kMaxPrepared &&
      !prepared.contains(aStatement.mName)) {
    Fail({ ErrorKind::MessageTooLarge, "too many prepared statements" });
    return;
  }
  prepared[aStatement.mName] = { aStatement.mAccess, aStatement.mValue };
  RespondSuccess();
}

void
RelaySession::ClosePrepared(const CallerStatement& aStatement)
{
  mState->mPrepared.erase(aStatement.mName);
  RespondSuccess();
}

void
RelaySession::Send(RelayRequest aRequest)
{
  mMayHaveEffect = aRequest.MayHaveEffect();
  // The session may be destroyed before the answer arrives.
  auto handler = [weak = weak_from_this(), runner = mRunner, aRequest](
                   const RelayOutcome& aOutcome) {
    if (const auto self = weak.lock()) {
      self->OnOutcome(aOutcome, aRequest);
    } else if (aOutcome.mTransaction) {
      runner->RollBack(aOutcome.mTransaction);
    }
  };
  if (mPhase == Phase::Open) {
    mRunner->Continue(std::exchange(mTransaction, nullptr),
                      std::move(aRequest),
                      std::move(handler));
  } else {
    mRunner->Submit(std::move(aRequest), std::move(handler));
  }
}

void
RelaySession::OnOutcome(const RelayOutcome& aOutcome,
                        const RelayRequest& aRequest)
{
  const auto& answer = aOutcome.mAnswer;
  const bool isCommit = aRequest.mStatement.mType == StatementType::Commit;
  const bool isWrite = aRequest.mAccess == Access::Write;
  if (answer.mError) {
    if (isCommit) {
      EndTransaction();
    }
    Fail(*answer.mError);
    return;
  }
  mHasWritten |= isWrite;
  if ((isCommit || mPhase == Phase::None) && mHasWritten && answer.mPosition) {
    mState->RecordWrite(mRoute.mGroup, *answer.mPosition);
  }
  mTransaction = aOutcome.mTransaction;
  if (isCommit) {
    EndTransaction();
  } else if (mPhase == Phase::Begun) {
    mPhase = Phase::Open;
  } else if (mPhase == Phase::None) {
    mHasWritten = false;
  }
  Respond(answer);
}

void
RelaySession::RollBackTransaction(const Error& aReason)
{
  if (mIsBusy || (mPhase != Phase::Begun && mPhase != Phase::Open)) {
    return;
  }
  EndTransaction();
  mPhase = Phase::Failed;
  mFailure = aReason;
}

void
RelaySession::ExpireTransaction(Instant aNow)
{
  const auto* configuration = mRouter.Configuration();
  if (configuration &&
      aNow - mLastResponseAt >= configuration->mTransactionIdle) {
    RollBackTransaction(
      { ErrorKind::WriteNotRun, "the transaction idled too long" });
  }
}

void
RelaySession::EndTransaction()
{
  if (mTransaction) {
    mRunner->RollBack(mTransaction);
    mTransaction.reset();
  }
  mPhase = Phase::None;
  mMode = TransactionMode::None;
  mHasWritten = false;
}

TransactionState
RelaySession::State() const
{
  switch (mPhase) {
    case Phase::None:
      return TransactionState::None;
    case Phase::Failed:
      return TransactionState::Failed;
    default:
      return TransactionState::Open;
  }
}

void
RelaySession::RespondSuccess()
{
  StatementAnswer answer;
  answer.mSignature = "-";
  Respond(std::move(answer));
}

/// An error within a transaction rolls the transaction back.
void
RelaySession::Fail(const Error& aError)
{
  mRouter.RecordError(mDatabase, aError);
  if (mPhase == Phase::Begun || mPhase == Phase::Open) {
    EndTransaction();
    mPhase = Phase::Failed;
    mFailure = { ErrorKind::BadInput, "the transaction has failed" };
  }
  StatementAnswer answer;
  answer.mError = aError;
  Respond(std::move(answer));
}

void
RelaySession::Respond(StatementAnswer aAnswer)
{
  mIsBusy = false;
  mLastResponseAt = mRouter.Now();
  aAnswer.mTransactionState = State();
  mRespond(aAnswer);
}

}
