#include "LibConfiguration/RelayConfiguration.h"

#include <algorithm>

namespace papayaline {

const RelayRoute*
RelayConfiguration::FindRoute(const std::string& aDatabase) const
{
  const auto it = std::ranges::find(mRoutes, aDatabase, &RelayRoute::mDatabase);
  return it != mRoutes.end() ? &*it : nullptr;
}

bool
RelayConfiguration::operator==(const RelayConfiguration& aOther) const
{
  const bool haveSameAccounts =
    mAccounts == aOther.mAccounts ||
    (mAccounts && aOther.mAccounts && *mAccounts == *aOther.mAccounts);
  return mVersion == aOther.mVersion && mRoutes == aOther.mRoutes &&
         mGroups == aOther.mGroups &&
         mTransactionIdle == aOther.mTransactionIdle && haveSameAccounts &&
         mProblems == aOther.mProblems;
}

}
