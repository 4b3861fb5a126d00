#include "LibConfiguration/RelaySettings.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestRelaySettings : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestRelaySettings);
  CPPUNIT_TEST(SettingsWithoutLimitsLeaveThemUnset);
  CPPUNIT_TEST(SettingsOfAccountsAndRegionsAreRead);
  CPPUNIT_TEST(SettingsOutOfRangeAreErrorsWithTheirPlace);
  CPPUNIT_TEST_SUITE_END();

  static std::string Text(const std::string& aMore)
  {
    return "instance: i-1\n"
           "failure_domain: d-1\n"
           "caller_address: 127.0.0.1:1\n"
           "relay:\n"
           "  readiness_address: 127.0.0.1:2\n"
           "  readiness_path: /ready\n"
           "  metrics_address: 127.0.0.1:3\n"
           "  store: 127.0.0.1:4\n"
           "  promotion: 127.0.0.1:5\n" +
           aMore;
  }

public:
  void SettingsWithoutLimitsLeaveThemUnset()
  {
    const auto read = ParseRelaySettings(Text(""), "settings.yaml");
    CPPUNIT_ASSERT(!read.IsError());
    CPPUNIT_ASSERT(read.Value().mRegions.empty());
    CPPUNIT_ASSERT(!read.Value().mLinkMbps);
    CPPUNIT_ASSERT(!read.Value().mAuthorityTimeout);
    CPPUNIT_ASSERT(!read.Value().mQuotaTolerance);
  }

  void SettingsOfAccountsAndRegionsAreRead()
  {
    const auto read = ParseRelaySettings(
      Text("  regions: { \"d-1\": \"east\", \"d-2\": \"west\", }\n"
           "  link_mbps: 10.0\n"
           "  authority_timeout: 5000ms\n"
           "  quota_tolerance: { window: 5s, excess: 0.1, slack: 20 }\n"),
      "settings.yaml");
    CPPUNIT_ASSERT(!read.IsError());
    const auto& settings = read.Value();
    CPPUNIT_ASSERT_EQUAL(std::string("west"), settings.mRegions.at("d-2"));
    CPPUNIT_ASSERT_EQUAL(10.0, *settings.mLinkMbps);
    CPPUNIT_ASSERT(settings.mAuthorityTimeout == Milliseconds(5000));
    CPPUNIT_ASSERT((settings.mQuotaTolerance == QuotaTolerance{ 5s, 0.1, 20 }));
  }

  void SettingsOutOfRangeAreErrorsWithTheirPlace()
  {
    for (const auto* it : { "  link_mbps: 0\n",
                            "  authority_timeout: 5\n",
                            "  regions: { d-1: { a: b } }\n",
                            "  quota_tolerance: { excess: -1 }\n",
                            "  quota_tolerance: { windows: 5s }\n" }) {
      const auto read = ParseRelaySettings(Text(it), "settings.yaml");
      CPPUNIT_ASSERT_MESSAGE(it, read.IsError());
      CPPUNIT_ASSERT_MESSAGE(
        read.GetError().mMessage,
        read.GetError().mMessage.starts_with("settings.yaml:10:"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRelaySettings);
