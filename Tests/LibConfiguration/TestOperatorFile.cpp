#include "LibConfiguration/OperatorFile.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;

class TestOperatorFile : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestOperatorFile);
  CPPUNIT_TEST(FileValidRoundTripsThroughJson);
  CPPUNIT_TEST(FileUnknownKeyNamesLineAndColumn);
  CPPUNIT_TEST(FileDuplicateKeyIsRefused);
  CPPUNIT_TEST(FileAgeOutOfRangeIsRefused);
  CPPUNIT_TEST(FileAllUpstreamsLeavingIsRefused);
  CPPUNIT_TEST(TransitionTwoUpstreamsAtOnceIsRefused);
  CPPUNIT_TEST_SUITE_END();

  static std::string MakeFile(const std::string& aExtra = {},
                              const std::string& aClass = "max_age: 2s",
                              const std::string& aThirdUpstream = "b-3")
  {
    std::string text = "name: shop\n" + aExtra +
                       "groups:\n  - name: b\n"
                       "    upstreams:\n";
    for (const auto& it :
         { std::string("b-1"), std::string("b-2"), aThirdUpstream }) {
      text += "      - {name: " + it +
              ", address: \"127.0.0.1:1\", failure_domain: d}\n";
    }
    return text + "classes:\n  - {name: gallery, " + aClass + "}\n";
  }

  static std::string ErrorOf(const std::string& aText)
  {
    const auto result = ParseOperatorFile(aText, "f.yaml");
    return result.IsError() ? result.GetError().mMessage : std::string();
  }

public:
  void FileValidRoundTripsThroughJson()
  {
    auto parsed = ParseOperatorFile(MakeFile(), "f.yaml").Take();
    parsed.mVersion = 7;
    const auto decoded = Configuration::FromJson(parsed.ToJson(), 7);
    CPPUNIT_ASSERT(decoded.Value() == parsed);
  }

  void FileUnknownKeyNamesLineAndColumn()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("f.yaml:2:1: unknown key \"colour\""),
                         ErrorOf(MakeFile("colour: red\n")));
  }

  void FileDuplicateKeyIsRefused()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("f.yaml:2:1: duplicate key \"name\""),
                         ErrorOf(MakeFile("name: other\n")));
  }

  void FileAgeOutOfRangeIsRefused()
  {
    CPPUNIT_ASSERT(ErrorOf(MakeFile({}, "max_age: 1ms")).find("max_age") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!ErrorOf(MakeFile({}, "max_age: soon")).empty());
  }

  void FileAllUpstreamsLeavingIsRefused()
  {
    const std::string text =
      "name: s\nclasses: []\ngroups:\n  - name: b\n    upstreams:\n"
      "      - {name: x, address: \"h:1\", failure_domain: d, "
      "leaving: true}\n";
    CPPUNIT_ASSERT(!ErrorOf(text).empty());
  }

  void TransitionTwoUpstreamsAtOnceIsRefused()
  {
    const auto from = ParseOperatorFile(MakeFile(), "f").Take();
    const auto to =
      ParseOperatorFile(MakeFile({}, "rank: 1", "b-4"), "f").Take();
    CPPUNIT_ASSERT(CheckTransition(from, to).IsError());
    CPPUNIT_ASSERT(!CheckTransition(from, from).IsError());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOperatorFile);
