#include "platform/LineCallerProtocol.h"
#include "platform/LineUpstreamProtocol.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace papayaline::platform;

class TestLineProtocols : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestLineProtocols);
  CPPUNIT_TEST(StartupNamesTheDatabase);
  CPPUNIT_TEST(StatementKeepsItsText);
  CPPUNIT_TEST(StatementInPiecesIsReadOnceWhole);
  CPPUNIT_TEST(StatementsMalformedAreAnswered);
  CPPUNIT_TEST(ReservedIdIsRefused);
  CPPUNIT_TEST(StrayLineFeedEndsTheSession);
  CPPUNIT_TEST(EndlessLineEndsTheSession);
  CPPUNIT_TEST(BinaryBytesEndTheSession);
  CPPUNIT_TEST(AnswerCarriesRowsSignatureAndState);
  CPPUNIT_TEST(ErrorTextCannotBreakTheLine);
  CPPUNIT_TEST(CommandsAreEncoded);
  CPPUNIT_TEST(UpstreamAnswerIsReadWhole);
  CPPUNIT_TEST(UpstreamOpeningRefusedIsAnAnswer);
  CPPUNIT_TEST(UpstreamErrorsSayNotRunOnlyForKnownCodes);
  CPPUNIT_TEST(StatusRowIsDecoded);
  CPPUNIT_TEST(StatusRowTooShortIsRefused);
  CPPUNIT_TEST_SUITE_END();

  static std::optional<CallerMessage> Read(const std::string& aBytes)
  {
    LineCallerProtocol protocol;
    protocol.Append(aBytes.data(), aBytes.size());
    return protocol.Next();
  }

  static bool IsFatal(const std::string& aBytes)
  {
    const auto message = Read(aBytes);
    const auto* error = message ? std::get_if<InputError>(&*message) : nullptr;
    return error && error->mIsFatal;
  }

  static StatementAnswer ReadAnswer(const std::string& aBytes)
  {
    LineUpstreamProtocol protocol;
    const std::string opening = "READY I -\r\n";
    protocol.Append(opening.data(), opening.size());
    protocol.Append(aBytes.data(), aBytes.size());
    CPPUNIT_ASSERT(!protocol.Next().IsError());
    auto next = protocol.Next();
    CPPUNIT_ASSERT(!next.IsError() && next.Value());
    return *next.Value();
  }

