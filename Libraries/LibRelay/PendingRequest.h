#pragma once

#include "LibRelay/RelayGroup.h"

#include <set>

namespace papayaline {

/// A statement from its arrival to its response, over all attempts.
struct RelayGroup::PendingRequest
{
  RelayRequest mRequest;
  OutcomeHandler mHandler;
  /// The open transaction of the statement; null for a single statement and for
  /// the first one of a transaction.
  std::shared_ptr<OpenTransaction> mTransaction;
  std::set<std::string> mExcludedUpstreams;
  unsigned mAttemptCount = 0;
  unsigned mInFlight = 0;
  Instant mNotBefore;
  /// When the first attempt started.
  std::optional<Instant> mSentAt;
  Instant mLastSentAt;
  RelayVerdict mWaitsFor = RelayVerdict::WaitForConnection;
  /// What was last decided on a connection of its account.
  std::optional<ConnectionVerdict> mConnectionWait;
  /// Whether evidence that the primary leads must arrive before it is sent.
  bool mNeedsEvidence = false;
  /// The database whose connection it waits for with WaitForConnection.
  std::string mWaitsAt;
  /// When it is expected to be sent, if it waits for one of the connections of
  /// this instance to become free.
  std::optional<Instant> mExpectedStart;
  /// When the operation was last admitted by the quota of its account.
  std::optional<Instant> mAdmittedAt;
  /// The admission was requested and not decided yet.
  bool mAwaitsAdmission = false;
  /// Whether a database was sent the statement and did not refuse to run it.
  bool mWasSent = false;
  bool mIsFinished = false;
  bool mAwaitsConfirmation = false;

  bool IsCommit() const
  {
    return mRequest.mStatement.mType == StatementType::Commit;
  }
  /// Whether the statement may have a lasting effect once it was sent, so that
  /// it must not be retried without an answer.
  bool MayHaveEffect() const
  {
    return IsCommit() ||
           (mRequest.mAccess == Access::Write &&
            mRequest.mMode == TransactionMode::None && !mTransaction);
  }
  bool IsUnsent() const
  {
    return !mIsFinished && !mAwaitsConfirmation && mInFlight == 0 &&
           !mTransaction;
  }
  bool IsWaiting() const { return IsUnsent() && !mAwaitsAdmission; }
  std::string Id() const { return mRequest.mStatement.mId; }
};

/// An attempt to run a pending request on one connection.
struct RelayGroup::Attempt
{
  PendingRequestPointer mPending;
  LinkPointer mLink;
  std::optional<LogPosition> mMinPosition;
  std::optional<GroupPrimary> mPrimary;
  Instant mStartedAt;
  Instant mStatementSentAt;
  bool mIsStatementSent = false;
  /// Has a connection and waits for evidence before its statement is sent.
  bool mIsDeferred = false;
  bool mHasEnded = false;
  size_t mPreparationsLeft = 0;
  bool mHasPreparationFailed = false;
  /// The open transaction, once the database acknowledged its begin.
  std::shared_ptr<OpenTransaction> mTransaction;
};

}
