#include "LibConfiguration/ClientAccounts.h"

namespace papayaline {

ClientAccounts::ClientAccounts(std::vector<ClientAccount> aAccounts)
  : mAccounts(std::move(aAccounts))
{
  for (size_t n = 0; n < mAccounts.size(); ++n) {
    mByName.emplace(mAccounts[n].mName, n);
    for (const auto& key : mAccounts[n].mKeys) {
      mByKey.emplace(key, n);
    }
  }
}

const ClientAccount*
ClientAccounts::FindByKey(std::string_view aKey) const
{
  return Find(mByKey, aKey);
}

const ClientAccount*
ClientAccounts::FindByName(std::string_view aName) const
{
  return Find(mByName, aName);
}

const ClientAccount*
ClientAccounts::Find(const Index& aIndex, std::string_view aText) const
{
  const auto it = aIndex.find(aText);
  return it != aIndex.end() ? &mAccounts[it->second] : nullptr;
}

}
