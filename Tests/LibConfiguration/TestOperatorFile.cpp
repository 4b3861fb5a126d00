#include "LibConfiguration/OperatorFile.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;

class TestOperatorFile : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestOperatorFile);
  CPPUNIT_TEST(FileValidSurvivesJson);
  CPPUNIT_TEST(FileUnknownKeyNamesLineAndColumn);
  CPPUNIT_TEST(FileDuplicateKeyIsRefused);
  CPPUNIT_TEST(FileAgeOutOfRangeIsRefused);
  CPPUNIT_TEST(FileAllUpstreamsLeavingIsRefused);
  CPPUNIT_TEST(TransitionTwoUpstreamsAtOnceIsRefused);
  CPPUNIT_TEST_SUITE_END();

  static std::string File(const std::string& aExtra = {},
                          const std::string& aClass = "max_age: 2s",
                          const std::string& aThird = "b-3")
  {
    std::string text = "name: shop\n" + aExtra +
                       "groups:\n  - name: b\n"
                       "    upstreams:\n";
    for (const auto& it : { std::string("b-1"), std::string("b-2"), aThird }) {
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
  void FileValidSurvivesJson()
  {
    auto parsed = ParseOperatorFile(File(), "f.yaml").Take();
    parsed.mVersion = 7;
    const auto back = Configuration::FromJson(parsed.ToJson(), 7);
    CPPUNIT_ASSERT(back.Value() == parsed);
  }

  void FileUnknownKeyNamesLineAndColumn()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("f.yaml:2:1: unknown key \"colour\""),
                         ErrorOf(File("colour: red\n")));
  }

  void FileDuplicateKeyIsRefused()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("f.yaml:2:1: duplicate key \"name\""),
                         ErrorOf(File("name: other\n")));
  }

  void FileAgeOutOfRangeIsRefused()
  {
    CPPUNIT_ASSERT(ErrorOf(File({}, "max_age: 1ms")).find("max_age") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!ErrorOf(File({}, "max_age: soon")).empty());
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
    const auto from = ParseOperatorFile(File(), "f").Take();
    const auto to = ParseOperatorFile(File({}, "rank: 1", "b-4"), "f").Take();
    CPPUNIT_ASSERT(CheckTransition(from, to).IsError());
    CPPUNIT_ASSERT(!CheckTransition(from, from).IsError());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOperatorFile);