public:
  void StartupNamesTheDatabase()
  {
    const auto message = Read("STARTUP lepu270 u3f1\r\n");
    const SessionStartup expected{ "lepu270", "u3f1" };
    CPPUNIT_ASSERT(std::get<SessionStartup>(*message) == expected);
  }

  void StatementKeepsItsText()
  {
    const auto message = Read("QUERY 5c0e WRITE 1a4 some data  here\r\n");
    const auto& statement = std::get<CallerStatement>(*message);
    CPPUNIT_ASSERT_EQUAL(std::string("5c0e"), statement.mId);
    CPPUNIT_ASSERT_EQUAL(std::string("WRITE 1a4 some data  here"),
                         statement.mText);
    CPPUNIT_ASSERT(statement.mType == StatementType::Write);
  }

  void StatementInPiecesIsReadOnceWhole()
  {
    LineCallerProtocol protocol;
    const std::string bytes = "QUERY 1 READ 7\r\nQUERY 2 COMMIT\r\n";
    size_t n = 0;
    for (const char it : bytes) {
      protocol.Append(&it, 1);
      while (protocol.Next()) {
        ++n;
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t(2), n);
  }

  void StatementsMalformedAreAnswered()
  {
    for (const auto* it : { "QUERY 1 \r\n",
                            "QUERY 1 READ\r\n",
                            "QUERY 1 READ 1 2\r\n",
                            "QUERY 1 WRITE 1\r\n",
                            "QUERY 1 BEGIN WRITE\r\n",
                            "QUERY 1 AFTER 1.2 READ 3\r\n",
                            "QUERY 1 PARSE s1 BOTH q\r\n",
                            "QUERY 1 COMMIT NOW\r\n",
                            "QUERY 1 STATUS\r\n" }) {
      const auto message = Read(it);
      const auto* error = std::get_if<InputError>(&*message);
      CPPUNIT_ASSERT_MESSAGE(it, error && !error->mIsFatal);
    }
  }

  void ReservedIdIsRefused()
  {
    CPPUNIT_ASSERT(
      std::holds_alternative<InputError>(*Read("QUERY - READ 1\r\n")));
  }

  void StrayLineFeedEndsTheSession()
  {
    CPPUNIT_ASSERT(IsFatal("QUERY 1 READ 1\nQUERY 2 WRITE 1 x\r\n"));
    CPPUNIT_ASSERT(IsFatal("QUERY 1 READ 1\rQUERY 2 WRITE 1 x\r\n"));
  }

  void EndlessLineEndsTheSession()
  {
    CPPUNIT_ASSERT(IsFatal(std::string(LineReader::kMaxLineBytes + 2, 'x')));
  }

  void BinaryBytesEndTheSession()
  {
    CPPUNIT_ASSERT(IsFatal(std::string("\x16\x03\x01\0\xff\r\n", 7)));
  }

  void AnswerCarriesRowsSignatureAndState()
  {
    StatementAnswer answer;
    answer.mRows = { "one", "two words" };
    answer.mSignature = "7.1f3";
    answer.mTransactionState = TransactionState::Open;
    answer.mPosition = LogPosition{ 3, 1209 };
    CPPUNIT_ASSERT_EQUAL(std::string("ROW one\r\nROW two words\r\n"
                                     "COMPLETE 7.1f3\r\nREADY T 3.1209\r\n"),
                         LineCallerProtocol().EncodeAnswer(answer));
  }

  void ErrorTextCannotBreakTheLine()
  {
    CPPUNIT_ASSERT_EQUAL(
      std::string("ERROR MALFORMED a  b\r\n"),
      LineCallerProtocol().EncodeFatalError({ ErrorKind::BadInput, "a\r\nb" }));
  }

  void CommandsAreEncoded()
  {
    const LineUpstreamProtocol protocol;
    UpstreamCommand read;
    read.mId = "5c0e";
    read.mText = "READ 1a4";
    read.mMinPosition = LogPosition{ 3, 1207 };
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c0e AFTER 3.1207 READ 1a4\r\n"),
                         protocol.EncodeCommand(read));
    UpstreamCommand fence;
    fence.mType = CommandType::Fence;
    fence.mTerm = 4;
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY - PAUSE 4\r\n"),
                         protocol.EncodeCommand(fence));
    CPPUNIT_ASSERT_EQUAL(std::string("STARTUP huvo papayaline i-7f\r\n"),
                         protocol.EncodeStartup({ "huvo", "i-7f", {} }));
  }

  void UpstreamAnswerIsReadWhole()
  {
    const auto answer =
      ReadAnswer("ROW a\r\nCOMPLETE s.1\r\nREADY I 3.1209\r\n");
    CPPUNIT_ASSERT_EQUAL(size_t(1), answer.mRows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("s.1"), answer.mSignature);
    CPPUNIT_ASSERT(answer.mPosition == LogPosition(3, 1209));
  }

  void UpstreamOpeningRefusedIsAnAnswer()
  {
    LineUpstreamProtocol protocol;
    const std::string bytes = "ERROR CONNLIMIT i-7f\r\n";
    protocol.Append(bytes.data(), bytes.size());
    const auto next = protocol.Next();
    CPPUNIT_ASSERT(next.Value()->mError->mKind == ErrorKind::ConnectionLimit);
  }

  void UpstreamErrorsSayNotRunOnlyForKnownCodes()
  {
    struct Case
    {
      const char* mCode;
      Outcome mOutcome;
    };
    for (const auto& it : { Case{ "BUSY", Outcome::NotRun },
                            Case{ "LAGGING", Outcome::NotRun },
                            Case{ "READONLY", Outcome::NotRun },
                            Case{ "NOSTMT", Outcome::NotRun },
                            Case{ "FAILED", Outcome::Unknown },
                            Case{ "TIMEOUT", Outcome::Unknown },
                            Case{ "SOMETHINGNEW", Outcome::Unknown } }) {
      const auto answer =
        ReadAnswer(std::string("ERROR ") + it.mCode + " x\r\nREADY I 1.1\r\n");
      CPPUNIT_ASSERT(AnswerFor(answer.mError->mKind).mOutcome == it.mOutcome);
    }
  }

  void StatusRowIsDecoded()
  {
    const auto status = LineUpstreamProtocol().DecodeStatus(ReadAnswer(
      "ROW replica 3 3.1209 5 12 2 17\r\nCOMPLETE -\r\nREADY I 3.1204\r\n"));
    CPPUNIT_ASSERT(!status.IsError());
    CPPUNIT_ASSERT(status.Value().mRole == Role::Replica);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), status.Value().mTerm);
    CPPUNIT_ASSERT_EQUAL(uint64_t(5), status.Value().mFencedTerm);
    CPPUNIT_ASSERT_EQUAL(17U, status.Value().mConnections);
    CPPUNIT_ASSERT(status.Value().mReceived == LogPosition(3, 1209));
  }

  void StatusRowTooShortIsRefused()
  {
    StatementAnswer answer;
    answer.mRows = { "replica 3" };
    CPPUNIT_ASSERT(LineUpstreamProtocol().DecodeStatus(answer).IsError());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLineProtocols);
