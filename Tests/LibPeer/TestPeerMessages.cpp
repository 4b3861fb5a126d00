#include "LibPeer/PeerMessages.h"
#include "SimulatedFleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace papayaline;
using namespace std::chrono_literals;

/// Encoding and decoding of the messages between instances, also of corrupted
/// ones.
class TestPeerMessages : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestPeerMessages);
  CPPUNIT_TEST(MessagesOfAllTypesSurviveEncoding);
  CPPUNIT_TEST(MessagesOfOlderInstancesAreRead);
  CPPUNIT_TEST(BytesOfAnyValueSurviveEncoding);
  CPPUNIT_TEST(MalformedMessagesAreErrors);
  CPPUNIT_TEST(DamagedMessagesAreErrorsOrMessages);
  CPPUNIT_TEST(FramesSplitAnywhereAreReassembled);
  CPPUNIT_TEST(FrameTooLargeIsRefusedBeforeItIsRead);
  CPPUNIT_TEST(StatementBeforeHelloIsRejected);
  CPPUNIT_TEST(HelloOfAnotherVersionIsRejected);
  CPPUNIT_TEST(AnswerFromConnectingInstanceIsRejected);
  CPPUNIT_TEST(StatementForAnUnknownGroupIsDeclined);
  CPPUNIT_TEST(StatementOfAnUnknownTransactionIsDeclined);
  CPPUNIT_TEST_SUITE_END();

  static ForwardStatement Statement()
  {
    ForwardStatement statement;
    statement.mCall = 7;
    statement.mTransaction = 3;
    statement.mStatement = { "5c0e",
                             StatementType::ExecutePrepared,
                             "EXECUTE s1 1a4",
                             "s1",
                             "1a4",
                             Access::Read };
    statement.mRoute = { "db",  "g", Freshness::ReadYourWrites, 2500ms, 1s,
                         200ms, 2 };
    statement.mAccess = Access::Write;
    statement.mMode = TransactionMode::ReadWrite;
    statement.mStartedAgo = 15ms;
    statement.mReceivedAgo = 2ms;
    statement.mValues = { { "name", "value" } };
    statement.mLastWritePosition = LogPosition{ 3, 1207 };
    statement.mPreparedQuery = PreparedQuery{ Access::Write, "q2c" };
    statement.mAccount = "meadow";
    statement.mAccountRank = 2;
    statement.mConfirmedAt = Instant(-3s);
    return statement;
  }

  static std::vector<PeerMessage> Samples()
  {
    ForwardAnswer answer;
    answer.mCall = 7;
    answer.mTransaction = 3;
    answer.mAnswer.mRows = { "one", "two" };
    answer.mAnswer.mSignature = "7.1f3";
    answer.mAnswer.mTransactionState = TransactionState::Open;
    answer.mAnswer.mPosition = LogPosition{ 3, 1209 };
    answer.mLoad = GroupLoad{ { 0ms, 12ms, 250ms } };
    ForwardAnswer refusal;
    refusal.mCall = 8;
    refusal.mAnswer.mError = Error{ ErrorKind::QueueFull, "no slot" };
    ObjectsAnswer objects;
    objects.mCall = 9;
    objects.mBatch = { { { "main", { 2, 12 }, "text", false },
                         { "gone", { 2, 13 }, {}, true } },
                       { 2, 14 } };
    objects.mConfirmedAfter = -2100ms;
    answer.mClock = Instant(90min);
    return { PeerHello{ 1, "i1" },
             PeerHello{ 1, "i1", 1, Instant(90min) },
             PeerPong{ Instant(90min) },
             Statement(),
             answer,
             refusal,
             CancelStatement{ 7 },
             RollBackTransaction{ 3 },
             PeerPing{},
             PeerPong{},
             PeerLeaving{},
             WatchObjects{ 9, "config", { 2, 11 }, 1s, 3s },
             objects,
             QuotaRequest{
               10, QuotaPurpose::Collect, 81, { { "account", 2.5, 0.25 } } },
             QuotaAnswer{ 10, 81, { { "account", 1.125, 150ms } } } };
  }

