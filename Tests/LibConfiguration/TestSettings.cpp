#include "LibConfiguration/Settings.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;

class TestSettings : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestSettings);
  CPPUNIT_TEST(SettingsScramWithoutAccountsIsRefused);
  CPPUNIT_TEST(SettingsBadAddressNamesLine);
  CPPUNIT_TEST(SettingsValidIsAccepted);
  CPPUNIT_TEST_SUITE_END();

  static std::string MakeSettings(const std::string& aAddress,
                                  const std::string& aRest)
  {
    return "instance: i\nfailure_domain: d\ncaller_address: " + aAddress +
           "\nhttp_address: 127.0.0.1:2\nplatform: 127.0.0.1:3\n"
           "configuration: c\n" +
           aRest;
  }

public:
  void SettingsScramWithoutAccountsIsRefused()
  {
    CPPUNIT_ASSERT(
      ParseSettings(MakeSettings("127.0.0.1:1", ""), "s").IsError());
  }

  void SettingsBadAddressNamesLine()
  {
    const auto result =
      ParseSettings(MakeSettings("nowhere", "authentication: trust\n"), "s");
    CPPUNIT_ASSERT(result.GetError().mMessage.starts_with("s:3:17: "));
  }

  void SettingsValidIsAccepted()
  {
    const auto result = ParseSettings(
      MakeSettings("127.0.0.1:1", "authentication: trust\n"), "s");
    CPPUNIT_ASSERT(!result.IsError());
    CPPUNIT_ASSERT_EQUAL(uint16_t(1), result.Value().mCallerAddress.mPort);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSettings);
