#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayaline {

/// How many operations of a client account may run, over all instances.
struct AccountQuota
{
  /// Operations per second; at least 0.
  double mRatePerSecond = 0;
  /// Operations that may run at once after a pause; at least 0.
  double mBurst = 0;

  auto operator<=>(const AccountQuota&) const = default;
};

/// A client account: callers that present one of its keys act on its behalf.
struct ClientAccount
{
  std::string mName;
  /// The priority among accounts under load; lower ranks are served first.
  unsigned mRank = 0;
  /// Unset when the account's operations are not limited.
  std::optional<AccountQuota> mQuota;
  /// Secret. Keys are neither logged nor sent to databases or other instances.
  std::vector<std::string> mKeys;

  auto operator<=>(const ClientAccount&) const = default;
};

/// The client accounts of one configuration, found by key or name. Immutable;
/// any thread.
class ClientAccounts
{
public:
  ClientAccounts() = default;
  /// Precondition: names and keys are unique and not empty.
  explicit ClientAccounts(std::vector<ClientAccount> aAccounts);

  /// The account that holds a key, or null when none does. The pointer is valid
  /// as long as this object.
  const ClientAccount* FindByKey(std::string_view aKey) const;
  /// Returns null when no account has that name.
  const ClientAccount* FindByName(std::string_view aName) const;
  const std::vector<ClientAccount>& All() const { return mAccounts; }

  bool operator==(const ClientAccounts& aOther) const
  {
    return mAccounts == aOther.mAccounts;
  }

private:
  struct TextHash
  {
    using is_transparent = void;
    size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>()(aText);
    }
  };
  using Index =
    std::unordered_map<std::string, size_t, TextHash, std::equal_to<>>;

  const ClientAccount* Find(const Index& aIndex, std::string_view aText) const;

  std::vector<ClientAccount> mAccounts;
  /// Indices of mAccounts.
  Index mByKey;
  Index mByName;
};

}