public:
  void MessagesOfAllTypesSurviveEncoding()
  {
    for (const auto& it : Samples()) {
      const auto read = DecodePeerMessage(EncodePeerMessage(it));
      CPPUNIT_ASSERT(!read.IsError());
      CPPUNIT_ASSERT(read.Value() == it);
    }
  }

  void MessagesOfOlderInstancesAreRead()
  {
    const auto decode = [](const char* aBytes) {
      const auto message = DecodePeerMessage(aBytes);
      CPPUNIT_ASSERT_MESSAGE(aBytes, !message.IsError());
      return message.Value();
    };
    CPPUNIT_ASSERT(PeerMessage(PeerHello{ 1, "i1", 0 }) ==
                   decode(R"(["hello",1,"i1"])"));
    CPPUNIT_ASSERT(PeerMessage(PeerPong{}) == decode(R"(["pong"])"));
    CPPUNIT_ASSERT(
      PeerMessage(WatchObjects{ 1, "config", { 2, 5 }, 1s, 3s, {} }) ==
      decode(R"(["watch",1,"config",5,1000,3000,2])"));
    CPPUNIT_ASSERT(
      PeerMessage(ObjectsAnswer{ 1, false, { {}, { 2, 5 } }, {} }) ==
      decode(R"(["objects",1,false,5,[],2])"));
    const auto answer = std::get<ForwardAnswer>(
      decode(R"(["ran",1,false,0,["x"],"signed",null,0,null])"));
    CPPUNIT_ASSERT(!answer.mLoad && !answer.mClock);
    const auto statement = std::get<ForwardStatement>(decode(
      R"(["run",1,0,"r1",4,"READ 1","","",["db","g",0,0,1000,200,1],0,0,0,0,{},null,null])"));
    CPPUNIT_ASSERT(statement.mAccount.empty() && !statement.mConfirmedAt);
    CPPUNIT_ASSERT(!statement.mRoute.mIsPublic);
  }

  void BytesOfAnyValueSurviveEncoding()
  {
    auto statement = Statement();
    statement.mStatement.mText.clear();
    for (int n = 0; n < 256; ++n) {
      statement.mStatement.mText += static_cast<char>(n);
    }
    statement.mValues = { { statement.mStatement.mText, "x" } };
    const auto read = DecodePeerMessage(EncodePeerMessage(statement));
    CPPUNIT_ASSERT(read.Value() == PeerMessage(statement));
  }

  void MalformedMessagesAreErrors()
  {
    for (const auto* it : { "",
                            "x",
                            "{}",
                            "[]",
                            "[1]",
                            "[\"nonsense\"]",
                            "[\"run\"]",
                            "[\"run\",-1]",
                            "[\"cancel\",\"7\"]",
                            "[\"cancel\",1.5e300]",
                            "[\"hello\",0,\"i\"]",
                            "[\"ran\",1,false,0,[1],\"-\",null,0,null]",
                            "[\"ran\",1,false,0,[],\"-\",[999,\"\"],0,null]",
                            "[\"objects\",1,false,2,[[\"a\",1]]]" }) {
      CPPUNIT_ASSERT_MESSAGE(it, DecodePeerMessage(it).IsError());
    }
  }

  void DamagedMessagesAreErrorsOrMessages()
  {
    std::mt19937 random(20261204);
    for (const auto& sample : Samples()) {
      const auto whole = EncodePeerMessage(sample);
      for (int n = 0; n < 2000; ++n) {
        auto bytes = whole;
        const auto edits = 1 + random() % 4;
        for (unsigned edit = 0; edit < edits && !bytes.isEmpty(); ++edit) {
          const auto at = static_cast<qsizetype>(
            random() % static_cast<unsigned>(bytes.size()));
          switch (random() % 3) {
            case 0:
              bytes[at] = static_cast<char>(random());
              break;
            case 1:
              bytes.remove(at, 1 + static_cast<qsizetype>(random() % 8));
              break;
            default:
              bytes.insert(at, bytes.mid(at / 2, 5));
          }
        }
        const auto read = DecodePeerMessage(bytes);
        CPPUNIT_ASSERT(read.IsError() ||
                       !EncodePeerMessage(read.Value()).isEmpty());
      }
    }
  }

  void FramesSplitAnywhereAreReassembled()
  {
    QByteArray stream;
    for (const auto& it : Samples()) {
      stream += FramePeerMessage(EncodePeerMessage(it));
    }
    PeerFrameReader frames;
    size_t n = 0;
    for (const auto byte : stream) {
      frames.Append(QByteArray(1, byte));
      const auto next = frames.Next();
      CPPUNIT_ASSERT(!next.IsError());
      n += next.Value() ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(Samples().size(), n);
  }

  void FrameTooLargeIsRefusedBeforeItIsRead()
  {
    PeerFrameReader frames;
    frames.Append(QByteArray("\x7f\xff\xff\xff", 4));
    CPPUNIT_ASSERT(frames.Next().IsError());
  }

  void StatementBeforeHelloIsRejected()
  {
    SimulatedFleet fleet(3, { "d1" });
    const auto session = fleet.At(0).mServer->Accept([](const auto&) {});
    CPPUNIT_ASSERT(session->Handle(Statement()).IsError());
    CPPUNIT_ASSERT(session->Handle(PeerPing{}).IsError());
  }

  void HelloOfAnotherVersionIsRejected()
  {
    SimulatedFleet fleet(3, { "d1" });
    const auto session = fleet.At(0).mServer->Accept([](const auto&) {});
    CPPUNIT_ASSERT(session->Handle(PeerHello{ 2, "i1" }).IsError());
  }

  void AnswerFromConnectingInstanceIsRejected()
  {
    SimulatedFleet fleet(3, { "d1" });
    const auto session = fleet.At(0).mServer->Accept([](const auto&) {});
    CPPUNIT_ASSERT(!session->Handle(PeerHello{ 1, "i1" }).IsError());
    CPPUNIT_ASSERT(session->Handle(ForwardAnswer{}).IsError());
    CPPUNIT_ASSERT(session->Handle(PeerLeaving{}).IsError());
    CPPUNIT_ASSERT(session->Handle(PeerHello{ 1, "i1" }).IsError());
  }

  void AssertDeclined(const ForwardStatement& aStatement)
  {
    SimulatedFleet fleet(3, { "d1" });
    std::vector<PeerMessage> sent;
    const auto session = fleet.At(0).mServer->Accept(
      [&](const PeerMessage& aMessage) { sent.push_back(aMessage); });
    CPPUNIT_ASSERT(!session->Handle(PeerHello{ 1, "i1" }).IsError());
    CPPUNIT_ASSERT(!session->Handle(aStatement).IsError());
    // The first message is the hello.
    CPPUNIT_ASSERT_EQUAL(size_t(2), sent.size());
    CPPUNIT_ASSERT(std::get<ForwardAnswer>(sent[1]).mIsDeclined);
  }

  void StatementForAnUnknownGroupIsDeclined()
  {
    auto statement = Statement();
    statement.mTransaction = 0;
    statement.mRoute.mGroup = "none";
    AssertDeclined(statement);
  }

  void StatementOfAnUnknownTransactionIsDeclined()
  {
    AssertDeclined(Statement());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPeerMessages);
