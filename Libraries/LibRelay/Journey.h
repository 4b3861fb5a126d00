#pragma once

#include "LibRelay/RelayGroup.h"

#include <set>

namespace papayaline {

/// A statement from its arrival to its answer, over all tries.
struct RelayGroup::Journey
{
  RelayRequest mRequest;
  OutcomeHandler mHandler;
  /// The transaction that it belongs to; empty for a statement that stands
  /// alone or opens one.
  std::shared_ptr<TransactionHold> mHold;
  std::set<std::string> mExcluded;
  unsigned mAttempts = 0;
  unsigned mInFlight = 0;
  Instant mNotBefore;
  /// When it was first sent to a database.
  std::optional<Instant> mSentAt;
  Instant mLastSentAt;
  RelayVerdict mWaitsFor = RelayVerdict::WaitForConnection;
  bool mIsFinished = false;
  bool mIsConfirming = false;

  bool IsCommit() const
  {
    return mRequest.mStatement.mForm == StatementForm::Commit;
  }
  /// Whether the database may have kept something once this was sent.
  bool MayHaveEffect() const
  {
    return IsCommit() || (mRequest.mAccess == Access::Write &&
                          mRequest.mMode == TransactionMode::None && !mHold);
  }
  bool IsWaiting() const
  {
    return !mIsFinished && !mIsConfirming && mInFlight == 0 && !mHold;
  }
  std::string Id() const { return mRequest.mStatement.mId; }
};

/// One try of a journey on one connection.
struct RelayGroup::Exchange
{
  JourneyPointer mJourney;
  LinkPointer mLink;
  std::optional<LogPosition> mAfter;
  std::optional<PrimaryOfGroup> mPrimary;
  Instant mBegan;
  Instant mStatementSentAt;
  bool mIsStatementSent = false;
  size_t mPreparationsLeft = 0;
  bool mHasPreparationFailed = false;
  /// The transaction once its begin was acknowledged.
  std::shared_ptr<TransactionHold> mHold;
};

}
