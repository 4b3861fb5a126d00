#include "LibDecision/RetryBudget.h"

#include <algorithm>

namespace papayaline {

void
RetryBudget::ObserveSuccess()
{
  mSavedRetries =
    std::min(mSavedRetries + kRetriesPerSuccess, kMaxSavedRetries);
}

bool
RetryBudget::TrySpend()
{
  if (mSavedRetries < 1) {
    return false;
  }
  mSavedRetries -= 1;
  return true;
}

}
