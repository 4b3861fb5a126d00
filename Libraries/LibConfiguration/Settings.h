#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibDecision/ReadPolicy.h"

namespace papayaline {

enum class Authentication
{
  Trust,
  Scram,
};

/// The name and password of a caller for SCRAM authentication.
struct CallerAccount
{
  std::string mName;
  std::string mPassword;

  auto operator<=>(const CallerAccount&) const = default;
};

/// The settings of one instance, read once at start.
struct Settings
{
  std::string mInstance;
  std::string mFailureDomain;
  Address mCallerAddress;
  Address mHttpAddress;
  Address mPlatform;
  std::string mConfigurationName;
  std::vector<Address> mNeighbours;
  unsigned mWorkers = 2;
  Authentication mAuthentication = Authentication::Scram;
  std::vector<CallerAccount> mAccounts;
  std::string mTlsCertificate;
  std::string mTlsKey;
  Milliseconds mDrainNotice = std::chrono::seconds(2);
  Milliseconds mDrainTimeout = std::chrono::seconds(30);
  ReadRouting mReadRouting = ReadRouting::ConfirmedFrontier;

  bool operator==(const Settings&) const = default;
};

/// Parses and validates the settings of an instance. aFile is the name used in
/// error messages. Errors: BadInput; the message starts with file:line:column.
Result<Settings>
ParseSettings(const std::string& aText, const std::string& aFile);

}
