#include "LibDecision/StatementKind.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;

class TestStatementKind : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestStatementKind);
  CPPUNIT_TEST(StatementPossibleWriteIsNeverARead);
  CPPUNIT_TEST(StatementKnownReadIsARead);
  CPPUNIT_TEST(StatementSessionStateIsRefused);
  CPPUNIT_TEST(StatementSetKeepsNameAndValue);
  CPPUNIT_TEST_SUITE_END();

  static StatementKind KindOf(const char* aSql)
  {
    return ClassifyStatement(aSql).Value().mKind;
  }

public:
  void StatementPossibleWriteIsNeverARead()
  {
    for (const auto* it : { "INSERT INTO t VALUES (1)",
                            "WITH x AS (DELETE FROM t RETURNING 1) SELECT 1",
                            "SELECT * INTO u FROM t",
                            "SELECT nextval('s')",
                            "SELECT 1 FROM t FOR UPDATE",
                            "EXPLAIN ANALYZE DELETE FROM t",
                            "/* SELECT */ UPDATE t SET a = 1",
                            "VACUUM" }) {
      CPPUNIT_ASSERT_MESSAGE(it, KindOf(it) == StatementKind::Write);
    }
  }

  void StatementKnownReadIsARead()
  {
    for (const auto* it : { "SELECT 'INSERT'",
                            "  -- comment\n select 1;",
                            "VALUES (1)",
                            "SELECT $1, $$ DELETE; $$" }) {
      CPPUNIT_ASSERT_MESSAGE(it, KindOf(it) == StatementKind::Read);
    }
  }

  void StatementSessionStateIsRefused()
  {
    for (const auto* it : { "COPY t FROM STDIN",
                            "LISTEN c",
                            "DECLARE c CURSOR FOR SELECT 1",
                            "CREATE TEMP TABLE t (a int)",
                            "SELECT 1; SELECT 2",
                            "SELECT pg_advisory_lock(1)",
                            "PREPARE p AS SELECT 1" }) {
      const auto result = ClassifyStatement(it);
      CPPUNIT_ASSERT_MESSAGE(it, result.IsError());
      CPPUNIT_ASSERT(result.GetError().mKind == ErrorKind::NotSupported);
    }
  }

  void StatementSetKeepsNameAndValue()
  {
    const auto set =
      ClassifyStatement("SET papayaline.request_id TO 'Visit-7'").Value();
    CPPUNIT_ASSERT(set.mKind == StatementKind::Set);
    CPPUNIT_ASSERT_EQUAL(std::string("papayaline.request_id"), set.mName);
    CPPUNIT_ASSERT_EQUAL(std::string("Visit-7"), set.mValue);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStatementKind);
