#include "LibDecision/RetryBudget.h"

#include <algorithm>

namespace papayaline {

void
RetryBudget::ObserveSuccess()
{
  mSaved = std::min(mSaved + kRetriesPerSuccess, kMaxSavedRetries);
}

bool
RetryBudget::TrySpend()
{
  if (mSaved < 1) {
    return false;
  }
  mSaved -= 1;
  return true;
}

}
