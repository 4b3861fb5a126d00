#include "LibRelay/PendingRequest.h"
#include "LibRelay/RelayGroup.h"

#include <utility>

namespace papayaline {

bool
RelayGroup::IsAdmissionValid(const PendingRequest& aPending) const
{
  return aPending.mAdmittedAt && mEnvironment.mNow() - *aPending.mAdmittedAt <
                                   mEnvironment.mQuota->Validity();
}

bool
RelayGroup::RequireAdmission(const PendingRequestPointer& aPending)
{
  const auto& account = aPending->mRequest.mAuthority.mAccount;
  if (!mEnvironment.mQuota || account.empty() || IsAdmissionValid(*aPending)) {
    return true;
  }
  aPending->mAdmittedAt.reset();
  aPending->mAwaitsAdmission = true;
  const bool wasAdmitting = std::exchange(mIsAdmitting, true);
  mEnvironment.mQuota->Admit(
    account,
    [this,
     gate = mEnvironment.mQuota,
     account,
     lifetime = std::weak_ptr(mLifetime),
     weak = std::weak_ptr(aPending)](QuotaVerdict aVerdict) {
      const bool isAdmitted = aVerdict == QuotaVerdict::Admitted;
      const auto pending = weak.lock();
      if (lifetime.expired() || !pending || pending->mIsFinished) {
        if (isAdmitted) {
          gate->Return(account);
        }
        return;
      }
      pending->mAwaitsAdmission = false;
      if (!isAdmitted) {
        Refuse(
          pending,
          { ErrorKind::QuotaExceeded, "the quota of the account is used up" });
        return;
      }
      pending->mAdmittedAt = mEnvironment.mNow();
      if (!mIsAdmitting) {
        Dispatch();
      }
    });
  mIsAdmitting = wasAdmitting;
  return aPending->mAdmittedAt.has_value();
}

void
RelayGroup::ReturnAdmission(PendingRequest& aPending)
{
  if (mEnvironment.mQuota && !aPending.mWasSent && IsAdmissionValid(aPending)) {
    mEnvironment.mQuota->Return(aPending.mRequest.mAuthority.mAccount);
  }
  aPending.mAdmittedAt.reset();
}

/// Gives the admissions of statements back that wait for too long, and renews
/// those of the statements that are expected to be sent next, so that no slot
/// waits for their admission.
void
RelayGroup::RenewAdmissions(Instant aNow)
{
  if (!mEnvironment.mQuota) {
    return;
  }
  const auto validity = mEnvironment.mQuota->Validity();
  const auto requests = mPendingRequests;
  for (const auto& it : requests) {
    // By the next tick the admission may have expired.
    const bool isExpiring =
      it->mAdmittedAt && aNow - *it->mAdmittedAt >= validity * 3 / 4;
    if (it->IsWaiting() && isExpiring) {
      ReturnAdmission(*it);
    }
    if (it->IsWaiting() && !it->mAdmittedAt && it->mExpectedStart &&
        *it->mExpectedStart - aNow < validity) {
      RequireAdmission(it);
    }
  }
}

}
